/** Entries of the key-value service and the outcomes of calls, as the rest of the system sees them. */
import type { StoreError } from './errors.ts'

/** One key with its value. */
export interface KeyValueEntry {
  key: string
  /** Text in UTF-8. */
  value: string
  /** Revision of the store at which the key was written last. */
  modRevision: number
  /** Writes since the key was created, beginning with 1. */
  version: number
  /** Lease that the key is attached to, if any. */
  lease?: string
}

/** Outcome of `read`. */
export interface ReadResult {
  /** Undefined when the key does not exist. */
  entry: KeyValueEntry | undefined
  /** Revision of the store as of this read. */
  revision: number
}

/** Outcome of `readIfChanged`; `revision` is that of the store as of this read. */
export type ChangeResult =
  | { changed: false, revision: number }
  /** `entry` is what the key holds now, undefined when it does not exist. */
  | { changed: true, revision: number, entry: KeyValueEntry | undefined }

/** Outcome of `readPrefix`. */
export interface PrefixResult {
  entries: KeyValueEntry[]
  /** Whether there are more entries than the limit allowed. */
  more: boolean
  /** Revision of the store as of this read. */
  revision: number
}

/** Outcome of `compareAndSwap`. */
export type SwapResult =
  | { applied: true, revision: number }
  /** Nothing was written; `entry` is what the key holds, undefined when it does not exist. */
  | { applied: false, revision: number, entry: KeyValueEntry | undefined }

/** Outcome of `grantLease` and `keepLeaseAlive`. */
export interface LeaseResult {
  /** Decimal number, in text because it exceeds what a number holds exactly. */
  lease: string
  /** Time to live in seconds; 0 when the lease has expired. */
  seconds: number
}

/** What happened to a watched key. */
export enum WatchEventKind {
  Put = 'put',
  Delete = 'delete'
}

/** One change of a watched key. */
export type WatchEvent =
  | { kind: WatchEventKind.Put, entry: KeyValueEntry }
  | { kind: WatchEventKind.Delete, key: string, modRevision: number }

/** Why a watch ended. */
export enum WatchEndKind {
  /** It could not be opened, or broke off. */
  Cut = 'cut',
  /** The changes it asked for are no longer kept: read the key, then watch from there. */
  Compacted = 'compacted'
}

/** End of a watch. */
export type WatchEnd =
  | { kind: WatchEndKind.Cut, error: StoreError }
  | { kind: WatchEndKind.Compacted, compactRevision: number }

/** Calls made so far, as the service counts them: every attempt is one. */
export interface CallCounts {
  reads: number
  writes: number
  /** Grants, keepalives and revocations. */
  leases: number
  watchesOpened: number
  /** Watches open at this moment. */
  watchesOpen: number
}
