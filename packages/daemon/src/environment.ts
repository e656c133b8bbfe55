/** What a daemon takes from the process that it runs in. */
import type { Instance } from '@amaranthmast/coordination/messages'
import type { Logger } from './log.ts'

export interface Environment {
  /** This run of the process. */
  instance: Instance
  log: Logger
  /** Clock in milliseconds that is never set back. */
  now: () => number
  /** Milliseconds since 1970, which may be set back. */
  wallClock: () => number
  /** Random numbers from 0 to below 1. */
  random: () => number
}

/** A daemon of either role. */
export interface Daemon {
  /** Settles when nothing is left to do; rejects with a fault of the program. */
  run: () => Promise<void>
  /** Orders a planned stop: what is in progress ends first. */
  stop: () => void
  /** What keeps a planned stop from ending, for the log. */
  unfinished: () => Readonly<Record<string, number>>
  /** Breaks everything off. */
  close: () => Promise<void>
}
