/** The daemon's settings with every default filled in. Free of any library, so that it costs no memory. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import type { PolicyName } from '@amaranthmast/coordination/policies'

/** What one daemon does. */
export enum Role {
  /** Takes jobs from callers and dispatches their tasks. */
  Entry = 'entry',
  /** Announces the target beside it and starts its tasks. */
  Agent = 'agent'
}

/** Least severity that is logged. */
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

/** Inner listener of an entry. */
export interface PeersSettings extends ListenerSettings {
  /** URL under which agents and other entries reach the listener. @default made of host and port */
  address: string
}

/** Access to the key-value service. */
export interface StoreSettings {
  /** URLs of its instances, tried in turn. */
  endpoints: string[]
  /** Prefix of every key; ends in a slash. @default '/amaranthmast/' */
  prefix: string
  /** Time limit of one call, in milliseconds. @default 1000 */
  timeoutMilliseconds: number
}

/** The target beside an agent. */
export interface TargetSettings {
  /** Base URL; tasks are posted to `{url}/run`. */
  url: string
  provider: string
  services: string[]
  /** Tasks that run at one time. @default 8 */
  slots: number
  /** @default 0 */
  accelerators: number
  /** Memory offered to tasks that declare a need for it, in megabytes. @default 0 */
  memoryMegabytes: number
}

/** Settings of both roles. */
export interface CommonSettings {
  /** Stable name; unique among the daemons of its role. */
  id: string
  dataCentre: string
  /** @default '' (unknown) */
  rack: string
  store: StoreSettings
  /** Listener for health, metrics and status. */
  status: ListenerSettings
  /** Overrides of the default timings, in milliseconds, by the name of the timing. @default {} */
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
  /** URLs of inner listeners of a few entries, asked for the view while the key-value service cannot be. @default [] */
  seeds: string[]
}

/** Settings of one daemon. */
export type Settings = EntrySettings | AgentSettings
