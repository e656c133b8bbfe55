import type { FleetMember } from '../src/soakfleet.ts'
import { after, test } from 'node:test'
import { setTimeout as pause } from 'node:timers/promises'
import { clientJob } from '@amaranthmast/standins/fleetdocuments'
import { findOverlaps } from '@amaranthmast/standins/runintervals'
import { waitFor } from '@amaranthmast/standins/wait'
import { expect } from 'earl'
import { SoakFleet } from '../src/soakfleet.ts'

const ID = '00000000000000f1'
const TASK_MILLISECONDS = 2600
const DEADLINE_MILLISECONDS = 3000
const RESUBMISSION_MILLISECONDS = 1300

/** Time of one stall of the agent and of the gap after it, in milliseconds, and number of stalls. */
const STALL_MILLISECONDS = 300
const GAP_MILLISECONDS = 15
const STALLS = 12

const fleet = new SoakFleet('dist/amaranthmast-fleet.js')
after(() => fleet.close())

/** Submits the job. Resolves when it is answered or its connection breaks. */
async function submit (entry: FleetMember): Promise<void> {
  const options = { method: 'POST', body: clientJob(1, TASK_MILLISECONDS), headers: { 'x-deadline-ms': String(DEADLINE_MILLISECONDS) }, signal: AbortSignal.timeout(DEADLINE_MILLISECONDS) }
  await fetch(fleet.urlOf(entry, ID), options).catch(() => {})
}

async function stallRepeatedly ({ process }: FleetMember): Promise<void> {
  for (let stall = 0; stall < STALLS; stall += 1) {
    process?.pause()
    await pause(STALL_MILLISECONDS)
    process?.resume()
    await pause(GAP_MILLISECONDS)
  }
}

// Guards against a lease that is renewed for as long as the stop requests of a task get no answer. The orphaned task then
// still runs when its job is resubmitted, and runs at two workers at the same time.
test('a task of a killed entry has ended when its job is resubmitted, though the agent stalls and its stop requests get no answer', { timeout: 60_000 }, async () => {
  await fleet.start(2, 4, () => TASK_MILLISECONDS)
  const [first, second] = fleet.entries as [FleetMember, FleetMember]
  const starts = (): number[] => fleet.workers.flatMap(({ started }, index) => started.map(() => index))
  await waitFor('both entries', 10_000, 50, async () => {
    const answers = await Promise.all([first, second].map(async entry => await fetch(fleet.urlOf(entry, '')).then(({ status }) => status, () => 0)))
    return answers.every(status => status === 200)
  })
  submit(first)
  await waitFor('a run', 5000, 1, () => starts().length > 0)
  const index = starts()[0] as number
  await pause(200)
  const worker = fleet.workers[index]
  if (worker !== undefined) worker.faults.ignoreStops = true
  const stalling = stallRepeatedly(fleet.agents[index] as FleetMember)
  await pause(100)
  await first.process?.kill()
  await pause(RESUBMISSION_MILLISECONDS)
  const resubmission = submit(second)
  await waitFor('a second run', 5000, 1, () => starts().length > 1)
  await stalling
  await resubmission
  expect(findOverlaps(fleet.workers.map(({ intervals }) => intervals)).map(({ lasted }) => lasted)).toEqual([])
})
