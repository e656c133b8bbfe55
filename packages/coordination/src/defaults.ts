/** Defaults of the coordination parts. Durations are in milliseconds. */

/** How quickly the parts notice, decide and forget. */
export interface Timings {
  /**
   * Interval of heartbeats between entries, and from agents to entries.
   * @default 400
   */
  heartbeat: number
  /**
   * Silence after which an entry asks the store to remove a peer from the view. Longer than a pause
   * of garbage collection and than the wait of TCP after a cut of a second, so that neither has a
   * live entry removed.
   * @default 1800
   */
  suspect: number
  /**
   * How long an agent may start tasks on the strength of one confirmation of its view, or of one
   * contact with every entry of it.
   * @default 2500
   */
  contact: number
  /**
   * How long an agent may be disconnected before its unfinished tasks are given up.
   * @default 2000
   */
  agentLost: number
  /**
   * Interval at which an entry reads the view from the store.
   * @default 1000
   */
  viewRead: number
  /**
   * How long job ids, start marks and answers are remembered.
   * @default 600000
   */
  retention: number
  /**
   * How long a receiving entry waits past the deadline for the answer of the owner.
   * @default 300
   */
  answerGrace: number
  /**
   * By how much a caller's statement of when it lodged a job may differ from the entry's wall clock.
   * @default 60000
   */
  clockMargin: number
}

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

/** Bounds of what the parts hold in memory. */
export interface MemoryLimits {
  /**
   * Bytes of results that an agent holds for entries that may ask again.
   * @default 8388608
   */
  ledgerBytes: number
  /**
   * Bytes of answers that an entry holds for callers that may ask again.
   * @default 16777216
   */
  answerBytes: number
  /**
   * Jobs that an entry holds unanswered before it refuses more.
   * @default 20000
   */
  openJobs: number
}

export const DEFAULT_MEMORY_LIMITS: MemoryLimits = {
  ledgerBytes: 8 * 1024 * 1024,
  answerBytes: 16 * 1024 * 1024,
  openJobs: 20_000
}

/**
 * By how much the rate of one process's clock may differ from another's: waits that rely on
 * another process's clock are longer by this part.
 */
export const CLOCK_RATE_MARGIN = 0.1

/** When to come back to an entry that is not ready. */
export const NOT_READY_RETRY_MILLISECONDS = 1000
