/** The view in the key-value service: reads, writes, and writes whose answer is lost. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { View } from '@amaranthmast/coordination/messages'
import type { KeyValueClient } from '@amaranthmast/store/client'
import type { ChangeResult, SwapResult } from '@amaranthmast/store/entries'
import type { StoreError } from '@amaranthmast/store/errors'
import { StoreTimedOut, StoreUnavailable } from '@amaranthmast/store/errors'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { pino } from 'pino'
import { test } from 'node:test'
import { EntryStore } from '../src/store.ts'
import { decodeView, encodeView } from '../src/viewcodec.ts'
import { ViewReader } from '../src/viewreader.ts'

const mine: View = { version: 2, members: [{ instance: 'entry-1#a', address: 'http://10.0.0.1:7101', dataCentre: 'gulf-1', leaving: false }], fenced: ['entry-2#b'] }
const other: View = { ...mine, version: 3 }
const lost = new StoreTimedOut('no answer', true)
const down = new StoreUnavailable('down')

test('a read reports the view, its revision and the time when the read was sent', async () => {
  const { events, reader } = start({ stored: { view: mine, revision: 9 } })
  await reader.read()
  expect(events).toEqual([{ type: 'viewRead', view: mine, revision: 9, readStarted: 100 }])
})

test('without a stored value the view is empty', async () => {
  const { events, reader } = start({})
  await reader.read()
  expect(events).toEqual([{ type: 'viewRead', view: { version: 0, members: [], fenced: [] }, revision: 0, readStarted: 100 }])
})

// An entry acts on a view only while the store has confirmed it recently. A read that finds the view
// unchanged returns no view and must confirm the known one as of when this read was sent. A read
// that finds another view must never confirm the known one.
const later: Array<{ name: string, stored?: Stored, read?: StoreError, event: EntryEvent }> = [
  { name: 'unchanged', stored: { view: mine, revision: 9 }, event: { type: 'viewRead', view: mine, revision: 9, readStarted: 200 } },
  { name: 'changed', stored: { view: other, revision: 12 }, event: { type: 'viewRead', view: other, revision: 12, readStarted: 200 } },
  { name: 'an older one, from a stale answer', stored: { view: other, revision: 8 }, event: { type: 'viewRead', view: other, revision: 8, readStarted: 200 } },
  { name: 'deleted', event: { type: 'viewRead', view: { version: 0, members: [], fenced: [] }, revision: 0, readStarted: 200 } },
  { name: 'no answer', read: down, event: { type: 'viewReadFailed' } }
]

for (const { name, stored, read, event } of later) {
  test(`a second read reports the current view: ${name}`, async () => {
    const answers: Answers = { stored: { view: mine, revision: 9 } }
    const { events, reader, clock, asked } = start(answers)
    await reader.read()
    Object.assign(answers, { stored, read })
    clock.now = 200
    await reader.read()
    answers.read = undefined
    answers.stored = { view: mine, revision: 9 }
    await reader.read()
    expect(asked).toEqual([0, 9, event.type === 'viewRead' ? event.revision : 9])
    expect(events.slice(1)).toEqual([event, { type: 'viewRead', view: mine, revision: 9, readStarted: 200 }])
  })
}

test('a read that fails is reported', async () => {
  const { events, reader } = start({ read: down })
  await reader.read()
  expect(events).toEqual([{ type: 'viewReadFailed' }])
})

test('reads that are requested while one is in progress are merged into it', async () => {
  const { events, reader } = start({})
  await Promise.all([reader.read(), reader.read()])
  expect(events.length).toEqual(1)
})

// An entry writes the view and the answer is lost. If that counted as a failure, the entry would write
// again based on an outdated view; if it counted as a success, it might act as a member of a view that
// does not contain it.
const writes: Array<{ name: string, swap: SwapResult | StoreError, stored?: { view: View, revision: number }, read?: StoreError, outcome: string }> = [
  { name: 'a write that was applied', swap: { applied: true, revision: 10 }, outcome: 'applied' },
  { name: 'a write that met another revision', swap: { applied: false, revision: 10, entry: undefined }, outcome: 'conflict' },
  { name: 'a write that provably did nothing', swap: down, outcome: 'conflict' },
  { name: 'a lost answer with the own value read back', swap: lost, stored: { view: mine, revision: 10 }, outcome: 'applied' },
  { name: 'a lost answer with another value read back', swap: lost, stored: { view: other, revision: 10 }, outcome: 'conflict' },
  { name: 'a lost answer with the old revision read back', swap: lost, stored: { view: other, revision: 9 }, outcome: 'unknown' },
  { name: 'a lost answer and a failed read', swap: lost, read: down, outcome: 'unknown' }
]

for (const { name, swap, stored, read, outcome } of writes) {
  test(`${name} is "${outcome}"`, async () => {
    const { events, store } = start({ swap, stored, read })
    await store.writeView(mine, 9)
    expect(events).toEqual([{ type: 'viewWritten', outcome: outcome as 'applied' }])
  })
}

test('the write of the status address is retried until it succeeds, and not repeated after that', async () => {
  // An entry starts while the store is down and serves with the state of its peers. If the address were
  // written only at the start, the command-line tool would not find it as long as the process runs.
  const answers = [errAsync(down), errAsync(lost), okAsync(7)]
  const puts: string[] = []
  const { store } = start({ put: (key, value) => answers[puts.push(`${key} ${value}`) - 1] })
  await store.publish({ key: '/test/instances/entry-1', value: '{}' }, 1)
  expect(puts).toEqual(Array.from({ length: 3 }, () => '/test/instances/entry-1 {}'))
})

test('an entry that stops no longer retries the write of its address', async () => {
  const { store } = start({ put: () => errAsync(down) })
  const published = store.publish({ key: 'k', value: '{}' })
  store.stop()
  await published
})

test('a view is stored and read without the fields that the inner protocol adds', () => {
  const received = { $typeName: 'amaranthmast.inner.v1.View', ...mine, members: mine.members.map(member => ({ $typeName: 'amaranthmast.inner.v1.Member', ...member })) }
  expect(decodeView('k', encodeView(received))._unsafeUnwrap()).toEqual(mine)
})

const unreadable = ['', '[]', 'null', '{"version":1}', '{"version":1,"members":[{}],"fenced":[]}', '{"version":"1","members":[],"fenced":[]}', '{"version":1,"members":[],"fenced":[7]}']

for (const value of unreadable) {
  test(`the stored value ${value === '' ? '(empty)' : value} is not a view`, () => {
    expect(decodeView('k', value)._unsafeUnwrapErr().code).toEqual('viewUnreadable')
  })
}

interface Stored {
  view: View
  revision: number
}

interface Answers {
  stored?: Stored | undefined
  read?: StoreError | undefined
  swap?: SwapResult | StoreError
  put?: (key: string, value: string) => unknown
}

/** Creates a store with a fake client that answers each call according to the current `answers`. */
function start (answers: Answers) {
  const { swap, put } = answers
  const clock = { now: 100 }
  const asked: number[] = []
  const client = {
    readIfChanged: (_key: string, known: number) => {
      asked.push(known)
      return answers.read === undefined ? okAsync(changeSince(known, answers.stored)) : errAsync(answers.read)
    },
    put,
    compareAndSwap: () => swap instanceof Error ? errAsync(swap) : okAsync(swap)
  }
  const events: EntryEvent[] = []
  const post = (event: EntryEvent): void => { events.push(event) }
  const options = {
    client: client as unknown as KeyValueClient,
    settings: { endpoints: [], prefix: '/test/', timeoutMilliseconds: 1000 },
    log: pino({ level: 'silent' }),
    now: () => clock.now,
    random: () => 0.5
  }
  return { events, clock, asked, reader: new ViewReader(options, post), store: new EntryStore(options, post) }
}

function changeSince (known: number, stored: Stored | undefined): ChangeResult {
  if ((stored?.revision ?? 0) === known) return { changed: false, revision: 1 }
  const entry = stored === undefined ? undefined : { key: '/test/view', value: encodeView(stored.view), modRevision: stored.revision, version: 1 }
  return { changed: true, revision: 1, entry }
}
