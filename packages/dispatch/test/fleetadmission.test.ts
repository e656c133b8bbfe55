/** Admission by the demand and the capacity of all entries, of one entry that is driven by hand. */
import type { Queue } from '../src/queues.ts'
import type { QueueDemand } from '../src/peermessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { DEMAND_LIMIT_CORES } from '../src/admissiondefaults.ts'
import { DemandView } from '../src/demandview.ts'
import { EntryBench, QUEUE, step } from './entrybench.ts'

const OTHER: Queue = { ...QUEUE, name: 'others', prefix: '/others/', priority: 1 }

function entry (policy = {}): EntryBench {
  return new EntryBench({ policy: { fleetAdmission: true, ...policy } }).serving('a1', 'a2')
}

function demand (name: string, offered: number, held = 0): QueueDemand {
  return { name, service: 'checks', priority: 0, offered, running: held, waiting: 0 }
}

/** Starts at the agents of each bench, which end after 300 ms. */
const running = new WeakMap<EntryBench, Array<{ at: number, task: string, agent: string }>>()

/** Jobs of one task of 2 cores and 300 ms, so many a second in two seconds; counts those that are refused as they arrive. */
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

test('a load that the fleet can do is admitted whole', () => {
  expect(offer(entry(), 20).refused).toEqual(0)
})

test('twice what the fleet can do is refused by half, at the arrival', () => {
  const { refused, jobs } = offer(entry(), 54)
  expect([refused > 0.3 * jobs, refused < 0.6 * jobs]).toEqual([true, true])
})

test('an entry with the switch off refuses nobody at the arrival', () => {
  expect(offer(new EntryBench().serving('a1', 'a2'), 54).refused).toEqual(0)
})

// A burst that arrives elsewhere must leave the callers here their part, and no more.
test('demand that another entry tells of leaves the own callers their part of the share', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  const jobs = 40
  let refused = 0
  for (let round = 0; round < 2; round += 1) {
    bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 28, 14)] })
    refused += offer(bench, 20, QUEUE, 1, 6000).refused
  }
  expect([refused > 0.3 * jobs, refused < 0.8 * jobs]).toEqual([true, true])
})

test('a kind that does not burst keeps its callers while another bursts elsewhere', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  let refused = 0
  for (let round = 0; round < 2; round += 1) {
    bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 60, 8)] })
    refused += offer(bench, 8, OTHER, 1).refused
  }
  expect(refused).toEqual(0)
})

test('an entry tells the others what its callers want, at most five times a second', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  let told = 0
  for (let index = 0; index < 40; index += 1) {
    bench.take()
    bench.submit(`job${index}`)
    bench.pass(50, ['a1', 'a2'])
    told += bench.told('other').filter(({ type }) => type === 'demand').length
  }
  expect([told >= 8, told <= 10]).toEqual([true, true])
})

// Guards against a peer that is gone, or stands still, and whose last word would count for ever.
test('the word of an entry that is silent is forgotten', () => {
  const view = new DemandView()
  view.heard('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 100)] }, 1000)
  expect([view.fresh(2100).length, view.fresh(2300).length]).toEqual([1, 0])
})

// Guards against an entry that is cut off from the others: it must go on by what it sees itself.
test('an entry whose peers are gone decides alone', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 500, 16)] })
  bench.do({ type: 'peerUnlinked', peer: 'other' })
  expect(offer(bench, 20).refused).toEqual(0)
})

// Guards against a peer that is out of its mind: what it says must be bounded, and must not bring an entry down.
test('a peer that reports nonsense is cut down to what may be', () => {
  const view = new DemandView()
  const wild = { name: 'checks', service: 'checks', priority: Number.NaN, offered: Infinity, running: -5, waiting: 'much' } as unknown as QueueDemand
  const kinds = [wild, undefined, { name: 'x'.repeat(1000), service: 's' }, ...Array.from({ length: 500 }, (_none, index) => demand(`kind${index}`, 1))] as QueueDemand[]
  view.heard('other', { type: 'demand', dataCentre: 'two', kinds }, 1000)
  const fresh = view.fresh(1000)
  expect(fresh.length <= 32).toEqual(true)
  expect(fresh[0]).toEqual({ name: 'checks', service: 'checks', priority: 0, offered: DEMAND_LIMIT_CORES, running: 0, waiting: 0, dataCentre: 'two' })
  view.heard('other', { type: 'demand', dataCentre: 7, kinds: 'none' } as unknown as Parameters<DemandView['heard']>[1], 1000)
  expect(view.fresh(1000)).toEqual([])
})

// Guards against a peer whose word would take the capacity from everybody for as long as it stands.
test('a peer that reports a demand beyond reason takes little for long', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  let refused = 0
  for (let round = 0; round < 8; round += 1) {
    bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 1e9, 1e9)] })
    const part = offer(bench, 20, QUEUE, 1)
    if (round >= 4) refused += part.refused
  }
  expect(refused <= 16).toEqual(true)
})

test('a refusal is noted with the share and the figures behind it', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 400, 16)] })
  bench.take()
  for (const agent of ['a1', 'a2']) bench.ping(agent, 8000)
  for (let index = 0; index < 5; index += 1) bench.submit(`job${index}`)
  const effects = notes(bench, 'job refused')
  expect(effects.length > 0).toEqual(true)
  expect(Object.keys(effects[0] ?? {})).toEqual(['job', 'queue', 'reason', 'share', 'offered', 'threshold', 'capacity', 'wanted', 'wait'])
})

// Guards against a loss of targets under a queue: those that can't be in time any more must hear it at once, not as their time runs out.
test('after a loss of capacity those that wait in vain are refused at once', () => {
  const bench = entry()
  for (const agent of ['a3', 'a4']) bench.link(agent)
  for (let index = 0; index < 3; index += 1) bench.submit(`job${index}`, [step(8)])
  bench.pass(50, ['a1', 'a2', 'a3', 'a4'])
  expect([bench.entry.status().queued, bench.answers()]).toEqual([1, []])
  for (const agent of ['a2', 'a3', 'a4']) bench.do({ type: 'agentUnlinked', agent })
  bench.now += 20
  bench.do({ type: 'tick' })
  expect(bench.answers()).toEqual([[3, 'refused overload']])
})

// Guards against a refusal that is not true: tasks of the job's earlier submission may still run.
test('a job that is submitted again while its tasks are stopping is not refused at the arrival', () => {
  const bench = entry()
  const first = bench.submit('job', [step(2)])
  bench.do({ type: 'requestGone', request: first })
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 400, 16)] })
  for (const agent of ['a1', 'a2']) bench.ping(agent, 8000)
  bench.now += 30
  for (let index = 0; index < 5; index += 1) bench.submit(`other${index}`)
  bench.take()
  bench.submit('job', [step(2)])
  expect(bench.answers()).toEqual([])
})

test('what became of each kind is told by kind and data centre', () => {
  const bench = entry()
  bench.do({ type: 'peerLinked', peer: 'other' })
  bench.hear('other', { type: 'demand', dataCentre: 'two', kinds: [demand('checks', 40, 4)] })
  bench.submit('job')
  bench.pass(50, ['a1', 'a2'])
  const [row] = bench.entry.scheduling(bench.now).admission
  expect(row?.name).toEqual('checks')
  expect(row?.counts).toEqual({ offered: 1, admitted: 1, refused: {}, inTime: 0, late: 0 })
  expect(row?.dataCentres.two).toEqual({ offered: 40, running: 4, waiting: 0 })
})
