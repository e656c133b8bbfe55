/** Fleet admission at a single entry, with the demand of other entries given by the test. */
import type { Queue } from '../src/queues.ts'
import type { QueueDemand } from '../src/peermessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { MAX_DEMAND_CORES } from '../src/admissiondefaults.ts'
import { DemandView } from '../src/demandview.ts'
import { EntryBench, QUEUE, step } from './entrybench.ts'

const OTHER: Queue = { ...QUEUE, name: 'others', prefix: '/others/', priority: 1 }

function entry (policy = {}): EntryBench {
  return new EntryBench({ policy: { fleetAdmission: true, ...policy } }).serving('a1', 'a2')
}

function demand (name: string, offered: number, held = 0): QueueDemand {
  return { name, service: 'checks', priority: 0, offered, running: held, waiting: 0 }
}

/** Running tasks of each bench; they end after 300 ms. */
const running = new WeakMap<EntryBench, Array<{ at: number, task: string, agent: string }>>()

/**
 * Submits jobs of one task of 2 cores and 300 ms at a constant rate, for two seconds by default, and counts those
 * refused on arrival.
 */
function offer (bench: EntryBench, perSecond: number, queue = QUEUE, seconds = 2, others = 0): { refused: number, jobs: number } {
  const jobs = perSecond * seconds
  const began = running.get(bench) ?? []
  running.set(bench, began)
  let refused = 0
  for (let index = 0; index < jobs; index += 1) {
    bench.now += 1000 / perSecond
    for (const agent of ['a1', 'a2']) bench.ping(agent, others)
    bench.do({ type: 'tick' })
    for (const { task, agent } of began.filter(({ at }) => at <= bench.now - 300)) bench.end(agent, task)
    began.splice(0, began.length, ...began.filter(({ at }) => at > bench.now - 300))
    const request = bench.submit(`${queue.name}${bench.now}`, [step(1)], { queue })
    if (bench.answers().some(([answered, text]) => answered === request && text === 'refused overload')) refused += 1
    for (const start of bench.starts()) {
      const [agent = '', task = ''] = start.split(' ')
      began.push({ at: bench.now, task, agent })
    }
    bench.take()
  }
  return { refused, jobs }
}

function notes (bench: EntryBench, wanted: string): Array<Record<string, unknown>> {
  return bench.take().flatMap(effect => effect.type === 'note' && effect.what === wanted ? [effect.fields] : [])
}

test('a load within the capacity of the fleet is admitted completely', () => {
  expect(offer(entry(), 20).refused).toEqual(0)
})

test('about half of a load of twice the capacity of the fleet is refused on arrival', () => {
  const { refused, jobs } = offer(entry(), 54)
  expect([refused > 0.3 * jobs, refused < 0.6 * jobs]).toEqual([true, true])
})

test('without fleet admission nothing is refused on arrival', () => {
  expect(offer(new EntryBench().serving('a1', 'a2'), 54).refused).toEqual(0)
})

// A burst at another entry must leave the callers here their fraction of the share, and no more.
test('demand reported by another entry leaves the own callers their fraction of the share', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  const jobs = 40
  let refused = 0
  for (let round = 0; round < 2; round += 1) {
    bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 28, 14)] })
    refused += offer(bench, 20, QUEUE, 1, 6000).refused
  }
  expect([refused > 0.3 * jobs, refused < 0.8 * jobs]).toEqual([true, true])
})

test('a queue without a burst is fully admitted while another queue has a burst at another entry', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  let refused = 0
  for (let round = 0; round < 2; round += 1) {
    bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 60, 8)] })
    refused += offer(bench, 8, OTHER, 1).refused
  }
  expect(refused).toEqual(0)
})

test('an entry reports the demand of its callers to the others, at most five times a second', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  let sent = 0
  for (let index = 0; index < 40; index += 1) {
    bench.take()
    bench.submit(`job${index}`)
    bench.advance(50, ['a1', 'a2'])
    sent += bench.told('other').filter(({ type }) => type === 'demand').length
  }
  expect([sent >= 8, sent <= 10]).toEqual([true, true])
})

// Guards against the last report of a lost or stalled peer counting forever.
test('the report of an unresponsive entry expires', () => {
  const view = new DemandView()
  view.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 100)] }, 1000)
  expect([view.fresh(2100).length, view.fresh(2300).length]).toEqual([1, 0])
})

// An entry that is cut off from the others must continue with its own figures.
test('an entry without peers decides by its own figures', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 500, 16)] })
  bench.do({ type: 'peerUnlinked', peer: 'other' })
  expect(offer(bench, 20).refused).toEqual(0)
})

// A malformed report must be bounded, and must not crash an entry.
test('a malformed report is reduced to valid values', () => {
  const view = new DemandView()
  const wild = { name: 'checks', service: 'checks', priority: Number.NaN, offered: Infinity, running: -5, waiting: 'much' } as unknown as QueueDemand
  const kinds = [wild, undefined, { name: 'x'.repeat(1000), service: 's' }, ...Array.from({ length: 500 }, (_none, index) => demand(`kind${index}`, 1))] as QueueDemand[]
  view.receive('other', { type: 'demand', dataCentre: 'two', kinds }, 1000)
  const fresh = view.fresh(1000)
  expect(fresh.length <= 32).toEqual(true)
  expect(fresh[0]).toEqual({ name: 'checks', service: 'checks', priority: 0, offered: MAX_DEMAND_CORES, running: 0, waiting: 0, dataCentre: 'two' })
  view.receive('other', { type: 'demand', dataCentre: 7, kinds: 'none' } as unknown as Parameters<DemandView['receive']>[1], 1000)
  expect(view.fresh(1000)).toEqual([])
})

// A wrong report must not take the capacity from all others for as long as it is repeated.
test('a peer that reports an implausible demand causes few refusals in the long run', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  let refused = 0
  for (let round = 0; round < 8; round += 1) {
    bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 1e9, 1e9)] })
    const part = offer(bench, 20, QUEUE, 1)
    if (round >= 4) refused += part.refused
  }
  expect(refused <= 16).toEqual(true)
})

test('a refusal is logged with the share and the figures behind it', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 400, 16)] })
  bench.take()
  for (const agent of ['a1', 'a2']) bench.ping(agent, 8000)
  for (let index = 0; index < 5; index += 1) bench.submit(`job${index}`)
  const effects = notes(bench, 'job refused')
  expect(effects.length > 0).toEqual(true)
  expect(Object.keys(effects[0] ?? {})).toEqual(['job', 'queue', 'reason', 'share', 'offered', 'threshold', 'capacity', 'wanted', 'wait'])
})

// Targets are lost while jobs are queued: those that can no longer be in time must be refused at once, not at their
// deadlines.
test('after a loss of capacity jobs that can no longer be in time are refused at once', () => {
  const bench = entry()
  for (const agent of ['a3', 'a4']) bench.link(agent)
  for (let index = 0; index < 3; index += 1) bench.submit(`job${index}`, [step(8)])
  bench.advance(50, ['a1', 'a2', 'a3', 'a4'])
  expect([bench.entry.status().queued, bench.answers()]).toEqual([1, []])
  for (const agent of ['a2', 'a3', 'a4']) bench.do({ type: 'agentUnlinked', agent })
  bench.now += 20
  bench.do({ type: 'tick' })
  expect(bench.answers()).toEqual([[3, 'refused overload']])
})

// A refusal states that the job has not run, but tasks of its earlier submission may still run.
test('a job that is submitted again while its tasks are stopping is not refused on arrival', () => {
  const bench = entry()
  const first = bench.submit('job', [step(2)])
  bench.do({ type: 'requestGone', request: first })
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 400, 16)] })
  for (const agent of ['a1', 'a2']) bench.ping(agent, 8000)
  bench.now += 30
  for (let index = 0; index < 5; index += 1) bench.submit(`other${index}`)
  bench.take()
  bench.submit('job', [step(2)])
  expect(bench.answers()).toEqual([])
})

test('the status lists counts and demand by queue and data centre', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.receive('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 40, 4)] })
  bench.submit('job')
  bench.advance(50, ['a1', 'a2'])
  const [row] = bench.entry.scheduling(bench.now).admission
  expect(row?.name).toEqual('checks')
  expect(row?.counts).toEqual({ offered: 1, admitted: 1, refused: {}, inTime: 0, late: 0 })
  expect(row?.dataCentres.two).toEqual({ offered: 40, running: 4, waiting: 0 })
})
