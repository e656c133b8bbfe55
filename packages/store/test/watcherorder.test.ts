/** Tests the order of a watcher's reads, watches and delays with a fake client and fake timers. */
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { expect } from 'earl'
import type { ResultAsync } from 'neverthrow'
import { errAsync, okAsync } from 'neverthrow'
import type { ChangeResult, KeyValueEntry, ReadResult, WatchEnd, WatchEvent } from '../src/entries.ts'
import { WatchEndKind, WatchEventKind } from '../src/entries.ts'
import type { StoreError } from '../src/errors.ts'
import { StoreUnavailable } from '../src/errors.ts'
import { Watcher } from '../src/watcher.ts'

const UNAVAILABLE = new StoreUnavailable('down')
const CUT: WatchEnd = { kind: WatchEndKind.Cut, error: UNAVAILABLE }

interface FakeWatch {
  fromRevision: number
  onEvent: (event: WatchEvent) => void
  onEnd: (end: WatchEnd) => void
  cancelled: boolean
}

/** Returns `answer` for every read and records reads and watches. */
class FakeClient {
  answer: ResultAsync<ReadResult, StoreError> = errAsync(UNAVAILABLE)
  reads = 0
  readonly known: number[] = []
  readonly watches: FakeWatch[] = []

  readIfChanged (_key: string, knownModRevision: number): ResultAsync<ChangeResult, StoreError> {
    this.reads += 1
    this.known.push(knownModRevision)
    return this.answer.map(({ entry, revision }) => (entry?.modRevision ?? 0) === knownModRevision
      ? { changed: false, revision }
      : { changed: true, revision, entry })
  }

  watch (_key: string, fromRevision: number, onEvent: FakeWatch['onEvent'], onEnd: FakeWatch['onEnd']): () => void {
    const watch: FakeWatch = { fromRevision, onEvent, onEnd, cancelled: false }
    this.watches.push(watch)
    return () => { watch.cancelled = true }
  }
}

function entry (value: string, modRevision: number): KeyValueEntry {
  return { key: 'view', value, modRevision, version: 1 }
}

function readOf (value: string, modRevision: number, revision: number): ResultAsync<ReadResult, StoreError> {
  return okAsync({ entry: entry(value, modRevision), revision })
}

function createWatcher (context: TestContext, client: FakeClient, values: Array<string | undefined>): Watcher {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const watcher = new Watcher({
    client,
    key: 'view',
    random: () => 0,
    rereadMilliseconds: 2000,
    backoffBaseMilliseconds: 100,
    backoffMaximumMilliseconds: 400,
    onChange: (value) => { values.push(value.entry?.value) }
  })
  context.after(() => { watcher.stop() })
  return watcher
}

/** Starts a watcher whose first read returns `answer`. Its watch is open unless `answer` is an error. */
async function start (context: TestContext, answer: FakeClient['answer']): Promise<{ client: FakeClient, values: Array<string | undefined> }> {
  const client = new FakeClient()
  const values: Array<string | undefined> = []
  client.answer = answer
  createWatcher(context, client, values).start()
  await advance(context, 0)
  return { client, values }
}

/** Lets pending calls finish, then advances the clock. */
async function advance (context: TestContext, milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setImmediate(resolve) })
  context.mock.timers.tick(milliseconds)
  await new Promise((resolve) => { setImmediate(resolve) })
}

const BACKOFF_CASES = [
  { name: 'every read fails', answer: errAsync(UNAVAILABLE), milliseconds: [49, 1, 99, 1, 199, 1, 199, 1], readsAfter: [1, 2, 2, 3, 3, 4, 4, 5] },
  { name: 'reads succeed and every watch is cut', answer: readOf('a', 3, 5), milliseconds: [50, 99, 1, 199, 1, 199, 1], readsAfter: [2, 2, 3, 3, 4, 4, 5] }
]

for (const { name, answer, milliseconds, readsAfter } of BACKOFF_CASES) {
  test(`the backoff doubles up to its maximum while ${name}`, async (context) => {
    const { client } = await start(context, answer)

    const reads: number[] = []
    for (const wait of milliseconds) {
      await advance(context, 0)
      client.watches.at(-1)?.onEnd(CUT)
      await advance(context, wait)
      reads.push(client.reads)
    }

    expect(reads).toEqual(readsAfter)
  })
}

test('the backoff is reset after a watch stayed open between two reads', async (context) => {
  const client = new FakeClient()
  createWatcher(context, client, []).start()
  await advance(context, 50)
  client.answer = readOf('a', 3, 5)
  await advance(context, 100)
  await advance(context, 1500)
  const readsBefore = client.reads

  client.watches[0]?.onEnd(CUT)
  await advance(context, 50)

  expect(client.reads).toEqual(readsBefore + 1)
})

const MISSED_CHANGES = [
  { name: 'change', answer: readOf('b', 7, 8), value: 'b' },
  { name: 'deletion', answer: okAsync({ entry: undefined, revision: 8 }), value: undefined }
]

for (const { name, answer, value } of MISSED_CHANGES) {
  test(`a read that finds a ${name} which the watch missed replaces the watch`, async (context) => {
    const { client, values } = await start(context, readOf('a', 3, 5))

    client.answer = answer
    await advance(context, 1500)

    expect(values).toEqual(['a', value])
    expect(client.reads).toEqual(2)
    expect(client.watches.map((watch) => [watch.fromRevision, watch.cancelled])).toEqual([[6, true], [9, false]])
  })
}

test('a read without changes keeps the watch', async (context) => {
  const { client } = await start(context, readOf('a', 3, 5))

  client.answer = readOf('a', 3, 9)
  await advance(context, 1500)

  expect(client.reads).toEqual(2)
  expect(client.watches.map((watch) => watch.cancelled)).toEqual([false])
})

const NEXT_WATCHES: Array<{ name: string, end: (watch: FakeWatch) => void, fromRevision: number }> = [
  { name: 'the last reported revision', fromRevision: 10, end: (watch) => { watch.onEvent({ kind: WatchEventKind.Put, entry: entry('b', 9) }); watch.onEnd(CUT) } },
  { name: 'the compacted revisions', fromRevision: 20, end: (watch) => { watch.onEnd({ kind: WatchEndKind.Compacted, compactRevision: 20 }) } }
]

for (const { name, end, fromRevision } of NEXT_WATCHES) {
  test(`after a stale read the next watch starts after ${name}`, async (context) => {
    const { client } = await start(context, readOf('a', 3, 5))

    client.watches.forEach(end)
    await advance(context, 50)

    expect(client.watches.map((watch) => watch.fromRevision)).toEqual([6, fromRevision])
  })
}

test('only events with a newer revision are reported', async (context) => {
  const { client, values } = await start(context, readOf('c', 7, 7))

  for (const [value, modRevision] of [['a', 5], ['c', 7], ['d', 8], ['b', 6]] as const) {
    client.watches[0]?.onEvent({ kind: WatchEventKind.Put, entry: entry(value, modRevision) })
  }

  expect(values).toEqual(['c', 'd'])
})

test('each read passes the last reported revision, or 0 while the key does not exist', async (context) => {
  const client = new FakeClient()
  client.answer = okAsync({ entry: undefined, revision: 2 })
  createWatcher(context, client, []).start()
  await advance(context, 0)

  client.answer = readOf('a', 3, 5)
  await advance(context, 1500)
  await advance(context, 1500)
  client.watches[1]?.onEvent({ kind: WatchEventKind.Put, entry: entry('b', 9) })
  await advance(context, 1500)
  client.watches[1]?.onEvent({ kind: WatchEventKind.Delete, key: 'view', modRevision: 12 })
  await advance(context, 1500)

  expect(client.known).toEqual([0, 0, 3, 9, 0])
})

// A watch event arrives while a read is in progress. The read then reports "unchanged" relative to the
// state before the event; treated as an update, it would undo the event.
test('an "unchanged" result does not undo an event received during the read', async (context) => {
  const { client, values } = await start(context, readOf('a', 3, 5))

  context.mock.timers.tick(1500)
  client.watches[0]?.onEvent({ kind: WatchEventKind.Delete, key: 'view', modRevision: 7 })
  await advance(context, 0)

  expect(client.known).toEqual([0, 3])
  expect(values).toEqual(['a', undefined])
  expect(client.watches.map((watch) => watch.cancelled)).toEqual([false])
})

test('a read that completes after the watcher is stopped reports nothing and opens no watch', async (context) => {
  const client = new FakeClient()
  const values: Array<string | undefined> = []
  client.answer = readOf('a', 3, 5)
  const watcher = createWatcher(context, client, values)

  watcher.start()
  watcher.stop()
  await advance(context, 10_000)

  expect(values).toEqual([])
  expect(client.watches).toEqual([])
  expect(client.reads).toEqual(1)
})
