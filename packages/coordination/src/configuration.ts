/**
 * The operators' configuration as used by the decision logic: already checked against the schema, with all defaults
 * filled in.
 */

/** A service and the share of its work that each provider receives. */
export interface ServiceConfiguration {
  /** Share of each provider in percent; the shares of one service sum to 100. */
  shares: Readonly<Record<string, number>>
}

/** Settings of one provider. */
export interface ProviderConfiguration {
  /** Number of targets expected to announce themselves; 0 for no expectation. */
  expectedTargets: number
}

/** Quotas of one tenant. */
export interface TenantConfiguration {
  /** Task starts per second, over all entries; 0 for no limit. */
  tasksPerSecond: number
  /** Tasks that may start at once in excess of the rate. */
  burst: number
  /** Maximum slots held at one time, over all entries; 0 for no limit. */
  slots: number
  /** Weight of the tenant's share of the slots under contention, relative to the other tenants. */
  weight: number
}

/** Targets, racks, data centres and providers that receive no new work. */
export interface DrainConfiguration {
  targets: readonly string[]
  racks: readonly string[]
  /** Evacuated data centres. */
  dataCentres: readonly string[]
  providers: readonly string[]
}

/** One version of the configuration, which takes effect as a whole. */
export interface Configuration {
  /** Increases by one with every accepted apply; 0 before the first. */
  version: number
  services: Readonly<Record<string, ServiceConfiguration>>
  providers: Readonly<Record<string, ProviderConfiguration>>
  tenants: Readonly<Record<string, TenantConfiguration>>
  draining: DrainConfiguration
}

/** The configuration before the first apply: it contains no service. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  services: {},
  providers: {},
  tenants: {},
  draining: { targets: [], racks: [], dataCentres: [], providers: [] }
}
