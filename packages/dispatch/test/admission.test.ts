/** How early a waiting job is refused, depending on recent refusals and late answers. */
import { test } from 'node:test'
import { expect } from 'earl'
import { Admission } from '../src/admission.ts'
import { Reason } from '../src/entrytypes.ts'
import { Job } from '../src/job.ts'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { Pressure } from '../src/pressure.ts'
import { QUEUE, step } from './entrybench.ts'

const ARRIVED = 1000

/**
 * A job with one task of 300 ms: its objective is 1.6 times that plus 60 ms, so that it must start within 240 ms of its
 * arrival.
 */
function waitingJob (pressure: Pressure): { verdictAfter: (milliseconds: number, othersWait?: boolean) => Reason } {
  const admission = new Admission(DEFAULT_POLICY, pressure)
  const job = new Job({ id: 'job', queue: QUEUE, payload: '', steps: [step(1)], remaining: 4000 }, ARRIVED)
  admission.estimate(job, ARRIVED)
  return { verdictAfter: (milliseconds, othersWait = true) => admission.refusalReason(job, othersWait, ARRIVED + milliseconds) }
}

/** The given numbers of a hundred jobs were refused, or late. */
function pressureOf (refused: number, late: number): Pressure {
  const pressure = new Pressure()
  for (let index = 0; index < 100; index += 1) index < refused ? pressure.noteRefused(ARRIVED) : pressure.noteBegun(ARRIVED)
  for (let index = 0; index < late; index += 1) pressure.noteLate(ARRIVED)
  return pressure
}

test('a job is kept until it must start while all are served in time', () => {
  const job = waitingJob(new Pressure())
  expect(job.verdictAfter(235)).toEqual(Reason.None)
  expect(job.verdictAfter(245)).toEqual(Reason.Overload)
})

for (const [what, pressure] of [['refused', pressureOf(12, 0)], ['late', pressureOf(0, 12)]] as const) {
  test(`with a tenth of the jobs ${what} a job is refused with 0.3 of its objective left`, () => {
    const job = waitingJob(pressure)
    expect(job.verdictAfter(70)).toEqual(Reason.None)
    expect(job.verdictAfter(85)).toEqual(Reason.Overload)
  })
}

test('with fewer refusals a job is refused between the two', () => {
  const job = waitingJob(pressureOf(5, 0))
  expect(job.verdictAfter(150)).toEqual(Reason.None)
  expect(job.verdictAfter(170)).toEqual(Reason.Overload)
})

test('a job is kept until its result has no value while no other job waits', () => {
  const job = waitingJob(pressureOf(50, 50))
  expect(job.verdictAfter(1300, false)).toEqual(Reason.None)
  expect(job.verdictAfter(1330, false)).toEqual(Reason.Overload)
})
