/** How early a job that waits is refused: by what was refused and late lately. */
import { test } from 'node:test'
import { expect } from 'earl'
import { Admission } from '../src/admission.ts'
import { Reason } from '../src/entrytypes.ts'
import { Job } from '../src/job.ts'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { Pressure } from '../src/pressure.ts'
import { QUEUE, step } from './entrybench.ts'

const ARRIVED = 1000

/** A job of one task of 300 ms: objective 1.6 times that and 60 ms, so that it must begin 240 ms after its arrival. */
function waiting (pressure: Pressure): { verdictAfter: (milliseconds: number, othersWait?: boolean) => Reason } {
  const admission = new Admission(DEFAULT_POLICY, pressure)
  const job = new Job({ id: 'job', queue: QUEUE, payload: '', steps: [step(1)], remaining: 4000 }, ARRIVED)
  admission.estimate(job, ARRIVED)
  return { verdictAfter: (milliseconds, othersWait = true) => admission.verdict(job, othersWait, ARRIVED + milliseconds) }
}

/** So many of a hundred jobs were refused, or late. */
function pressed (refused: number, late: number): Pressure {
  const pressure = new Pressure()
  for (let index = 0; index < 100; index += 1) index < refused ? pressure.noteRefused(ARRIVED) : pressure.noteBegun(ARRIVED)
  for (let index = 0; index < late; index += 1) pressure.noteLate(ARRIVED)
  return pressure
}

test('while all are served in time a job is kept until it must begin', () => {
  const job = waiting(new Pressure())
  expect(job.verdictAfter(235)).toEqual(Reason.None)
  expect(job.verdictAfter(245)).toEqual(Reason.Overload)
})

for (const [what, pressure] of [['refused', pressed(12, 0)], ['late', pressed(0, 12)]] as const) {
  test(`with a tenth of the jobs ${what} a job is refused with 0.3 of its objective left`, () => {
    const job = waiting(pressure)
    expect(job.verdictAfter(70)).toEqual(Reason.None)
    expect(job.verdictAfter(85)).toEqual(Reason.Overload)
  })
}

test('with fewer it is refused between the two', () => {
  const job = waiting(pressed(5, 0))
  expect(job.verdictAfter(150)).toEqual(Reason.None)
  expect(job.verdictAfter(170)).toEqual(Reason.Overload)
})

test('a job beside which nobody waits is kept until its result is worth nothing', () => {
  const job = waiting(pressed(50, 50))
  expect(job.verdictAfter(1300, false)).toEqual(Reason.None)
  expect(job.verdictAfter(1330, false)).toEqual(Reason.Overload)
})
