/**
 * The operators' configuration as the decision logic sees it: already checked against the schema,
 * with every default filled in.
 */

/** Work of one kind and the share of it that each provider receives. */
export interface ServiceConfiguration {
  /** Share of each provider in percent; the shares of one service sum to 100. */
  shares: Readonly<Record<string, number>>
}

/** What operators expect of one provider. */
export interface ProviderConfiguration {
  /** Targets expected to announce themselves; 0 when nothing is expected. */
  expectedTargets: number
}

/** Quotas of one tenant. */
export interface TenantConfiguration {
  /** Task starts per second, over all entries; 0 for no limit. */
  tasksPerSecond: number
  /** Tasks that may start at once above the rate. */
  burst: number
  /** Slots held at one time, over all entries; 0 for no limit. */
  slots: number
  /** Part of the slots under contention, against the weights of the other tenants. */
  weight: number
}

/** Parts of the fleet that take no new work. */
export interface DrainConfiguration {
  targets: readonly string[]
  racks: readonly string[]
  /** Evacuated data centres. */
  dataCentres: readonly string[]
  providers: readonly string[]
}

/** One version of the configuration, in force as a whole. */
export interface Configuration {
  /** Rises by one with every accepted apply; 0 before the first. */
  version: number
  services: Readonly<Record<string, ServiceConfiguration>>
  providers: Readonly<Record<string, ProviderConfiguration>>
  tenants: Readonly<Record<string, TenantConfiguration>>
  draining: DrainConfiguration
}

/** The configuration before the first apply: nothing is served. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  services: {},
  providers: {},
  tenants: {},
  draining: { targets: [], racks: [], dataCentres: [], providers: [] }
}
