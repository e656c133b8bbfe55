import type { PeerMessage } from '../src/peermessages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SETTLING_MILLISECONDS } from '../src/defaults.ts'
import { HOLDER_TIMEOUT_MILLISECONDS, LOW_LAG_DURATION_MILLISECONDS, REQUEST_TIMEOUT_MILLISECONDS, UNRESPONSIVE_PAUSE_MILLISECONDS } from '../src/partitiondefaults.ts'
import { Entry } from '../src/entry.ts'
import { partition } from '../src/partitions.ts'
import { TIMINGS } from './agentbench.ts'
import { EntryBench, NO_LOAD, step } from './entrybench.ts'

type MessageOf<Type extends PeerMessage['type']> = Extract<PeerMessage, { type: Type }>

const AGENTS = ['one', 'two', 'three', 'four', 'five', 'six']
const FREE_CAPACITY: MessageOf<'room'> = { type: 'room', group: 'other', free: 24_000 }

/** Interval of ticks, by which the expiry of a timeout may be noticed late. */
const TICK = 50

class PartitionBench extends EntryBench {
  override readonly entry = new Entry({ name: 'self', dataCentre: 'one', timings: TIMINGS, grace: 6000, policy: { partitions: true } })

  /** Advances the time while the other entries report free capacity, as holders do. */
  passWithReports (milliseconds: number, peers: string[] = []): void {
    for (let passed = 0; passed < milliseconds; passed += 200) {
      for (const peer of peers) this.receive(peer, { ...FREE_CAPACITY, group: peer })
      this.advance(Math.min(200, milliseconds - passed), AGENTS)
    }
  }

  messages<Type extends PeerMessage['type']> (peer: string, type: Type): Array<MessageOf<Type>> {
    return this.told(peer).filter((message): message is MessageOf<Type> => message.type === type)
  }

  notes (what: string): number {
    return this.take().filter(effect => effect.type === 'note' && effect.what === what).length
  }
}

/** Targets that `name` holds when `entries` are the holders. */
function heldBy (name: string, ...entries: string[]): string[] {
  const held = partition(AGENTS.map(agent => ({ name: agent, service: 'checks', dataCentre: 'one' })), entries.map(entry => ({ name: entry, dataCentre: 'one', strength: 0 })))
  return AGENTS.filter(agent => held.get(agent) === name)
}

function bench (...peers: string[]): PartitionBench {
  const made = new PartitionBench()
  made.configure()
  for (const agent of AGENTS) made.link(agent)
  for (const peer of peers) made.peer(peer)
  made.passWithReports(SETTLING_MILLISECONDS + 300, peers)
  made.take()
  return made
}

/** Agents to which starts were sent. */
function startedAt (made: EntryBench): string[] {
  return made.starts().map(start => start.split(' ')[0] as string)
}

function fill (made: PartitionBench): void {
  made.submit('filler', [step(4 * heldBy('self', 'self', 'other').length)])
  made.take()
}

test('own jobs start in the own partition without a message to another entry', () => {
  const made = bench('other')
  made.submit('job', [step(6)])
  expect(startedAt(made).length).toEqual(6)
  expect(startedAt(made).every(agent => heldBy('self', 'self', 'other').includes(agent))).toEqual(true)
  expect(made.told('other')).toEqual([])
})

test('what does not fit in the own partition is requested from a holder that has reported free capacity', () => {
  const made = bench('other')
  fill(made)
  made.submit('job')
  expect(made.messages('other', 'ask').map(({ group, waits }) => [group, waits])).toEqual([['other', false]])
  made.receive('other', { type: 'grant', job: 'job', grants: [{ task: 'job.0.0', agent: heldBy('other', 'self', 'other')[0] as string }], waited: 0 })
  expect(startedAt(made)).toEqual([heldBy('other', 'self', 'other')[0] as string])
})

test('an entry grants others capacity in its own partition only', () => {
  const made = bench('other')
  const { needs, label, rack, perTarget } = step(1)
  const tasks = Array.from({ length: 4 * AGENTS.length }, (_none, index) => ({ name: `job.0.${index}`, avoid: '' }))
  made.receive('other', { type: 'ask', group: 'self', service: 'checks', job: 'job', within: 200, waits: false, steps: [{ index: 0, needs, label, rack, perTarget, expected: 300, endBy: 500, tasks, placed: [] }], except: [] })
  const granted = made.messages('other', 'grant').flatMap(({ grants }) => grants.map(({ agent }) => agent))
  expect(granted.length).toEqual(4 * heldBy('self', 'self', 'other').length)
  expect(new Set(granted)).toEqual(new Set(heldBy('self', 'self', 'other')))
  expect(made.messages('other', 'declined').length).toEqual(1)
})

// A holder dies: its links end at once.
test('the partition of an entry that is gone is taken at once', () => {
  const made = bench('other')
  made.do({ type: 'peerUnlinked', peer: 'other' })
  for (const agent of AGENTS) made.ping(agent)
  made.submit('job', [step(4 * AGENTS.length)])
  expect(new Set(startedAt(made))).toEqual(new Set(AGENTS))
})

// Guards against waiting for a holder that is frozen or has lost power: its links stay open, but nothing arrives from it.
test('a job whose request times out starts at a target that the entry chooses itself', () => {
  const made = bench('other')
  fill(made)
  made.submit('job')
  const asked = made.now
  while (made.starts().length === 0) made.advance(TICK, AGENTS)
  expect(made.now - asked <= REQUEST_TIMEOUT_MILLISECONDS + TICK).toEqual(true)
})

// Guards against a one-way failure: messages of a holder arrive, but none reaches it.
test('later jobs do not wait for an entry that does not answer', () => {
  const made = bench('other')
  fill(made)
  made.submit('first')
  made.passWithReports(REQUEST_TIMEOUT_MILLISECONDS + TICK)
  made.receive('other', FREE_CAPACITY)
  made.take()
  made.submit('second')
  expect(made.messages('other', 'ask')).toEqual([])
})

// The only holder does not answer for a moment, and this entry, whose processor is far slower, holds no targets itself.
test('a job submitted while the only holder does not answer is requested from it once its pause has ended', () => {
  const made = new EntryBench({ strength: -4, policy: { partitions: true } }).serving(...AGENTS)
  const passWithMembers = (milliseconds: number): void => {
    for (let passed = 0; passed < milliseconds; passed += 200) {
      made.receive('other', { type: 'member', dataCentre: 'one', able: true, strength: 0 })
      made.advance(200, AGENTS)
    }
  }
  made.peer('other')
  passWithMembers(SETTLING_MILLISECONDS + 300)
  made.submit('first')
  passWithMembers(200)
  made.take()
  made.submit('second')
  passWithMembers(UNRESPONSIVE_PAUSE_MILLISECONDS)
  expect(made.told('other').filter(({ type }) => type === 'ask').map(message => message.type === 'ask' && message.job)).toEqual(['second'])
})

// A frozen holder keeps its links; its targets must not stay idle until it recovers.
test('the partition of an unresponsive holder is taken over, and handed back when a message of the holder arrives', () => {
  const made = bench('other')
  made.advance(HOLDER_TIMEOUT_MILLISECONDS + TICK, AGENTS)
  expect(made.notes('partition taken')).toEqual(1)
  made.receive('other', FREE_CAPACITY)
  made.advance(TICK, AGENTS)
  expect(made.notes('partition handed over')).toEqual(1)
})

// After a stall of this entry all others seem unresponsive, because their messages are queued behind the first tick.
test('an entry that was stalled does not treat others as unresponsive', () => {
  const made = bench('other')
  made.now += 3000
  made.do({ type: 'tick' })
  expect(made.notes('holder unresponsive')).toEqual(0)
})

// Requests to a holder with a late event loop would wait.
test('an entry that lags hands its partition over and reports it, until its lag has been low for a while', () => {
  const made = bench('other')
  made.submit('filler')
  made.advance(TICK, AGENTS)
  made.take()
  made.now += 2 * TICK
  made.do({ type: 'tick' })
  expect(made.messages('other', 'member').map(({ able }) => able)).toEqual([false])
  expect(made.entry.scheduling(made.now).room.groups.map(({ entry }) => entry)).toEqual(['other'])
  expect(made.notes('partition handed over')).toEqual(1)
  made.passWithReports(LOW_LAG_DURATION_MILLISECONDS + 400, ['other'])
  expect(made.entry.scheduling(made.now).room.groups.map(({ entry }) => entry).sort()).toEqual(['other', 'self'])
})

// During a rolling restart, requests that wait at a stopping entry must move elsewhere before its process ends.
test('an entry that stops hands its partition over at once and declines the requests that wait there', () => {
  const made = bench('other')
  fill(made)
  const { needs, label, rack, perTarget } = step(1)
  made.receive('other', { type: 'ask', group: 'self', service: 'checks', job: 'job', within: 200, waits: true, steps: [{ index: 0, needs, label, rack, perTarget, expected: 300, endBy: 500, tasks: [{ name: 'job.0.0', avoid: '' }], placed: [] }], except: [] })
  made.take()
  made.do({ type: 'stopOrdered' })
  expect(made.messages('other', 'member').map(({ able }) => able)).toEqual([false])
  expect(made.messages('other', 'declined').map(({ job }) => job)).toEqual(['job'])
})

// Entries are replaced for months: the reports of each must not accumulate.
test('the free capacity of an entry that is gone is dropped', () => {
  const made = bench('other')
  made.passWithReports(200, ['other'])
  made.do({ type: 'peerUnlinked', peer: 'other' })
  made.peer('other')
  made.advance(TICK, AGENTS)
  const { groups } = made.entry.scheduling(made.now).room
  expect(groups.filter(({ entry }) => entry === 'other').map(({ free }) => free)).toEqual([0])
})

test('a new entry takes its share within a second', () => {
  const made = bench()
  expect(made.entry.scheduling(made.now).room.groups.map(({ entry }) => entry)).toEqual(['self'])
  made.peer('new')
  made.advance(1000, AGENTS)
  expect(heldBy('new', 'self', 'new').length > 0).toEqual(true)
  expect(made.entry.scheduling(made.now).room.groups.map(({ entry }) => entry).sort()).toEqual(['new', 'self'])
})

// While a request waits at another holder, a target of this entry becomes free: a grant is in transit when the task starts.
test('a grant for a task that has been placed meanwhile is released', () => {
  const made = bench('other')
  fill(made)
  made.receive('other', { ...FREE_CAPACITY, free: 0 })
  made.submit('job')
  expect(made.messages('other', 'ask').map(({ waits }) => waits)).toEqual([true])
  const [agent = ''] = heldBy('self', 'self', 'other')
  made.end(agent, 'filler.0.0')
  expect(made.messages('other', 'unask').map(({ job }) => job)).toEqual(['job'])
  made.take()
  made.receive('other', { type: 'grant', job: 'job', grants: [{ task: 'job.0.0', agent: heldBy('other', 'self', 'other')[0] as string }], waited: 0 })
  expect(made.starts()).toEqual([])
  expect(made.messages('other', 'release').length).toEqual(1)
})

// The load of a target on a quiet link is seconds old.
test('a target of a partition that was taken over gets no tasks before it has reported its load', () => {
  const made = bench('other')
  made.do({ type: 'peerUnlinked', peer: 'other' })
  made.take()
  made.submit('job', [step(4 * AGENTS.length)])
  expect(startedAt(made).some(agent => heldBy('other', 'self', 'other').includes(agent))).toEqual(false)
  made.do({ type: 'agentMessage', agent: heldBy('other', 'self', 'other')[0] as string, message: { type: 'load', load: NO_LOAD } })
  expect(startedAt(made)).toInclude(heldBy('other', 'self', 'other')[0] as string)
})
