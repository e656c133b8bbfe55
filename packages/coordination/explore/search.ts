/** Tries schedules made by fast-check until one breaks an invariant, and shrinks that one. */
import fc from 'fast-check'
import type { Violation } from './invariants.ts'
import type { Schedule } from './schedule.ts'
import { focusOf, guardsWithout } from './guards.ts'
import { schedules } from './schedule.ts'
import { runSchedule } from './steps.ts'

export interface SearchOptions {
  seed: number
  runs: number
  /** Guard to switch off. */
  broken?: string | undefined
  shrink: boolean
}

export interface Found {
  /** Schedules tried before the failing one was found, or all. */
  runs: number
  shrinks: number
  violation: Violation | undefined
  schedule: Schedule | undefined
  /** Answers given, by kind and cause. */
  answers: Map<string, number>
}

export function search ({ seed, runs, broken, shrink }: SearchOptions): Found {
  const guards = guardsWithout(broken)
  const answers = new Map<string, number>()
  let failed = false
  const property = fc.property(schedules(focusOf(broken)), schedule => {
    const { violation, world } = runSchedule(schedule, guards)
    if (!failed) for (const [label, count] of world.judge.answers) answers.set(label, (answers.get(label) ?? 0) + count)
    failed ||= violation !== undefined
    return violation === undefined
  })
  const outcome = fc.check(property, { seed, numRuns: runs, endOnFailure: !shrink })
  const schedule = outcome.counterexample?.[0]
  const violation = schedule === undefined ? undefined : runSchedule(schedule, guards).violation
  return { runs: outcome.numRuns, shrinks: outcome.numShrinks, violation, schedule, answers }
}
