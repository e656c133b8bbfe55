/**
 * Schema of the operators' configuration file and of the record in which the store keeps it.
 *
 * A provider declared with `expectedTargets` 0 has no target to run anything, so a share above 0 for
 * it is refused; a share of exactly 0 is accepted and marks the end of a move. An unknown field is
 * refused by the daemon too: one that does not understand a field must not claim to have the
 * document in force.
 */
import type { Configuration } from '@amaranthmast/coordination/configuration'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import * as z from 'zod/mini'
import { DEFAULT_TENANT_WEIGHT, MAXIMUM_VALUE_BYTES } from './defaults.ts'
import { DocumentRefused } from './errors.ts'
import type { Fault } from './fault.ts'
import { DOCUMENT_PATH, formatPath } from './fault.ts'
import { countSchema, described, nameSchema } from './fields.ts'
import { parseJson, validate } from './validation.ts'

/** Sum of the shares of one service, in percent. */
const WHOLE_SHARE = 100

/** Rounding allowed in the sum of shares with decimals. */
const SHARE_TOLERANCE = 1e-6

const shareSchema = described(z.number().check(z.minimum(0), z.maximum(WHOLE_SHARE)), 'Share of the provider in percent', 60)

const sharesSchema = described(
  z.record(nameSchema, shareSchema).check(z.check(({ value, issues }) => {
    const reason = sumFault(value)
    if (reason !== undefined) issues.push({ code: 'custom', message: reason, input: value })
  })),
  'Share of each provider in percent; the shares of one service sum to 100', { 'provider-a': 60, 'provider-b': 40 })

const rateSchema = z.number().check(z.minimum(0), z.maximum(1_000_000_000))

const tenantSchema = z.strictObject({
  tasksPerSecond: z._default(described(rateSchema, 'Task starts per second over all entries; 0 for no limit', 500), 0),
  burst: z._default(described(countSchema, 'Tasks that may start at once above the rate', 140), 0),
  slots: z._default(described(countSchema, 'Slots held at one time over all entries; 0 for no limit', 40), 0),
  weight: z._default(described(z.number().check(z.gt(0), z.maximum(1_000_000)), 'Part of the slots under contention', 1), DEFAULT_TENANT_WEIGHT)
})

function drainListSchema (what: string, example: string) {
  return z._default(described(z.array(described(nameSchema, `Name of a ${what}`, example)), `Each ${what} that takes no new work`, [example]), [])
}

const fileSchema = z.strictObject({
  editedFrom: z._default(described(countSchema, 'Version that the file was edited from; 0 before the first apply', 7), 0),
  services: described(
    z.record(nameSchema, described(z.strictObject({ shares: sharesSchema }), 'One service', { shares: { 'provider-a': 100 } })),
    'Services by name', { 'label-check': { shares: { 'provider-a': 60, 'provider-b': 40 } } }),
  providers: described(
    z.record(nameSchema, described(z.strictObject({
      expectedTargets: described(countSchema, 'Targets expected to announce themselves; 0 when the provider has none', 3)
    }), 'One provider', { expectedTargets: 3 })),
    'Providers by name', { 'provider-a': { expectedTargets: 3 } }),
  tenants: described(z.record(nameSchema, described(tenantSchema, 'One tenant', {})), 'Tenants by name', { magnolia: { tasksPerSecond: 500 } }),
  draining: z.prefault(z.strictObject({
    targets: drainListSchema('target', 'agent-3'),
    racks: drainListSchema('rack', 'r1'),
    dataCentres: drainListSchema('data centre', 'gulf-1'),
    providers: drainListSchema('provider', 'provider-a')
  }), {})
})

/** Schema of the operators' configuration file. */
export const configurationFileSchema = described(fileSchema, 'Configuration of an amaranthmast system')

/** The operators' file, checked and with every default filled in. */
export type ConfigurationFile = z.output<typeof fileSchema>

const storedSchema = z.strictObject({
  version: described(z.int().check(z.minimum(1)), 'Version of the configuration', 8),
  applyId: described(z.string().check(z.minLength(1)), 'Names the apply that wrote it', '0f8fad5b-d9cb-469f-a165-70867728950e'),
  appliedAt: described(z.string(), 'When it was applied, by the clock of the tool', '2026-12-02T18:00:00.000Z'),
  document: described(z.unknown(), 'The configuration file', {})
})

/** One version of the configuration as the store keeps it. */
export interface StoredConfiguration {
  version: number
  /** Names the apply that wrote it, so that a lost answer is settled by reading back. */
  applyId: string
  /** ISO 8601, by the clock of the tool that applied it. */
  appliedAt: string
  document: ConfigurationFile
}

/** Checks a value against the schema and the rules between its parts. */
export function checkConfigurationFile (value: unknown): Result<ConfigurationFile, DocumentRefused> {
  return validate(configurationFileSchema, value).andThen((file) => {
    const faults = [...shareFaults(file), ...drainFaults(file)]
    return faults.length === 0 ? ok(file) : err(new DocumentRefused(faults))
  })
}

/** Checks the text of an operators' file; one that the store could not hold is refused. */
export function parseConfigurationFile (text: string): Result<ConfigurationFile, DocumentRefused> {
  const bytes = Buffer.byteLength(text)
  if (bytes > MAXIMUM_VALUE_BYTES) return err(tooLarge(bytes))
  return parseJson(text).andThen(checkConfigurationFile)
}

/** The fault of a document that is larger than the store's values may be. */
export function tooLarge (bytes: number): DocumentRefused {
  const reason = `has ${bytes} bytes, and the key-value service holds ${MAXIMUM_VALUE_BYTES} at most`
  return new DocumentRefused([{ path: DOCUMENT_PATH, reason, example: 'fewer services or tenants' }])
}

/**
 * The configuration as the decision logic sees it, from a document as passed between instances.
 * @param document bytes of the operators' file
 * @param version the version under which the store accepted it
 */
export function parseConfiguration (document: Uint8Array, version: number): Result<Configuration, DocumentRefused> {
  return parseConfigurationFile(Buffer.from(document).toString('utf8')).map((file) => toConfiguration(file, version))
}

/** A stored record, ready for use: the configuration, and the document to pass on to other instances. */
export interface ReadConfiguration {
  configuration: Configuration
  /** Bytes for `parseConfiguration` at another instance. */
  document: Uint8Array
}

/** Reads the value under the store's configuration key. */
export function readStoredConfiguration (value: Uint8Array | string): Result<ReadConfiguration, DocumentRefused> {
  return parseStoredConfiguration(value).map((stored) => ({
    configuration: toConfiguration(stored.document, stored.version),
    document: Buffer.from(JSON.stringify(stored.document))
  }))
}

/** Checks the record under the store's configuration key, or under one of its history keys. */
export function parseStoredConfiguration (value: Uint8Array | string): Result<StoredConfiguration, DocumentRefused> {
  return parseJson(typeof value === 'string' ? value : Buffer.from(value).toString('utf8'))
    .andThen((parsed) => validate(storedSchema, parsed))
    .andThen((stored) => checkConfigurationFile(stored.document).map((document) => ({ ...stored, document })))
}

/** The configuration as the decision logic sees it. */
export function toConfiguration (file: ConfigurationFile, version: number): Configuration {
  return {
    version,
    services: withoutPrototype(file.services),
    providers: withoutPrototype(file.providers),
    tenants: withoutPrototype(file.tenants),
    draining: file.draining
  }
}

/**
 * With an ordinary object, a job for the service `constructor` finds the inherited function and is
 * taken as one of a known service. A record without prototype has only the names that it declares.
 */
function withoutPrototype<Value> (record: Record<string, Value>): Record<string, Value> {
  return Object.assign(Object.create(null), record)
}

/** Things worth a look that an operator may still want. */
export function warningsOf (file: ConfigurationFile): string[] {
  const draining = new Set(file.draining.providers)
  return Object.entries(file.services)
    .filter(([, service]) => providersWithShare(service.shares).every((provider) => draining.has(provider)))
    .map(([name]) => `services.${name}: every provider with a share is draining, so its jobs will be refused`)
}

function sumFault (shares: Record<string, number>): string | undefined {
  const values = Object.values(shares)
  if (values.some((share) => typeof share !== 'number')) return undefined
  const sum = values.reduce((total, share) => total + share, 0)
  if (Math.abs(sum - WHOLE_SHARE) <= SHARE_TOLERANCE) return undefined
  return `shares sum to ${Number(sum.toFixed(6))}, not to ${WHOLE_SHARE}`
}

function providersWithShare (shares: Record<string, number>): string[] {
  return Object.keys(shares).filter((provider) => (shares[provider] ?? 0) > 0)
}

function shareFaults (file: ConfigurationFile): Fault[] {
  return Object.entries(file.services).flatMap(([service, { shares }]) =>
    Object.keys(shares).flatMap((provider) => shareFault(file, service, provider)))
}

function shareFault (file: ConfigurationFile, service: string, provider: string): Fault[] {
  const path = formatPath(['services', service, 'shares', provider])
  const declared = Object.hasOwn(file.providers, provider) ? file.providers[provider] : undefined
  if (declared === undefined) {
    return [{ path, reason: `provider ${provider} is not declared under providers`, example: `"providers":{"${provider}":{"expectedTargets":3}}` }]
  }
  const share = file.services[service]?.shares[provider] ?? 0
  if (share === 0 || declared.expectedTargets > 0) return []
  return [{ path, reason: `provider ${provider} has no target: its expectedTargets is 0`, example: '0, or an expectedTargets of 1 or more' }]
}

function drainFaults (file: ConfigurationFile): Fault[] {
  return file.draining.providers.flatMap((provider, index) => {
    if (Object.hasOwn(file.providers, provider)) return []
    const known = Object.keys(file.providers).join(', ')
    return [{ path: `draining.providers[${index}]`, reason: `provider ${provider} is not declared under providers`, example: known === '' ? 'none declared' : known }]
  })
}
