/** Default timings and memory limits of entries and agents. Durations are in milliseconds. */

/** Intervals and timeouts of entries and agents. */
export interface Timings {
  /**
   * Interval of heartbeats between entries, and from agents to entries.
   * @default 400
   */
  heartbeat: number
  /**
   * Time without a message after which an entry asks the store to remove a peer from the view. It is longer
   * than a garbage collection pause and than the TCP retransmission delay after a link failure of one
   * second, so that neither removes a live entry.
   * @default 1800
   */
  suspect: number
  /**
   * How long an agent may start tasks after its view was last confirmed, or after its last contact with
   * every entry of the view.
   * @default 2500
   */
  contact: number
  /**
   * How long an agent may be disconnected before its unfinished tasks are abandoned.
   * @default 2000
   */
  agentLost: number
  /**
   * Interval at which an entry reads the view from the store.
   * @default 1000
   */
  viewRead: number
  /**
   * How long job ids, start marks and answers are retained.
   * @default 600000
   */
  retention: number
  /**
   * How long the entry that received a request waits for the owner's answer after the deadline.
   * @default 300
   */
  answerGrace: number
  /**
   * Maximum difference between the submission time that a caller states and the entry's wall clock.
   * @default 60000
   */
  clockMargin: number
}

/** Timings used where the settings give none. */
export const DEFAULT_TIMINGS: Timings = {
  heartbeat: 400,
  suspect: 1800,
  contact: 2500,
  agentLost: 2000,
  viewRead: 1000,
  retention: 600_000,
  answerGrace: 300,
  clockMargin: 60_000
}

/** Limits on what entries and agents hold in memory. */
export interface MemoryLimits {
  /**
   * Bytes of results that an agent retains for entries that may ask again.
   * @default 8388608
   */
  ledgerBytes: number
  /**
   * Bytes of answers that an entry retains for callers that may ask again.
   * @default 16777216
   */
  answerBytes: number
  /**
   * Maximum number of unanswered jobs at an entry; further ones are refused.
   * @default 20000
   */
  openJobs: number
}

/** Memory limits used where the settings give none. */
export const DEFAULT_MEMORY_LIMITS: MemoryLimits = {
  ledgerBytes: 8 * 1024 * 1024,
  answerBytes: 16 * 1024 * 1024,
  openJobs: 20_000
}

/**
 * Maximum relative difference between the clock rates of two processes. Waits that rely on another
 * process's clock are longer by this fraction.
 */
export const CLOCK_RATE_MARGIN = 0.1

/** Time after which a caller is asked to try again at an entry that is not ready. */
export const NOT_READY_RETRY_MILLISECONDS = 1000
