/** Order of a watcher's reads, watches and waits, against a client that the test drives by hand. */
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { expect } from 'earl'
import type { ResultAsync } from 'neverthrow'
import { errAsync, okAsync } from 'neverthrow'
import type { KeyValueEntry, ReadResult, WatchEnd, WatchEvent } from '../src/entries.ts'
import { WatchEndKind, WatchEventKind } from '../src/entries.ts'
import type { StoreError } from '../src/errors.ts'
import { StoreUnavailable } from '../src/errors.ts'
import { Watcher } from '../src/watcher.ts'

const DOWN = new StoreUnavailable('down')
const CUT: WatchEnd = { kind: WatchEndKind.Cut, error: DOWN }

interface FakeWatch {
  fromRevision: number
  onEvent: (event: WatchEvent) => void
  onEnd: (end: WatchEnd) => void
  cancelled: boolean
}

/** Answers reads with `answer` and records watches. */
class FakeClient {
  answer: ResultAsync<ReadResult, StoreError> = errAsync(DOWN)
  reads = 0
  readonly watches: FakeWatch[] = []

  read (): ResultAsync<ReadResult, StoreError> {
    this.reads += 1
    return this.answer
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

function holds (value: string, modRevision: number, revision: number): ResultAsync<ReadResult, StoreError> {
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

/** Lets calls in progress finish, then moves the clock. */
async function pass (context: TestContext, milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setImmediate(resolve) })
  context.mock.timers.tick(milliseconds)
  await new Promise((resolve) => { setImmediate(resolve) })
}

test('the waits after failed reads double up to their limit', async (context) => {
  const client = new FakeClient()
  createWatcher(context, client, []).start()

  const readsAfter: number[] = []
  for (const milliseconds of [49, 1, 99, 1, 199, 1, 199, 1]) {
    await pass(context, milliseconds)
    readsAfter.push(client.reads)
  }

  expect(readsAfter).toEqual([1, 2, 2, 3, 3, 4, 4, 5])
})

test('the waits grow while reads succeed and every watch is cut', async (context) => {
  const client = new FakeClient()
  client.answer = holds('a', 3, 5)
  createWatcher(context, client, []).start()

  const readsAfter: number[] = []
  for (const milliseconds of [50, 99, 1, 199, 1]) {
    await pass(context, 0)
    client.watches.at(-1)?.onEnd(CUT)
    await pass(context, milliseconds)
    readsAfter.push(client.reads)
  }

  expect(readsAfter).toEqual([2, 2, 3, 3, 4])
})

test('the wait is short again after a watch that lasted', async (context) => {
  const client = new FakeClient()
  createWatcher(context, client, []).start()
  await pass(context, 50)
  client.answer = holds('a', 3, 5)
  await pass(context, 100)
  await pass(context, 1500)
  const readsBefore = client.reads

  client.watches[0]?.onEnd(CUT)
  await pass(context, 50)

  expect(client.reads).toEqual(readsBefore + 1)
})

test('a read that brings what the watch did not replaces the watch', async (context) => {
  const client = new FakeClient()
  const values: Array<string | undefined> = []
  client.answer = holds('a', 3, 5)
  createWatcher(context, client, values).start()
  await pass(context, 0)

  client.answer = holds('b', 7, 8)
  await pass(context, 1500)

  expect(values).toEqual(['a', 'b'])
  expect(client.watches.map((watch) => [watch.fromRevision, watch.cancelled])).toEqual([[6, true], [9, false]])
})

test('a read that brings nothing new keeps the watch', async (context) => {
  const client = new FakeClient()
  client.answer = holds('a', 3, 5)
  createWatcher(context, client, []).start()
  await pass(context, 0)

  client.answer = holds('a', 3, 9)
  await pass(context, 1500)

  expect(client.reads).toEqual(2)
  expect(client.watches.map((watch) => watch.cancelled)).toEqual([false])
})

test('after a stale read the watch starts behind the last report', async (context) => {
  const client = new FakeClient()
  client.answer = holds('a', 3, 5)
  createWatcher(context, client, []).start()
  await pass(context, 0)
  client.watches[0]?.onEvent({ kind: WatchEventKind.Put, entry: entry('b', 9) })

  client.watches[0]?.onEnd(CUT)
  await pass(context, 50)

  expect(client.watches.map((watch) => watch.fromRevision)).toEqual([6, 10])
})

test('after a compaction the watch starts at what is kept though the read is stale', async (context) => {
  const client = new FakeClient()
  client.answer = holds('a', 3, 5)
  createWatcher(context, client, []).start()
  await pass(context, 0)

  client.watches[0]?.onEnd({ kind: WatchEndKind.Compacted, compactRevision: 20 })
  await pass(context, 50)

  expect(client.watches.map((watch) => watch.fromRevision)).toEqual([6, 20])
})

test('of the events of a watch only newer ones are reported', async (context) => {
  const client = new FakeClient()
  const values: Array<string | undefined> = []
  client.answer = holds('c', 7, 7)
  createWatcher(context, client, values).start()
  await pass(context, 0)

  for (const [value, modRevision] of [['a', 5], ['c', 7], ['d', 8], ['b', 6]] as const) {
    client.watches[0]?.onEvent({ kind: WatchEventKind.Put, entry: entry(value, modRevision) })
  }

  expect(values).toEqual(['c', 'd'])
})

test('a read that ends after the stop reports nothing and opens no watch', async (context) => {
  const client = new FakeClient()
  const values: Array<string | undefined> = []
  client.answer = holds('a', 3, 5)
  const watcher = createWatcher(context, client, values)

  watcher.start()
  watcher.stop()
  await pass(context, 10_000)

  expect(values).toEqual([])
  expect(client.watches).toEqual([])
  expect(client.reads).toEqual(1)
})
