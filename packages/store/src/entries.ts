/** Key-value entries and call results, decoded from the wire format. */
import type { StoreError } from './errors.ts'

/** One key with its value. */
export interface KeyValueEntry {
  key: string
  /** Text in UTF-8. */
  value: string
  /** Store revision of the last write to the key. */
  modRevision: number
  /** Number of writes since the key was created; 1 after creation. */
  version: number
  /** ID of the lease that the key is attached to, if any. */
  lease?: string
}

/** Result of `read`. */
export interface ReadResult {
  /** Undefined when the key does not exist. */
  entry: KeyValueEntry | undefined
  /** Revision of the store as of this read. */
  revision: number
}

/** Result of `readIfChanged`; `revision` is the store revision as of this read. */
export type ChangeResult =
  | { changed: false, revision: number }
  /** `entry` is the current entry, undefined when the key does not exist. */
  | { changed: true, revision: number, entry: KeyValueEntry | undefined }

/** Result of `readPrefix`. */
export interface PrefixResult {
  entries: KeyValueEntry[]
  /** Whether the limit cut off further entries. */
  more: boolean
  /** Revision of the store as of this read. */
  revision: number
}

/** Result of `compareAndSwap`. */
export type SwapResult =
  | { applied: true, revision: number }
  /** Nothing was written; `entry` is the current entry, undefined when the key does not exist. */
  | { applied: false, revision: number, entry: KeyValueEntry | undefined }

/** Result of `grantLease` and `keepLeaseAlive`. */
export interface LeaseResult {
  /** Decimal lease ID, as a string because 64-bit integers exceed the exact range of `number`. */
  lease: string
  /** Time to live in seconds; 0 when the lease has expired. */
  seconds: number
}

/** Type of a change of a watched key. */
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
  /** The watch could not be opened, was cut or was cancelled. */
  Cut = 'cut',
  /** The requested revisions are compacted. Read the key, then watch from the revision of that read. */
  Compacted = 'compacted'
}

/** End of a watch. */
export type WatchEnd =
  | { kind: WatchEndKind.Cut, error: StoreError }
  | { kind: WatchEndKind.Compacted, compactRevision: number }

/** Number of calls made. Every attempt counts, matching the service's own count. */
export interface CallCounts {
  reads: number
  writes: number
  /** Grants, keepalives and revocations. */
  leases: number
  watchesOpened: number
  /** Watches open at this moment. */
  watchesOpen: number
}
