/** Named constants of the trials. Times are in milliseconds. */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Folder of the bundled programs: the build's, unless the environment names another build. */
export const PROGRAMS = process.env.AMARANTHMAST_PROGRAMS ??
  join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', 'dist')

/** Bound of one test: only a system that has stopped for good reaches it. */
export const TEST_TIMEOUT = 120_000

/** Longest wait for something that a trial needs to see before it goes on. */
export const PATIENCE = 40_000

/** Time between two looks at something that is waited for. */
export const POLL = 10

/** Bound of one submission, far above every deadline that a trial states. */
export const SUBMISSION_TIMEOUT = 30_000

/** Deadline of jobs that state no other. */
export const DEADLINE = 15_000

/** Slots of every target of a trial. */
export const SLOTS = 4

/** Names that a trial tries until it finds a job id of a given owner. */
export const NAMES_TRIED = 1_000

/** Time after which the callers of a load take a submission for lost: short, so that many are sent twice. */
export const LOAD_PATIENCE = 3_000

/**
 * Silence after which an entry of a trial asks for a peer's removal: twice the default, since the tests
 * share the machine with others, and a process that gets no processor looks silent. Measurements
 * of recovery keep the default.
 */
export const SUSPECT = 2_400
