/** Constants shared by the trials. Times are in milliseconds. */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Folder of the bundled programs: `dist`, unless `AMARANTHMAST_PROGRAMS` names another build. */
export const PROGRAMS = process.env.AMARANTHMAST_PROGRAMS ??
  join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', 'dist')

/** Timeout of one test. Only a system that makes no progress at all reaches it. */
export const TEST_TIMEOUT = 120_000

/** Timeout for one condition that a trial waits for before it continues. */
export const WAIT_TIMEOUT = 40_000

/** Interval at which a condition is polled. */
export const POLL_INTERVAL = 10

/** Timeout of one submission, far above the deadline of every job in a trial. */
export const SUBMISSION_TIMEOUT = 30_000

/** Default deadline of a job. */
export const DEADLINE = 15_000

/** Default number of slots of each target. */
export const SLOTS = 4

/** Number of candidate job ids that are searched for ids with a given owner. */
export const MAX_CANDIDATE_IDS = 1_000

/** Time after which the callers of a load resubmit an unanswered job. Short, so that many jobs are submitted twice. */
export const LOAD_SUBMISSION_TIMEOUT = 3_000

/**
 * Time without contact after which an entry of a trial requests a peer's removal. Longer than the default of
 * 1,800, because the tests share the machine with others, and a process that gets no CPU time looks unresponsive.
 * Measurements of recovery use the default.
 */
export const SUSPECT_TIMEOUT = 2_400
