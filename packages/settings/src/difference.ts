/** Differences between two configuration files, as typed changes and as readable lines. */
import type { ConfigurationFile } from './configurationfile.ts'

/** Units of the fleet that can be drained. */
export enum DrainKind {
  Target = 'target',
  Rack = 'rack',
  /** Draining a data centre evacuates it. */
  DataCentre = 'data-centre',
  Provider = 'provider'
}

/** Field of `draining` that lists the drained names of each kind. */
export const DRAIN_FIELDS = {
  [DrainKind.Target]: 'targets',
  [DrainKind.Rack]: 'racks',
  [DrainKind.DataCentre]: 'dataCentres',
  [DrainKind.Provider]: 'providers'
} as const

/** Name of a field of a tenant's quota. */
export type QuotaField = keyof ConfigurationFile['tenants'][string]

/** Single change between two files. Shares are in percent. */
export type Change =
  | { type: 'serviceAdded', service: string, shares: Record<string, number> }
  | { type: 'serviceRemoved', service: string }
  | { type: 'shareChanged', service: string, provider: string, before: number, after: number }
  | { type: 'providerAdded', provider: string, expectedTargets: number }
  | { type: 'providerRemoved', provider: string }
  | { type: 'expectedTargetsChanged', provider: string, before: number, after: number }
  | { type: 'tenantAdded', tenant: string, quota: ConfigurationFile['tenants'][string] }
  | { type: 'tenantRemoved', tenant: string }
  | { type: 'quotaChanged', tenant: string, field: QuotaField, before: number, after: number }
  | { type: 'drainStarted', kind: DrainKind, name: string }
  | { type: 'drainEnded', kind: DrainKind, name: string }

const QUOTA_FIELDS: readonly QuotaField[] = ['tasksPerSecond', 'burst', 'slots', 'weight']

const EMPTY_CONFIGURATION: ConfigurationFile = {
  editedFrom: 0, services: {}, providers: {}, tenants: {}, draining: { targets: [], racks: [], dataCentres: [], providers: [] }
}

/**
 * Computes all changes from one file to another. Ignores `editedFrom` and the order of names.
 * @param before undefined for the first file, which is compared with an empty one
 */
export function diffConfigurations (before: ConfigurationFile | undefined, after: ConfigurationFile): Change[] {
  const base = before ?? EMPTY_CONFIGURATION
  return [
    ...serviceChanges(base, after),
    ...providerChanges(base, after),
    ...tenantChanges(base, after),
    ...Object.values(DrainKind).flatMap((kind) => drainChanges(base, after, kind))
  ]
}

/** Formats changes as one line each: `+` added, `-` removed, `~` changed, `!` drain. Adds the effect where it is not obvious. */
export function formatChanges (changes: readonly Change[]): string[] {
  return changes.map((change) => (FORMATS[change.type] as (change: Change) => string)(change))
}

const FORMATS: { [Type in Change['type']]: (change: Change & { type: Type }) => string } = {
  serviceAdded: ({ service, shares }) => `+ service ${service}: ${formatShares(shares)}`,
  serviceRemoved: ({ service }) => `- service ${service}: new jobs for it are refused`,
  shareChanged: ({ service, provider, before, after }) => `~ service ${service}: share of ${provider} ${before} % -> ${after} %`,
  providerAdded: ({ provider, expectedTargets }) => `+ provider ${provider}: ${formatTargets(expectedTargets)} expected`,
  providerRemoved: ({ provider }) => `- provider ${provider}: its targets receive no new work`,
  expectedTargetsChanged: ({ provider, before, after }) => `~ provider ${provider}: expected targets ${before} -> ${after}`,
  tenantAdded: ({ tenant, quota }) => `+ tenant ${tenant}: ${QUOTA_FIELDS.map((field) => formatQuota(field, quota[field])).join(', ')}`,
  tenantRemoved: ({ tenant }) => `- tenant ${tenant}: its new jobs are refused`,
  quotaChanged: ({ tenant, field, before, after }) => `~ tenant ${tenant}: ${formatQuota(field, before)} -> ${formatQuota(field, after)}`,
  drainStarted: ({ kind, name }) => `! drain ${kind} ${name}: no new work, what runs is finished`,
  drainEnded: ({ kind, name }) => `! end the drain of ${kind} ${name}: it receives work again`
}

function formatTargets (targets: number): string {
  return targets === 1 ? '1 target' : `${targets} targets`
}

function formatShares (shares: Record<string, number>): string {
  return Object.entries(shares).map(([provider, share]) => `${provider} ${share} %`).join(', ')
}

const QUOTA_FORMATS: Record<QuotaField, (value: number) => string> = {
  tasksPerSecond: (value) => value === 0 ? 'no limit of tasks per second' : `${value} tasks per second`,
  burst: (value) => `burst ${value}`,
  slots: (value) => value === 0 ? 'no limit of slots' : `${value} slots`,
  weight: (value) => `weight ${value}`
}

function formatQuota (field: QuotaField, value: number): string {
  return QUOTA_FORMATS[field](value)
}

/** Joins two records by name, sorted by name. A value is undefined if its record lacks the name. */
function pairByName<Value> (before: Record<string, Value>, after: Record<string, Value>) {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return names.map((name) => ({ name, before: ownValue(before, name), after: ownValue(after, name) }))
}

function ownValue<Value> (record: Record<string, Value>, name: string): Value | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined
}

function serviceChanges (base: ConfigurationFile, next: ConfigurationFile): Change[] {
  return pairByName(base.services, next.services).flatMap(({ name, before, after }): Change[] => {
    if (after === undefined) return [{ type: 'serviceRemoved', service: name }]
    if (before === undefined) return [{ type: 'serviceAdded', service: name, shares: after.shares }]
    return shareChanges(name, before.shares, after.shares)
  })
}

function shareChanges (service: string, base: Record<string, number>, next: Record<string, number>): Change[] {
  return pairByName(base, next).flatMap(({ name, before = 0, after = 0 }): Change[] => {
    if (before === after) return []
    return [{ type: 'shareChanged', service, provider: name, before, after }]
  })
}

function providerChanges (base: ConfigurationFile, next: ConfigurationFile): Change[] {
  return pairByName(base.providers, next.providers).flatMap(({ name, before, after }): Change[] => {
    if (after === undefined) return [{ type: 'providerRemoved', provider: name }]
    if (before === undefined) return [{ type: 'providerAdded', provider: name, expectedTargets: after.expectedTargets }]
    if (before.expectedTargets === after.expectedTargets) return []
    return [{ type: 'expectedTargetsChanged', provider: name, before: before.expectedTargets, after: after.expectedTargets }]
  })
}

function tenantChanges (base: ConfigurationFile, next: ConfigurationFile): Change[] {
  return pairByName(base.tenants, next.tenants).flatMap(({ name, before, after }): Change[] => {
    if (after === undefined) return [{ type: 'tenantRemoved', tenant: name }]
    if (before === undefined) return [{ type: 'tenantAdded', tenant: name, quota: after }]
    return QUOTA_FIELDS
      .filter((field) => before[field] !== after[field])
      .map((field) => ({ type: 'quotaChanged', tenant: name, field, before: before[field], after: after[field] }))
  })
}

function drainChanges (base: ConfigurationFile, next: ConfigurationFile, kind: DrainKind): Change[] {
  const before = new Set(base.draining[DRAIN_FIELDS[kind]])
  const after = new Set(next.draining[DRAIN_FIELDS[kind]])
  const started = [...after].filter((name) => !before.has(name)).sort()
  const ended = [...before].filter((name) => !after.has(name)).sort()
  return [
    ...started.map((name): Change => ({ type: 'drainStarted', kind, name })),
    ...ended.map((name): Change => ({ type: 'drainEnded', kind, name }))
  ]
}
