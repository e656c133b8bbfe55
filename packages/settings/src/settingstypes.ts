/** Types of the daemon's settings with all defaults applied. Imports no library, to save memory. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import type { PolicyName } from '@amaranthmast/coordination/policies'

/** Role of a daemon. */
export enum Role {
  /** Accepts jobs from callers and dispatches their tasks. */
  Entry = 'entry',
  /** Announces the target beside it and starts its tasks. */
  Agent = 'agent'
}

/** Minimum severity that is logged. */
export enum LogLevel {
  Fatal = 'fatal',
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
  Trace = 'trace',
  Silent = 'silent'
}

/** Address that a listener binds to. */
export interface ListenerSettings {
  /** IP number. @default '127.0.0.1' */
  host: string
  /** TCP port; 0 lets the operating system choose. */
  port: number
}

/** Listener of an entry for agents and other entries. */
export interface PeersSettings extends ListenerSettings {
  /** URL at which agents and other entries reach the listener. @default built from host and port */
  address: string
}

/** Access to the key-value service. */
export interface StoreSettings {
  /** URLs of the service's instances, tried in turn. */
  endpoints: string[]
  /** Prefix of every key; ends in a slash. @default '/amaranthmast/' */
  prefix: string
  /** Timeout of one call, in milliseconds. @default 1000 */
  timeoutMilliseconds: number
}

/** The target beside an agent. */
export interface TargetSettings {
  /** Base URL; tasks are sent with POST to `{url}/run`. */
  url: string
  provider: string
  services: string[]
  /** Number of tasks that run concurrently. @default 8 */
  slots: number
  /** Number of accelerators of the target. @default 0 */
  accelerators: number
  /** Memory offered to tasks that declare a memory need, in megabytes. @default 0 */
  memoryMegabytes: number
}

/** Settings common to both roles. */
export interface CommonSettings {
  /** Stable name; unique among the daemons of its role. */
  id: string
  dataCentre: string
  /** @default '' (unknown) */
  rack: string
  store: StoreSettings
  /** Listener for health, metrics and status. */
  status: ListenerSettings
  /** Overrides of the default timings by name, in milliseconds. @default {} */
  timings: Partial<Timings>
  log: { level: LogLevel }
}

/** Settings of an entry. */
export interface EntrySettings extends CommonSettings {
  role: Role.Entry
  /** Listener for callers. */
  callers: ListenerSettings
  peers: PeersSettings
  /** `policy`: name of the scheduling policy; the daemon's default when absent. */
  scheduler: { policy?: PolicyName | undefined }
}

/** Settings of an agent. */
export interface AgentSettings extends CommonSettings {
  role: Role.Agent
  target: TargetSettings
  /** URLs of the peer listeners of a few entries. The agent reads the view from them while the key-value service is unavailable. @default [] */
  seeds: string[]
}

/** Settings of one daemon. */
export type Settings = EntrySettings | AgentSettings
