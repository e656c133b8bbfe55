/**
 * Schema of the operators' configuration file and of the record in which it is stored.
 *
 * A provider with `expectedTargets` 0 has no targets, so a share above 0 for it is rejected. A share of
 * exactly 0 is accepted; it remains at the end of a migration to another provider. The daemon rejects
 * unknown fields too, because a daemon that does not support a field must not report the document as
 * being in effect.
 */
import type { Configuration } from '@amaranthmast/coordination/configuration'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import * as z from 'zod/mini'
import { DEFAULT_TENANT_WEIGHT, MAX_VALUE_BYTES } from './defaults.ts'
import { DocumentRefused } from './errors.ts'
import type { Fault } from './fault.ts'
import { DOCUMENT_PATH, formatPath } from './fault.ts'
import { countSchema, described, nameSchema } from './fields.ts'
import { parseJson, validate } from './validation.ts'

/** Required sum of the shares of one service, in percent. */
const TOTAL_SHARE = 100

/** Rounding error allowed in the sum of fractional shares. */
const SHARE_TOLERANCE = 1e-6

const shareSchema = described(z.number().check(z.minimum(0), z.maximum(TOTAL_SHARE)), 'Share of the provider in percent', 60)

const sharesSchema = described(
  z.record(nameSchema, shareSchema).check(z.check(({ value, issues }) => {
    const reason = describeShareSumFault(value)
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

/** Validated configuration file with all defaults applied. */
export type ConfigurationFile = z.output<typeof fileSchema>

const storedSchema = z.strictObject({
  version: described(z.int().check(z.minimum(1)), 'Version of the configuration', 8),
  applyId: described(z.string().check(z.minLength(1)), 'Names the apply that wrote it', '0f8fad5b-d9cb-469f-a165-70867728950e'),
  appliedAt: described(z.string(), 'When it was applied, by the clock of the tool', '2026-12-02T18:00:00.000Z'),
  document: described(z.unknown(), 'The configuration file', {})
})

/** Stored version of the configuration. */
export interface StoredConfiguration {
  version: number
  /** Identifies the apply that wrote it, so that a tool whose write got no response can read back whether it succeeded. */
  applyId: string
  /** ISO 8601 time, from the clock of the tool that applied it. */
  appliedAt: string
  document: ConfigurationFile
}

/** Validates a value against the schema and the rules between fields. */
export function checkConfigurationFile (value: unknown): Result<ConfigurationFile, DocumentRefused> {
  return validate(configurationFileSchema, value).andThen((file) => {
    const faults = [...findShareFaults(file), ...findDrainFaults(file)]
    return faults.length === 0 ? ok(file) : err(new DocumentRefused(faults))
  })
}

/** Parses and validates the text of a configuration file. Rejects a file that exceeds the store's value size. */
export function parseConfigurationFile (text: string): Result<ConfigurationFile, DocumentRefused> {
  const bytes = Buffer.byteLength(text)
  if (bytes > MAX_VALUE_BYTES) return err(documentTooLarge(bytes))
  return parseJson(text).andThen(checkConfigurationFile)
}

/** Error for a document that exceeds the store's maximum value size. */
export function documentTooLarge (bytes: number): DocumentRefused {
  const reason = `has ${bytes} bytes, and the key-value service holds ${MAX_VALUE_BYTES} at most`
  return new DocumentRefused([{ path: DOCUMENT_PATH, reason, example: 'fewer services or tenants' }])
}

/**
 * Parses a document received from another instance into the form that the decision logic uses.
 * @param document bytes of the configuration file
 * @param version version under which the document is stored
 */
export function parseConfiguration (document: Uint8Array, version: number): Result<Configuration, DocumentRefused> {
  return parseConfigurationFile(Buffer.from(document).toString('utf8')).map((file) => toConfiguration(file, version))
}

/** Configuration read from a stored record, together with the document to send to other instances. */
export interface LoadedConfiguration {
  configuration: Configuration
  /** Input for `parseConfiguration` at another instance. */
  document: Uint8Array
}

/** Parses the value of the configuration key in the store. */
export function readStoredConfiguration (value: Uint8Array | string): Result<LoadedConfiguration, DocumentRefused> {
  return parseStoredConfiguration(value).map((stored) => ({
    configuration: toConfiguration(stored.document, stored.version),
    document: Buffer.from(JSON.stringify(stored.document))
  }))
}

/** Parses and validates the value of the configuration key or of a history key. */
export function parseStoredConfiguration (value: Uint8Array | string): Result<StoredConfiguration, DocumentRefused> {
  return parseJson(typeof value === 'string' ? value : Buffer.from(value).toString('utf8'))
    .andThen((parsed) => validate(storedSchema, parsed))
    .andThen((stored) => checkConfigurationFile(stored.document).map((document) => ({ ...stored, document })))
}

/** Converts a file to the form that the decision logic uses. */
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
 * Copies a record to an object without a prototype. In an ordinary object, looking up a service named
 * `constructor` returns the inherited function, so a job for it would be accepted as one for a known service.
 */
function withoutPrototype<Value> (record: Record<string, Value>): Record<string, Value> {
  return Object.assign(Object.create(null), record)
}

/** Returns warnings about valid settings that may be unintended. */
export function findWarnings (file: ConfigurationFile): string[] {
  const draining = new Set(file.draining.providers)
  return Object.entries(file.services)
    .filter(([, service]) => providersWithShare(service.shares).every((provider) => draining.has(provider)))
    .map(([name]) => `services.${name}: every provider with a share is draining, so its jobs will be refused`)
}

function describeShareSumFault (shares: Record<string, number>): string | undefined {
  const values = Object.values(shares)
  if (values.some((share) => typeof share !== 'number')) return undefined
  const sum = values.reduce((total, share) => total + share, 0)
  if (Math.abs(sum - TOTAL_SHARE) <= SHARE_TOLERANCE) return undefined
  return `shares sum to ${Number(sum.toFixed(6))}, not to ${TOTAL_SHARE}`
}

function providersWithShare (shares: Record<string, number>): string[] {
  return Object.keys(shares).filter((provider) => (shares[provider] ?? 0) > 0)
}

function findShareFaults (file: ConfigurationFile): Fault[] {
  return Object.entries(file.services).flatMap(([service, { shares }]) =>
    Object.keys(shares).flatMap((provider) => findShareFault(file, service, provider)))
}

function findShareFault (file: ConfigurationFile, service: string, provider: string): Fault[] {
  const path = formatPath(['services', service, 'shares', provider])
  const declared = Object.hasOwn(file.providers, provider) ? file.providers[provider] : undefined
  if (declared === undefined) {
    return [{ path, reason: `provider ${provider} is not declared under providers`, example: `"providers":{"${provider}":{"expectedTargets":3}}` }]
  }
  const share = file.services[service]?.shares[provider] ?? 0
  if (share === 0 || declared.expectedTargets > 0) return []
  return [{ path, reason: `provider ${provider} has no target: its expectedTargets is 0`, example: '0, or an expectedTargets of 1 or more' }]
}

function findDrainFaults (file: ConfigurationFile): Fault[] {
  return file.draining.providers.flatMap((provider, index) => {
    if (Object.hasOwn(file.providers, provider)) return []
    const known = Object.keys(file.providers).join(', ')
    return [{ path: `draining.providers[${index}]`, reason: `provider ${provider} is not declared under providers`, example: known === '' ? 'none declared' : known }]
  })
}
