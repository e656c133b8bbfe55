/**
 * Schema of the daemon's settings file. A daemon loads the schema library for its own settings only
 * through this module. To save memory, import it dynamically and import types from `settingstypes.ts`.
 */
import { readFileSync } from 'node:fs'
import type { Timings } from '@amaranthmast/coordination/defaults'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { PolicyName } from '@amaranthmast/coordination/policies'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import * as z from 'zod/mini'
import {
  DEFAULT_ACCELERATORS, DEFAULT_CALLERS_PORT, DEFAULT_HOST, DEFAULT_LOG_LEVEL, DEFAULT_MEMORY_MEGABYTES,
  DEFAULT_PEERS_PORT, DEFAULT_SLOTS, DEFAULT_STATUS_PORT, DEFAULT_STORE_PREFIX, DEFAULT_STORE_TIMEOUT_MILLISECONDS,
  MAX_SEEDS
} from './defaults.ts'
import type { SettingsError } from './errors.ts'
import { DocumentRefused, FileUnreadable } from './errors.ts'
import { countSchema, described, millisecondsSchema, nameSchema, optionalNameSchema, portSchema, prefixSchema, urlSchema } from './fields.ts'
import type { AgentSettings, EntrySettings, Settings } from './settingstypes.ts'
import { LogLevel, Role } from './settingstypes.ts'
import { findTimingFaults } from './timingconstraints.ts'
import { parseJson, validate } from './validation.ts'

export type { AgentSettings, EntrySettings, Settings } from './settingstypes.ts'

const ADDRESS_EXAMPLE = '"http://10.0.0.7:7101"'

/** Wildcard addresses, which stand for all interfaces and cannot be connected to. */
const WILDCARD_HOSTS = new Set(['0.0.0.0', '::'])

const hostSchema = z._default(described(z.string().check(z.minLength(1)), 'IP number to bind to', '10.0.0.7'), DEFAULT_HOST)

function listenerFields (port: number) {
  return {
    host: hostSchema,
    port: z._default(described(portSchema, 'TCP port; 0 lets the operating system choose', port), port)
  }
}

/** Builds one optional field for each timing of the decision logic. */
function timingFields () {
  const fields = Object.entries(DEFAULT_TIMINGS).map(([name, milliseconds]) =>
    [name, z.optional(described(millisecondsSchema, `Milliseconds; ${milliseconds} when absent`, milliseconds))])
  return Object.fromEntries(fields) as Record<keyof Timings, z.ZodMiniOptional<typeof millisecondsSchema>>
}

const storeSchema = z.strictObject({
  endpoints: described(z.array(described(urlSchema, 'URL of an instance of the key-value service', 'http://127.0.0.1:2379')).check(z.minLength(1)),
    'URLs of the key-value service, tried in turn', ['http://127.0.0.1:2379']),
  prefix: z._default(described(prefixSchema, 'Prefix of every key; begins and ends with a slash', '/amaranthmast/'), DEFAULT_STORE_PREFIX),
  timeoutMilliseconds: z._default(described(millisecondsSchema, 'Time limit of one call, in milliseconds', 1000), DEFAULT_STORE_TIMEOUT_MILLISECONDS)
})

const timingsSchema = z.strictObject(timingFields())

const commonFields = {
  id: described(nameSchema, 'Stable name of this daemon, unique within its role', 'entry-1'),
  dataCentre: described(nameSchema, 'Data centre that the daemon runs in', 'gulf-1'),
  rack: z._default(described(optionalNameSchema, 'Rack that the daemon runs in; empty when unknown', 'r1'), ''),
  store: described(storeSchema, 'Access to the key-value service', { endpoints: ['http://127.0.0.1:2379'] }),
  status: z.prefault(z.strictObject(listenerFields(DEFAULT_STATUS_PORT)), {}),
  timings: z._default(described(timingsSchema, 'Overrides of the default timings, in milliseconds', { heartbeat: 400 }), {}),
  log: z.prefault(z.strictObject({
    level: z._default(described(z.enum(LogLevel), 'Least severity that is logged', LogLevel.Info), DEFAULT_LOG_LEVEL as LogLevel)
  }), {})
}

const entrySchema = z.strictObject({
  role: described(z.literal(Role.Entry), 'What this daemon does', Role.Entry),
  ...commonFields,
  callers: z.prefault(z.strictObject(listenerFields(DEFAULT_CALLERS_PORT)), {}),
  peers: z.prefault(z.strictObject({
    ...listenerFields(DEFAULT_PEERS_PORT),
    address: z.optional(described(urlSchema, 'URL under which agents and other entries reach this listener', 'http://10.0.0.7:7101'))
  }), {}),
  scheduler: z.prefault(z.strictObject({
    policy: z.optional(described(z.enum(PolicyName), 'Scheduling policy; the default policy when absent', PolicyName.EvenSpread))
  }), {})
})

const targetSchema = z.strictObject({
  url: described(urlSchema, 'Base URL of the target', 'http://127.0.0.1:6101'),
  provider: described(nameSchema, 'Provider that the target belongs to', 'provider-a'),
  services: described(z.array(described(nameSchema, 'Service that the target runs', 'label-check')).check(z.minLength(1)),
    'Services that the target runs', ['label-check']),
  slots: z._default(described(z.int().check(z.minimum(1), z.maximum(10_000)), 'Tasks that run at one time', 8), DEFAULT_SLOTS),
  accelerators: z._default(described(countSchema, 'Accelerators beside the target', 2), DEFAULT_ACCELERATORS),
  memoryMegabytes: z._default(described(countSchema, 'Memory offered to tasks that declare a need for it, in megabytes', 65536), DEFAULT_MEMORY_MEGABYTES)
})

const agentSchema = z.strictObject({
  role: described(z.literal(Role.Agent), 'What this daemon does', Role.Agent),
  ...commonFields,
  target: described(targetSchema, 'The target beside this agent', { url: 'http://127.0.0.1:6101', provider: 'provider-a', services: ['label-check'] }),
  seeds: z._default(described(z.array(described(urlSchema, 'URL of the inner listener of an entry', 'http://10.0.0.7:7101')).check(z.maxLength(MAX_SEEDS)),
    'Entries that are asked for the view while the key-value service cannot be reached', ['http://10.0.0.7:7101', 'http://10.0.1.7:7101']), [])
})

/** Schema of the daemon's settings file. */
export const settingsSchema = described(z.discriminatedUnion('role', [entrySchema, agentSchema]),
  'Settings of one amaranthmast daemon')

/** Validates a value read from a settings file and applies all defaults. */
export function checkSettings (value: unknown): Result<Settings, DocumentRefused> {
  return validate(settingsSchema, value).andThen((checked) => {
    const faults = findTimingFaults(checked.timings)
    if (faults.length > 0) return err(new DocumentRefused(faults))
    if (checked.role === Role.Agent) return ok<AgentSettings>(checked)
    return fillPeersAddress(checked)
  })
}

/** Reads and validates a settings file. */
export function readSettings (path: string): Result<Settings, SettingsError> {
  return readText(path).andThen(parseJson).andThen(checkSettings)
}

/** Reads a file as text. */
export function readText (path: string): Result<string, FileUnreadable> {
  try {
    return ok(readFileSync(path, 'utf8'))
  } catch (error) {
    return err(new FileUnreadable(path, (error as NodeJS.ErrnoException).code ?? (error as Error).message))
  }
}

/**
 * Applies the default of `peers.address`. If the listener binds to a wildcard address or to port 0, the
 * address must be given: an entry that advertises these would join the view, but its peers would connect
 * to themselves or fail to connect.
 */
function fillPeersAddress (checked: z.output<typeof entrySchema>): Result<EntrySettings, DocumentRefused> {
  const { host, port, address } = checked.peers
  if (address !== undefined) return ok({ ...checked, peers: { host, port, address } })
  if (WILDCARD_HOSTS.has(host)) {
    const reason = `must be given when peers.host is ${host}, since nobody can connect to that`
    return err(new DocumentRefused([{ path: 'peers.address', reason, example: ADDRESS_EXAMPLE }]))
  }
  if (port === 0) {
    const reason = 'must be given when peers.port is 0, since the port is not known before the others are told of it'
    return err(new DocumentRefused([{ path: 'peers.address', reason, example: ADDRESS_EXAMPLE }]))
  }
  return ok({ ...checked, peers: { host, port, address: `http://${host.includes(':') ? `[${host}]` : host}:${port}` } })
}
