/** The sections of the bench by name. To add a section, add it to `sections`. */
import type { Section } from './sectiontypes.ts'
import { measureCores } from './convergencecores.ts'
import { measureReports } from './convergencereports.ts'
import { measureConvergence } from './convergencesection.ts'
import { measureStoreCalls } from './convergencestore.ts'
import { measureAgentLoss, measureDetection, measureFalseRemovals } from './detectionsection.ts'
import { measureCancellation, measureDecisions } from './processortime.ts'
import { measureFaults } from './faultsection.ts'
import { measureOverload } from './overloadsection.ts'
import { measurePolicies } from './policysection.ts'
import { measureProcesses } from './processsection.ts'
import { measureShares } from './sharesection.ts'
import { measureTenants } from './tenantsection.ts'

/** Sections that start processes. They run only when selected by name, or with `--json`. */
export const processSections: ReadonlySet<string> = new Set(['processes'])

/** The sections, in the order in which they run. */
export const sections: Readonly<Record<string, Section>> = {
  policies: measurePolicies,
  shares: measureShares,
  overload: measureOverload,
  faults: measureFaults,
  tenants: measureTenants,
  decisions: measureDecisions,
  cancellation: measureCancellation,
  convergence: measureConvergence,
  convergenceCores: measureCores,
  storeCalls: measureStoreCalls,
  detection: measureDetection,
  falseRemovals: measureFalseRemovals,
  agentLoss: measureAgentLoss,
  reports: measureReports,
  processes: measureProcesses
}
