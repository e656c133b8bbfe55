/** Checks that answers `failed` rest on listed failures, over days with failing targets. */
import type { DayCounts } from '../src/figures.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { AnswerKind } from '@amaranthmast/dispatch/entrytypes'
import { SeededRandom } from '@amaranthmast/standins/random'
import { Callers } from '../src/callers.ts'
import { playDay } from '../src/day.ts'
import { drawDay } from '../src/dayplan.ts'
import { FailureCheck } from '../src/failurecheck.ts'
import { figuresOf } from '../src/figures.ts'
import { EmulatedFleet } from '../src/fleet.ts'
import { Timeline } from '../src/timeline.ts'
import { TroubleKind } from '../src/troubletypes.ts'
import { shortExperiment, trouble } from './experiments.ts'

const NO_COUNTS: DayCounts = { work: new Map(), seconds: 1, callerDelay: 0, crashes: 0, startsAfterCrashes: 0, starts: 0, fullStarts: 0, messages: 0, entryLoads: [], agentLoads: [], checks: [] }

test('a job may be answered as failed once a single task of it has enough listed failures', () => {
  const check = new FailureCheck()
  for (const task of ['job1.0.0.0', 'job1.0.0.1', 'job11.0.0.0', 'job11.0.0.0']) check.recordFailure(task)
  expect(check.violationOfFailed('job1', 2)).toEqual('job1 is answered as failed after at most 1 listed failures of one task, 2 are required')
  expect(check.violationOfFailed('job2', 1)).toEqual('job2 is answered as failed after at most 0 listed failures of one task, 1 are required')
  expect(check.violationOfFailed('job11', 2)).toEqual(undefined)
})

// Half of the targets fail most of their tasks while targets crash, some of them under a task that crashes them, answers are lost and orders arrive late.
for (const isolatesSuspects of [false, true]) {
  test(`every answer "failed" rests on listed failures${isolatesSuspects ? ' while suspects are isolated' : ''}`, () => {
    const failing = trouble(TroubleKind.Fail, { at: 1, for: 6, share: 0.5, factor: 0.8 })
    const crashes = [2, 2.6, 3.2, 3.8].map(at => trouble(TroubleKind.Crash, { at, for: 1, share: 0.3 }))
    const crashing = trouble(TroubleKind.Crashing, { at: 1, for: 6, share: 0.01, factor: 0.3, kindOfJob: 'lookup' })
    const lost = [TroubleKind.LostAnswers, TroubleKind.LateOrders].map(kind => trouble(kind, { at: 1, for: 6, share: 0.1 }))
    for (const seed of [1, 2, 3]) {
      const { failedSound, failedUnlisted } = playDay(shortExperiment({ troubles: [failing, ...crashes, crashing, ...lost] }), seed, { isolatesSuspects }).figures
      expect([failedSound > 0, failedUnlisted]).toEqual([true, 0])
    }
  })
}

test('answers "failed" for tasks that never failed are counted', () => {
  const plan = drawDay(shortExperiment({ seconds: 1 }), 1)
  const timeline = new Timeline()
  const callers = new Callers(plan, timeline, new SeededRandom(1), () => fleet)
  const fleet = new EmulatedFleet(plan, timeline, new SeededRandom(2), {}, {
    answered: (request, answer) => callers.answered(request, { ...answer, kind: AnswerKind.Failed }),
    entryEnded: () => {}
  })
  callers.start()
  timeline.runUntil(3000)
  expect([callers.results.length > 0, figuresOf(callers.results, NO_COUNTS).failedUnlisted]).toEqual([true, callers.results.length])
})
