/** What a daemon uses of the process that it runs in, and the interface that the process uses of the daemon. */
import type { Instance } from '@amaranthmast/coordination/messages'
import type { Logger } from './log.ts'

export interface Environment {
  /** Name of this incarnation of the process. */
  instance: Instance
  log: Logger
  /** Monotonic clock in milliseconds. */
  now: () => number
  /** Milliseconds since 1970; this clock may be set back. */
  wallClock: () => number
  /** Random numbers in [0, 1). */
  random: () => number
}

/** A daemon of either role. */
export interface Daemon {
  /** Settles when a planned stop is complete; rejects when the program has an internal error. */
  run: () => Promise<void>
  /** Begins a planned stop: work in progress is finished first. */
  stop: () => void
  /** Counts of the work that a planned stop still waits for, for the log. */
  unfinished: () => Readonly<Record<string, number>>
  /** Closes all listeners and connections, whatever is in progress. */
  close: () => Promise<void>
}
