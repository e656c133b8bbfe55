/** Names of process incarnations. */
import type { Instance } from '@amaranthmast/coordination/messages'

const RANDOM_LENGTH = 4
const BASE = 36

/**
 * Creates the name of an incarnation of a process, `id#incarnation`. The incarnation begins with the
 * start time, so that a later one sorts after an earlier one, and ends with random characters, which
 * distinguish incarnations that start in the same millisecond or after the clock was set back.
 *
 * @param startedAt milliseconds since 1970
 */
export function newInstance (id: string, startedAt: number, random: () => number): Instance {
  const suffix = Math.floor(random() * BASE ** RANDOM_LENGTH).toString(BASE).padStart(RANDOM_LENGTH, '0')
  return `${id}#${Math.floor(startedAt).toString(BASE)}${suffix}`
}
