import { test } from 'node:test'
import { expect } from 'earl'
import type { EntryEffect, EntryEvent } from '../src/entrytypes.ts'
import type { AgentToEntry, Job, PeerMessage, TaskResult, Transfer, View } from '../src/messages.ts'
import { SeededRandom } from '../explore/seededrandom.ts'
import { FakeScheduler } from '../explore/fakescheduler.ts'
import { DEFAULT_TIMINGS } from '../src/defaults.ts'
import { Entry } from '../src/entry.ts'
import { AnswerKind, Cause, TaskOutcome } from '../src/messages.ts'
import { ownerOf } from '../src/rendezvous.ts'

const WALL_CLOCK = 1_700_000_000_000
const TARGET = { target: 'x', provider: 'p', services: ['service'], slots: 8, accelerators: 0, memoryMegabytes: 1024, dataCentre: '', rack: '' }
const REPORT = { running: 0, queued: 0, credit: 8, leaving: false, viewVersion: 1, configurationVersion: 0 }

/** Random source with which the fake scheduler places every task at once. */
class SteadyChance extends SeededRandom {
  override happens (): boolean {
    return false
  }

  override between (): number {
    return 0
  }
}

function view (version: number, ...instances: string[]): View {
  const members = instances.map(instance => ({ instance, address: '', dataCentre: '', leaving: false }))
  return { version, members, fenced: [] }
}

function transfer (of: View): Transfer {
  return { view: of, receipts: [], agents: [], complete: true, losses: 0, horizon: 0 }
}

/** A job whose id is owned by `owner` among the entries a and b. */
function jobOf (owner: string, digest = 'digest'): Job {
  const members = view(1, 'a', 'b').members
  let number = 1
  while (ownerOf(`tenant/job-${number}`, members) !== owner) number += 1
  const task = { payload: new Uint8Array(), runMilliseconds: 10, needs: { accelerators: 0, memoryMegabytes: 0 } }
  return { key: `tenant/job-${number}`, tenant: 'tenant', service: 'service', digest, repeatable: false, remainingMilliseconds: 5000, lodgedAt: 0, tasks: [task] }
}

class EntryHarness {
  readonly entry = new Entry({
    instance: 'a',
    address: '',
    dataCentre: '',
    scheduler: new FakeScheduler(new SteadyChance(1)),
    parseConfiguration: () => undefined,
    random: () => 0,
    wallClock: () => WALL_CLOCK,
    timings: DEFAULT_TIMINGS
  })

  #now = 0

  /** Handles an event ten milliseconds after the previous one. */
  handle (event: EntryEvent): EntryEffect[] {
    this.#now += 10
    return this.entry.handle(event, this.#now)
  }

  fromPeer (message: PeerMessage): EntryEffect[] {
    return this.handle({ type: 'peerMessage', peer: 'b', message })
  }

  fromAgent (message: AgentToEntry): EntryEffect[] {
    return this.handle({ type: 'agentMessage', agent: 'x#1', message })
  }

  join (): this {
    this.handle({ type: 'viewRead', view: view(2, 'a', 'b'), revision: 2, readStarted: this.#now })
    this.handle({ type: 'peerConnected', peer: 'b' })
    return this
  }

  serve (): this {
    this.join()
    this.fromPeer({ case: 'transfer', value: transfer(view(2, 'a', 'b')) })
    this.fromAgent({ case: 'announce', value: { instance: 'x#1', target: TARGET, report: REPORT } })
    return this
  }
}

function submitted (request: string, job: Job): EntryEvent {
  return { type: 'submitted', request, job }
}

function answers (effects: EntryEffect[]): Array<[string, AnswerKind, Cause]> {
  return effects.flatMap(effect => effect.type === 'answer' ? [[effect.request, effect.answer.kind, effect.answer.cause] as [string, AnswerKind, Cause]] : [])
}

function dispatches (effects: EntryEffect[]): number {
  return effects.filter(effect => effect.type === 'sendAgent' && effect.message.case === 'dispatch').length
}

function result (job: Job, attempt: number): AgentToEntry {
  const value: TaskResult = { job: job.key, index: 0, attempt, outcome: TaskOutcome.Succeeded, payload: Uint8Array.of(7), detail: '', runMilliseconds: 5 }
  return { case: 'result', value }
}

/** Submits a job that this entry owns, and confirms its receipt as the peer. */
function submitConfirmed (harness: EntryHarness, job: Job): void {
  harness.handle(submitted('first', job))
  harness.fromPeer({ case: 'receiptKept', value: { job: job.key } })
}

// A job would be lost without a trace if the entry that owns it and the agent that runs it were lost together before
// any other process had a record of it.
test('nothing is dispatched before a second entry has the receipt', () => {
  const harness = new EntryHarness().serve()
  const job = jobOf('a')
  expect(dispatches(harness.handle(submitted('first', job)))).toEqual(0)
  expect(dispatches(harness.fromPeer({ case: 'receiptKept', value: { job: job.key } }))).toEqual(1)
})

test('a job forwarded by another entry is recorded there and dispatched at once', () => {
  const harness = new EntryHarness().serve()
  expect(dispatches(harness.fromPeer({ case: 'submit', value: { job: jobOf('a'), submission: '1' } }))).toEqual(1)
})

// A stopping entry forwards one last job after it has handed its memory over: only the entry that runs the job would
// have a record of it.
test('a job forwarded by a stopping entry needs a receipt at another entry', () => {
  const harness = new EntryHarness().serve()
  const leaving = view(3, 'a', 'b')
  leaving.members = leaving.members.map(member => ({ ...member, leaving: member.instance === 'b' }))
  harness.handle({ type: 'viewRead', view: leaving, revision: 3, readStarted: 0 })
  harness.fromPeer({ case: 'transfer', value: transfer(leaving) })
  expect(dispatches(harness.fromPeer({ case: 'submit', value: { job: jobOf('a'), submission: '1' } }))).toEqual(0)
})

test('a resubmission while the job runs attaches and gets the same answer', () => {
  const harness = new EntryHarness().serve()
  const job = jobOf('a')
  submitConfirmed(harness, job)
  expect(dispatches(harness.handle(submitted('second', job)))).toEqual(0)
  harness.fromPeer({ case: 'submit', value: { job, submission: '9' } })
  const effects = harness.fromAgent(result(job, 1))
  expect(answers(effects)).toEqual([['first', AnswerKind.Complete, Cause.None], ['second', AnswerKind.Complete, Cause.None]])
  expect(effects.filter(effect => effect.type === 'sendPeer' && effect.message.case === 'answer').length).toEqual(1)
})

test('a resubmission after the answer gets the same answer and runs nothing', () => {
  const harness = new EntryHarness().serve()
  const job = jobOf('a')
  submitConfirmed(harness, job)
  harness.fromAgent(result(job, 1))
  const effects = harness.handle(submitted('second', job))
  expect(answers(effects)).toEqual([['second', AnswerKind.Complete, Cause.None]])
  expect(dispatches(effects)).toEqual(0)
})

test('a job id with other content is refused', () => {
  const harness = new EntryHarness().serve()
  submitConfirmed(harness, jobOf('a'))
  expect(answers(harness.handle(submitted('second', jobOf('a', 'other'))))).toEqual([['second', AnswerKind.Refused, Cause.IdReused]])
})

// A late result of an earlier attempt, or of another agent, must not become a caller's answer.
for (const [title, agent, attempt] of [['attempt', 'x#1', 7], ['agent', 'y#1', 1]] as const) {
  test(`a result of another ${title} is ignored`, () => {
    const harness = new EntryHarness().serve()
    const job = jobOf('a')
    submitConfirmed(harness, job)
    expect(answers(harness.handle({ type: 'agentMessage', agent, message: result(job, attempt) }))).toEqual([])
    expect(answers(harness.fromAgent(result(job, 1))).length).toEqual(1)
  })
}

test('a caller that disconnects leaves no open job behind', () => {
  const harness = new EntryHarness().serve()
  const job = jobOf('a')
  submitConfirmed(harness, job)
  harness.handle({ type: 'callerGone', request: 'first' })
  expect(answers(harness.fromAgent(result(job, 1)))).toEqual([])
  expect(harness.entry.status().openJobs).toEqual(0)
})

test('a job cancelled before any start is refused, and so is a copy that comes later', () => {
  const harness = new EntryHarness().serve()
  const job = jobOf('a')
  harness.handle(submitted('first', job))
  const cancelled = answers(harness.handle({ type: 'cancelRequested', request: 'cancel', job: job.key }))
  expect(cancelled).toEqual([['first', AnswerKind.Refused, Cause.Cancelled], ['cancel', AnswerKind.Refused, Cause.Cancelled]])
  expect(answers(harness.handle(submitted('second', job)))).toEqual([['second', AnswerKind.Refused, Cause.Cancelled]])
})

test('a running job that is cancelled may have run', () => {
  const harness = new EntryHarness().serve()
  const job = jobOf('a')
  submitConfirmed(harness, job)
  const kinds = answers(harness.handle({ type: 'cancelRequested', request: 'cancel', job: job.key })).map(([, kind]) => kind)
  expect(kinds).toEqual([AnswerKind.MayHaveRun, AnswerKind.MayHaveRun])
})

// A new entry receives jobs before it has the transfers of the other members. It parks them until its memory is
// complete, since an earlier submission may have run.
test('a joining entry parks requests until its memory is complete', () => {
  const harness = new EntryHarness().join()
  const job = jobOf('a')
  expect(harness.handle(submitted('first', job)).filter(effect => effect.type === 'answer' || effect.type === 'sendPeer')).toEqual([])
  harness.fromAgent({ case: 'announce', value: { instance: 'x#1', target: TARGET, report: REPORT } })
  harness.fromPeer({ case: 'transfer', value: transfer(view(2, 'a', 'b')) })
  const later = Array.from({ length: 20 }, () => harness.handle({ type: 'tick' })).flat()
  expect(later.filter(effect => effect.type === 'sendPeer' && effect.message.case === 'receipt').length).toEqual(1)
})

// The other entries continued without this one and run the job for a later submission. A refusal here would be true for
// this entry only.
test('a removed entry never answers "not run"', () => {
  const harness = new EntryHarness().serve()
  harness.handle(submitted('first', jobOf('a')))
  const effects = harness.handle({ type: 'viewRead', view: view(3, 'b'), revision: 3, readStarted: 0 })
  expect(answers(effects)).toEqual([['first', AnswerKind.MayHaveRun, Cause.EntryLost]])
})
