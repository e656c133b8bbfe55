/** Names of runs of processes. */
import type { Instance } from '@amaranthmast/coordination/messages'

const RANDOM_LENGTH = 4
const BASE = 36

/**
 * Name of this run of a process, `id#incarnation`. It begins with the start time, so that a later
 * run sorts after an earlier one, and ends in random characters, which keep two runs apart that
 * start in the same millisecond or after the clock was set back.
 *
 * @param startedAt milliseconds since 1970
 */
export function newInstance (id: string, startedAt: number, random: () => number): Instance {
  const noise = Math.floor(random() * BASE ** RANDOM_LENGTH).toString(BASE).padStart(RANDOM_LENGTH, '0')
  return `${id}#${Math.floor(startedAt).toString(BASE)}${noise}`
}
