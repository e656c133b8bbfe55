import { test } from 'node:test'
import { expect } from 'earl'
import type { EntryEffect } from '../src/entrytypes.ts'
import type { View } from '../src/messages.ts'
import { DEFAULT_TIMINGS } from '../src/defaults.ts'
import { ALL_ENTRY_GUARDS } from '../src/entrycontext.ts'
import { Membership } from '../src/membership.ts'
import { isMember } from '../src/view.ts'

const TICK = 200

function view (version: number, ...instances: string[]): View {
  const members = instances.map(instance => ({ instance, address: '', dataCentre: '', leaving: false }))
  return { version, members, fenced: [] }
}

interface Fixture {
  membership: Membership
  effects: EntryEffect[]
}

function createMember (...instances: string[]): Fixture {
  const effects: EntryEffect[] = []
  const membership = new Membership({
    self: { instance: 'a', address: '', dataCentre: '', leaving: false },
    timings: DEFAULT_TIMINGS,
    guards: ALL_ENTRY_GUARDS,
    emit: effect => effects.push(effect),
    announceRefused: () => {}
  })
  membership.detectPause(0)
  membership.viewRead(view(1, ...instances), 1, 0)
  return { membership, effects }
}

/** Advances the clock from `from` to `until`, with a heartbeat of each peer in `inContact` at every tick. */
function advance ({ membership }: Fixture, from: number, until: number, ...inContact: string[]): void {
  for (let now = from; now <= until; now += TICK) {
    membership.detectPause(now)
    for (const peer of inContact) membership.noteContact(peer, now)
    membership.tick(now)
  }
}

function writtenMembers (fixture: Fixture): string[][] {
  return fixture.effects.flatMap(effect => effect.type === 'writeView' ? [effect.view.members.map(member => member.instance)] : [])
}

test('an unresponsive peer is removed from the view after the suspicion time', () => {
  const fixture = createMember('a', 'b', 'c')
  fixture.membership.markKnownToOthers()
  advance(fixture, 0, 1000, 'c')
  expect(writtenMembers(fixture)).toEqual([])
  advance(fixture, 1200, 2000, 'c')
  expect(writtenMembers(fixture)[0]).toEqual(['a', 'c'])
})

// A job would run twice: all older entries and their agents are cut off from the store and continue, as they must
// when the store is down. A new entry joins through the store, receives nothing from them and removes them all. Their
// agents have never been in contact with the new entry and never stop.
test('a new entry that no older entry knows removes no unresponsive entry', () => {
  const fixture = createMember('a', 'b')
  advance(fixture, 0, 8000)
  expect(writtenMembers(fixture)).toEqual([])
  fixture.membership.markKnownToOthers()
  advance(fixture, 8200, 10_000)
  expect(writtenMembers(fixture)[0]).toEqual(['a'])
})

// One entry of a pair is paused for five seconds. When it resumes, the other appears unresponsive although the paused
// entry did not receive, and both would be removed at once.
test('after its own pause an entry gives its peers their full time again', () => {
  const fixture = createMember('a', 'b')
  fixture.membership.markKnownToOthers()
  advance(fixture, 0, 400, 'b')
  advance(fixture, 5400, 6200)
  expect(writtenMembers(fixture)).toEqual([])
})

// A caller would receive "not run" for a job that ran: an entry is paused past its time, another takes over its jobs,
// and the first refuses its queued requests when it resumes.
test('an entry that resumes is not in force before the store confirms it as a member', () => {
  const { membership } = createMember('a')
  expect(membership.inForce(100)).toEqual(true)
  membership.detectPause(5000)
  expect(membership.inForce(5000)).toEqual(false)
  membership.viewRead(view(1, 'a'), 1, 4000)
  expect(membership.inForce(5001)).toEqual(false)
  membership.viewRead(view(1, 'a'), 1, 5000)
  expect(membership.inForce(5001)).toEqual(true)
})

test('an entry that receives a newer view version is not in force before it has read that view', () => {
  const { membership } = createMember('a', 'b')
  membership.noteViewVersion(2)
  expect(membership.inForce(10)).toEqual(false)
  membership.viewRead(view(2, 'a', 'b'), 2, 10)
  expect(membership.inForce(11)).toEqual(true)
})

test('an ended entry is fenced without the store when its address refuses connections of every other entry', () => {
  const fixture = createMember('a', 'b', 'c')
  advance(fixture, 0, 2000, 'b', 'c')
  fixture.membership.refused('c', 'a', 2000)
  fixture.membership.viewReadFailed()
  expect(isMember(fixture.membership.view, 'c')).toEqual(true)
  fixture.membership.refused('c', 'b', 2010)
  expect(isMember(fixture.membership.view, 'c')).toEqual(false)
})

// A job would run twice: an entry is cut off and removed, then the entry that continued without it ends. When the
// partition heals, the first finds the other's address refusing and takes over by its old view.
test('a refusal after a long time without contact fences nobody while the store is down', () => {
  const fixture = createMember('a', 'b')
  advance(fixture, 0, 1000, 'b')
  advance(fixture, 1200, 4000)
  fixture.membership.refused('b', 'a', 4000)
  fixture.membership.viewReadFailed()
  expect(isMember(fixture.membership.view, 'b')).toEqual(true)
})

// Same failure, when the messages held back by the partition arrive all at once just before the refusal.
test('a burst of delayed messages does not count as contact', () => {
  const fixture = createMember('a', 'b')
  advance(fixture, 0, 1000, 'b')
  advance(fixture, 1200, 4000)
  fixture.membership.noteContact('b', 4000)
  fixture.membership.refused('b', 'a', 4001)
  fixture.membership.viewReadFailed()
  expect(isMember(fixture.membership.view, 'b')).toEqual(true)
})

// A view change took effect but its answer was lost. The writer must read the view back instead of writing again on
// top of its old one.
test('a write of unknown outcome is followed by a read', () => {
  const { membership, effects } = createMember('a')
  membership.viewWritten()
  expect(effects.at(-1)).toEqual({ type: 'readView' })
})

test('an older view that the store returns late changes nothing', () => {
  const { membership } = createMember('a', 'b')
  membership.viewRead(view(3, 'a'), 3, 10)
  expect(membership.viewRead(view(2, 'a', 'b'), 2, 20)).toEqual(false)
  expect(membership.view.version).toEqual(3)
})
