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

const WALL = 1_700_000_000_000
const TARGET = { target: 'x', provider: 'p', services: ['service'], slots: 8, accelerators: 0, memoryMegabytes: 1024, dataCentre: '', rack: '' }
const REPORT = { running: 0, queued: 0, credit: 8, leaving: false, viewVersion: 1, configurationVersion: 0 }

/** Chance that lets the scheduler place every task at once. */
class Steady extends SeededRandom {
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

/** A job whose id `owner` owns among a and b. */
function jobOf (owner: string, digest = 'digest'): Job {
  const members = view(1, 'a', 'b').members
  let number = 1
  while (ownerOf(`tenant/job-${number}`, members) !== owner) number += 1
  const task = { payload: new Uint8Array(), runMilliseconds: 10, needs: { accelerators: 0, memoryMegabytes: 0 } }
  return { key: `tenant/job-${number}`, tenant: 'tenant', service: 'service', digest, repeatable: false, remainingMilliseconds: 5000, lodgedAt: 0, tasks: [task] }
}

class Bench {
  readonly entry = new Entry({
    instance: 'a',
    address: '',
    dataCentre: '',
    scheduler: new FakeScheduler(new Steady(1)),
    parseConfiguration: () => undefined,
    random: () => 0,
    wallClock: () => WALL,
    timings: DEFAULT_TIMINGS
  })

  #now = 0

  /** Takes an event in ten milliseconds later. */
  take (event: EntryEvent): EntryEffect[] {
    this.#now += 10
    return this.entry.handle(event, this.#now)
  }

  fromPeer (message: PeerMessage): EntryEffect[] {
    return this.take({ type: 'peerMessage', peer: 'b', message })
  }

  fromAgent (message: AgentToEntry): EntryEffect[] {
    return this.take({ type: 'agentMessage', agent: 'x#1', message })
  }

  join (): this {
    this.take({ type: 'viewRead', view: view(2, 'a', 'b'), revision: 2, readStarted: this.#now })
    this.take({ type: 'peerConnected', peer: 'b' })
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

/** Submits a job of this entry's own, whose receipt the peer confirms. */
function running (bench: Bench, job: Job): void {
  bench.take(submitted('first', job))
  bench.fromPeer({ case: 'receiptKept', value: { job: job.key } })
}

// A job is gone without a trace. The entry that owns it and the agent that runs it die together,
// before any other process has heard of it.
test('nothing is dispatched before a second entry has the receipt', () => {
  const bench = new Bench().serve()
  const job = jobOf('a')
  expect(dispatches(bench.take(submitted('first', job)))).toEqual(0)
  expect(dispatches(bench.fromPeer({ case: 'receiptKept', value: { job: job.key } }))).toEqual(1)
})

test('a job that another entry forwards is known there and dispatched at once', () => {
  const bench = new Bench().serve()
  expect(dispatches(bench.fromPeer({ case: 'submit', value: { job: jobOf('a'), submission: '1' } }))).toEqual(1)
})

// An entry that stops has handed its memory over already when it forwards one last job: nobody
// would remember the job but the entry that runs it.
test('a job that a stopping entry forwards needs the receipt of another', () => {
  const bench = new Bench().serve()
  const leaving = view(3, 'a', 'b')
  leaving.members = leaving.members.map(member => ({ ...member, leaving: member.instance === 'b' }))
  bench.take({ type: 'viewRead', view: leaving, revision: 3, readStarted: 0 })
  bench.fromPeer({ case: 'transfer', value: transfer(leaving) })
  expect(dispatches(bench.fromPeer({ case: 'submit', value: { job: jobOf('a'), submission: '1' } }))).toEqual(0)
})

test('a resubmission while the job runs attaches and gets the same answer', () => {
  const bench = new Bench().serve()
  const job = jobOf('a')
  running(bench, job)
  expect(dispatches(bench.take(submitted('second', job)))).toEqual(0)
  bench.fromPeer({ case: 'submit', value: { job, submission: '9' } })
  const effects = bench.fromAgent(result(job, 1))
  expect(answers(effects)).toEqual([['first', AnswerKind.Complete, Cause.None], ['second', AnswerKind.Complete, Cause.None]])
  expect(effects.filter(effect => effect.type === 'sendPeer' && effect.message.case === 'answer').length).toEqual(1)
})

test('a resubmission after the answer gets the same answer and runs nothing', () => {
  const bench = new Bench().serve()
  const job = jobOf('a')
  running(bench, job)
  bench.fromAgent(result(job, 1))
  const effects = bench.take(submitted('second', job))
  expect(answers(effects)).toEqual([['second', AnswerKind.Complete, Cause.None]])
  expect(dispatches(effects)).toEqual(0)
})

test('a job id with other content is refused', () => {
  const bench = new Bench().serve()
  running(bench, jobOf('a'))
  expect(answers(bench.take(submitted('second', jobOf('a', 'other'))))).toEqual([['second', AnswerKind.Refused, Cause.IdReused]])
})

// A caller gets another caller's answer, or a wrong one: a result of an earlier attempt, or of
// another agent, comes late.
for (const [story, agent, attempt] of [['attempt', 'x#1', 7], ['agent', 'y#1', 1]] as const) {
  test(`a result of another ${story} is not taken`, () => {
    const bench = new Bench().serve()
    const job = jobOf('a')
    running(bench, job)
    expect(answers(bench.take({ type: 'agentMessage', agent, message: result(job, attempt) }))).toEqual([])
    expect(answers(bench.fromAgent(result(job, 1))).length).toEqual(1)
  })
}

test('a caller that goes away strands nothing', () => {
  const bench = new Bench().serve()
  const job = jobOf('a')
  running(bench, job)
  bench.take({ type: 'callerGone', request: 'first' })
  expect(answers(bench.fromAgent(result(job, 1)))).toEqual([])
  expect(bench.entry.status().openJobs).toEqual(0)
})

test('a job cancelled before any start is refused, and so is a copy that comes later', () => {
  const bench = new Bench().serve()
  const job = jobOf('a')
  bench.take(submitted('first', job))
  const cancelled = answers(bench.take({ type: 'cancelRequested', request: 'cancel', job: job.key }))
  expect(cancelled).toEqual([['first', AnswerKind.Refused, Cause.Cancelled], ['cancel', AnswerKind.Refused, Cause.Cancelled]])
  expect(answers(bench.take(submitted('second', job)))).toEqual([['second', AnswerKind.Refused, Cause.Cancelled]])
})

test('a running job that is cancelled may have run', () => {
  const bench = new Bench().serve()
  const job = jobOf('a')
  running(bench, job)
  const kinds = answers(bench.take({ type: 'cancelRequested', request: 'cancel', job: job.key })).map(([, kind]) => kind)
  expect(kinds).toEqual([AnswerKind.MayHaveRun, AnswerKind.MayHaveRun])
})

// A new entry takes work before others know of it. It holds requests back until every member has
// told what it holds, and says nothing of a job that an earlier submission may have run.
test('an entry that joins holds requests back until its memory is complete', () => {
  const bench = new Bench().join()
  const job = jobOf('a')
  expect(bench.take(submitted('first', job)).filter(effect => effect.type === 'answer' || effect.type === 'sendPeer')).toEqual([])
  bench.fromAgent({ case: 'announce', value: { instance: 'x#1', target: TARGET, report: REPORT } })
  bench.fromPeer({ case: 'transfer', value: transfer(view(2, 'a', 'b')) })
  const later = Array.from({ length: 20 }, () => bench.take({ type: 'tick' })).flat()
  expect(later.filter(effect => effect.type === 'sendPeer' && effect.message.case === 'receipt').length).toEqual(1)
})

// The other entries have moved on without this one, and run the job for a later submission: what
// this one refuses, it refuses for itself alone.
test('an entry that has been replaced never says "not run"', () => {
  const bench = new Bench().serve()
  bench.take(submitted('first', jobOf('a')))
  const effects = bench.take({ type: 'viewRead', view: view(3, 'b'), revision: 3, readStarted: 0 })
  expect(answers(effects)).toEqual([['first', AnswerKind.MayHaveRun, Cause.EntryLost]])
})
