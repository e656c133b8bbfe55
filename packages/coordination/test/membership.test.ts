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

interface Setting {
  membership: Membership
  effects: EntryEffect[]
}

function memberOf (...instances: string[]): Setting {
  const effects: EntryEffect[] = []
  const membership = new Membership({
    self: { instance: 'a', address: '', dataCentre: '', leaving: false },
    timings: DEFAULT_TIMINGS,
    guards: ALL_ENTRY_GUARDS,
    emit: effect => effects.push(effect),
    announceRefused: () => {}
  })
  membership.observe(0)
  membership.viewRead(view(1, ...instances), 1, 0)
  return { membership, effects }
}

/** Time passes from `from` to `until`, with a heartbeat of each of `heard` at every tick. */
function pass ({ membership }: Setting, from: number, until: number, ...heard: string[]): void {
  for (let now = from; now <= until; now += TICK) {
    membership.observe(now)
    for (const peer of heard) membership.heard(peer, now)
    membership.tick(now)
  }
}

function written (setting: Setting): string[][] {
  return setting.effects.flatMap(effect => effect.type === 'writeView' ? [effect.view.members.map(member => member.instance)] : [])
}

test('a silent peer is removed from the view after its time', () => {
  const setting = memberOf('a', 'b', 'c')
  setting.membership.acquaint()
  pass(setting, 0, 1000, 'c')
  expect(written(setting)).toEqual([])
  pass(setting, 1200, 2000, 'c')
  expect(written(setting)[0]).toEqual(['a', 'c'])
})

// A job runs twice. Every old entry is cut off from the store, with its agents, and goes on, as it
// must when the store is down. A new entry joins by the store, hears nobody, and removes them all;
// agents on the far side have never heard of it and never stop.
test('a newcomer that no older entry knows removes no silent entry', () => {
  const setting = memberOf('a', 'b')
  pass(setting, 0, 8000)
  expect(written(setting)).toEqual([])
  setting.membership.acquaint()
  pass(setting, 8200, 10_000)
  expect(written(setting)[0]).toEqual(['a'])
})

// Both entries of a pair are removed at once. One is paused for five seconds; when it wakes, the
// other looks silent, though it was the sleeper that did not listen.
test('after a pause of its own an entry gives its peers their full time again', () => {
  const setting = memberOf('a', 'b')
  setting.membership.acquaint()
  pass(setting, 0, 400, 'b')
  pass(setting, 5400, 6200)
  expect(written(setting)).toEqual([])
})

// A caller is told "not run" of a job that ran. An entry is paused past its time, another takes its
// jobs over, and the first thing that it does when woken is to refuse what has queued up.
test('a woken entry is not in force before the store has named it again', () => {
  const { membership } = memberOf('a')
  expect(membership.inForce(100)).toEqual(true)
  membership.observe(5000)
  expect(membership.inForce(5000)).toEqual(false)
  membership.viewRead(view(1, 'a'), 1, 4000)
  expect(membership.inForce(5001)).toEqual(false)
  membership.viewRead(view(1, 'a'), 1, 5000)
  expect(membership.inForce(5001)).toEqual(true)
})

test('an entry that hears of a newer view is not in force before it has read it', () => {
  const { membership } = memberOf('a', 'b')
  membership.heardOf(2)
  expect(membership.inForce(10)).toEqual(false)
  membership.viewRead(view(2, 'a', 'b'), 2, 10)
  expect(membership.inForce(11)).toEqual(true)
})

test('a dead entry is fenced without the store when every other found its address refusing', () => {
  const setting = memberOf('a', 'b', 'c')
  pass(setting, 0, 2000, 'b', 'c')
  setting.membership.refused('c', 'a', 2000)
  setting.membership.viewReadFailed()
  expect(isMember(setting.membership.view, 'c')).toEqual(true)
  setting.membership.refused('c', 'b', 2010)
  expect(isMember(setting.membership.view, 'c')).toEqual(false)
})

// A job runs twice. An entry is cut off and removed; the entry that went on without it dies, the
// cut heals, and the first finds the other's address refusing and takes over by its old view.
test('a refusal after a long silence fences nobody while the store is down', () => {
  const setting = memberOf('a', 'b')
  pass(setting, 0, 1000, 'b')
  pass(setting, 1200, 4000)
  setting.membership.refused('b', 'a', 4000)
  setting.membership.viewReadFailed()
  expect(isMember(setting.membership.view, 'b')).toEqual(true)
})

// As above, but what the cut held back arrives all at once when it heals, just before the refusal.
test('a burst of held-back messages is no contact', () => {
  const setting = memberOf('a', 'b')
  pass(setting, 0, 1000, 'b')
  pass(setting, 1200, 4000)
  setting.membership.heard('b', 4000)
  setting.membership.refused('b', 'a', 4001)
  setting.membership.viewReadFailed()
  expect(isMember(setting.membership.view, 'b')).toEqual(true)
})

// The view change that removed an entry took effect and its answer was lost. The writer reads the
// view back rather than writing again on top of what it believes.
test('a write of unknown outcome is followed by a read', () => {
  const { membership, effects } = memberOf('a')
  membership.viewWritten()
  expect(effects.at(-1)).toEqual({ type: 'readView' })
})

test('an older view that the store returns late changes nothing', () => {
  const { membership } = memberOf('a', 'b')
  membership.viewRead(view(3, 'a'), 3, 10)
  expect(membership.viewRead(view(2, 'a', 'b'), 2, 20)).toEqual(false)
  expect(membership.view.version).toEqual(3)
})
