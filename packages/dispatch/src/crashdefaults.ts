/** Constants of crash suspects and cancellations. Durations in milliseconds unless the name says otherwise. */

/** How long a crash is remembered against the tasks that were there: a caller comes back with its job while it waits, up to 30 s. */
export const CRASH_MEMORY_MILLISECONDS = 30_000

/** Tasks and lives of its target that an agent remembers, and suspects that an entry does. */
export const CRASHES_REMEMBERED = 256
export const SUSPECTS_REMEMBERED = 5000

/** Crashes of two targets convict a task that hardly anything ran beside at one of them; after three it is never started. */
export const CRASHES_BEFORE_CONVICTION = 2
export const CRASHES_BEFORE_GIVING_UP = 3
export const CRASH_COMPANIONS = 1

/** What placing a suspect on the fullest rather than the emptiest target is worth avoiding: more than any distance or pace. */
export const SUSPECT_LOAD_MILLISECONDS = 10_000

/**
 * Targets that go down within this time have one cause when they are so large a part of those known, and at least so many: a
 * rack without power. The agents find out within a poll and its slack, 200 ms.
 */
export const CRASH_WAVE_MILLISECONDS = 250
export const CRASH_WAVE_PART = 0.1
export const CRASH_WAVE_LEAST = 3

// Cancellations

/** How long a cancellation is remembered: its caller, or a submission under way, may come back for as long as callers wait, 30 s. */
export const CANCELLATION_MEMORY_MILLISECONDS = 30_000
export const CANCELLATIONS_REMEMBERED = 5000

/**
 * Time for which a run that nobody here asked for may stay listed, while it is ordered to stop with each poll, before the
 * lease ends it at the price of what runs beside it: four stops without an answer.
 */
export const STRAY_MILLISECONDS = 400
