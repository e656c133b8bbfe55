/** Tests that a watcher reports the newest value despite faults, and never an older one after it. */
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import { Outage } from '@amaranthmast/standins/keyvaluefaults'
import { waitFor } from '@amaranthmast/standins/wait'
import { expect } from 'earl'
import { KeyValueClient } from '../src/client.ts'
import type { WatchedValue } from '../src/watcher.ts'
import { Watcher } from '../src/watcher.ts'

const NEVER = 1_000_000

interface Watched {
  standIn: KeyValueStandIn
  client: KeyValueClient
  watcher: Watcher
  values: Array<string | undefined>
  revisions: number[]
  health: boolean[]
}

/** Creates a stand-in whose key has the value `a`, and a watcher that is not started. */
async function prepare (context: TestContext, rereadMilliseconds: number): Promise<Watched> {
  const standIn = new KeyValueStandIn()
  await standIn.start()
  const client = new KeyValueClient({
    endpoints: [standIn.endpoint], timeoutMilliseconds: 200, random: () => 0.5, now: () => 0
  })
  await client.put('view', 'a')
  const values: Array<string | undefined> = []
  const revisions: number[] = []
  const health: boolean[] = []
  const watcher = new Watcher({
    client,
    key: 'view',
    random: () => 0.5,
    rereadMilliseconds,
    backoffBaseMilliseconds: 10,
    backoffMaximumMilliseconds: 40,
    onChange: (value: WatchedValue) => {
      values.push(value.entry?.value)
      revisions.push(value.modRevision)
    },
    onHealth: (error) => { health.push(error === undefined) }
  })
  context.after(async () => {
    watcher.stop()
    await client.close()
    await standIn.stop()
  })
  return { standIn, client, watcher, values, revisions, health }
}

/** Like `prepare`, but with the watcher started and its watch open. */
async function watch (context: TestContext, rereadMilliseconds: number): Promise<Watched> {
  const watched = await prepare(context, rereadMilliseconds)
  watched.watcher.start()
  await waitForWatch(watched.standIn)
  return watched
}

async function waitForValue (values: Array<string | undefined>, value: string): Promise<void> {
  await waitFor(`value ${value}`, 5000, 5, () => values.at(-1) === value)
}

async function waitForWatch (standIn: KeyValueStandIn): Promise<void> {
  await waitFor('an open watch', 5000, 5, () => standIn.calls.watchesOpen === 1)
}

// Without conditional reads, every instance would transfer the whole of an unchanged large document
// every two seconds just to detect changes missed by its watch.
test('periodic reads do not transfer an unchanged value', async (context) => {
  const { standIn, client, values } = await watch(context, 20)
  const { reads, writes } = standIn.calls

  await waitFor('reads', 5000, 5, () => standIn.calls.reads >= reads + 3)

  expect(values).toEqual(['a'])
  expect(standIn.calls.valueBytesRead).toEqual(1)
  expect(standIn.calls.writes).toEqual(writes)
  expect(client.calls.writes).toEqual(writes)
})

test('a watcher reports the current value and each change', async (context) => {
  const { client, values, revisions } = await watch(context, NEVER)

  await client.put('view', 'b')
  await client.put('view', 'c')
  await waitForValue(values, 'c')

  expect(values).toEqual(['a', 'b', 'c'])
  expect(revisions).toEqual([2, 3, 4])
})

test('a watcher reports that the key is missing, then that it exists', async (context) => {
  const { client, values } = await prepare(context, NEVER)
  const watcher = new Watcher({
    client, key: 'configuration', random: () => 0.5, onChange: ({ entry }) => { values.push(entry?.value) }
  })
  context.after(() => { watcher.stop() })
  watcher.start()
  await waitFor('a report', 5000, 5, () => values.length === 1)

  await client.put('configuration', 'first')
  await waitForValue(values, 'first')

  expect(values).toEqual([undefined, 'first'])
})

// A watch can be cut, or stay open without delivering events. If the watcher relied on it, an operator's
// change would never take effect on that instance.
const LOST_CHANGES: Array<{
  name: string, rereadMilliseconds: number, lose: (standIn: KeyValueStandIn) => unknown, heal: (standIn: KeyValueStandIn) => unknown
}> = [
  { name: 'watch cut', rereadMilliseconds: NEVER, lose: (standIn) => { standIn.cutWatches() }, heal: () => {} },
  { name: 'event dropped', rereadMilliseconds: 50, lose: (standIn) => standIn.setFaults({ dropWatchEvents: true }), heal: () => {} },
  { name: 'event later than the next read', rereadMilliseconds: 50, lose: (standIn) => standIn.setFaults({ watchDelayMilliseconds: 60_000 }), heal: () => {} },
  { name: 'service slow', rereadMilliseconds: 50, lose: (standIn) => standIn.setFaults({ readDelayMilliseconds: 150, writeDelayMilliseconds: 150, watchDelayMilliseconds: 150 }), heal: () => {} },
  { name: 'cut and compacted', rereadMilliseconds: NEVER, lose: (standIn) => { standIn.cutWatches() }, heal: (standIn) => { standIn.compact() } }
]

for (const { name, rereadMilliseconds, lose, heal } of LOST_CHANGES) {
  test(`a watcher detects a change that its watch missed: ${name}`, async (context) => {
    const { standIn, client, values, revisions } = await watch(context, rereadMilliseconds)

    await lose(standIn)
    await client.put('view', 'b')
    await heal(standIn)
    await waitForValue(values, 'b')

    expect(values).toEqual(['a', 'b'])
    expect(revisions).toEqual([2, 3])
  })
}

for (const outage of [Outage.Refuse, Outage.Hang, Outage.NoLeader]) {
  test(`after an outage a watcher reports a value that was written before it: ${outage}`, async (context) => {
    const { standIn, client, values, health } = await watch(context, 50)
    await standIn.setFaults({ dropWatchEvents: true })
    await client.put('view', 'b')
    await standIn.setFaults({ outage, dropWatchEvents: false })
    await waitFor('the loss', 5000, 5, () => health.length > 0)

    await standIn.clearFaults()
    await waitForValue(values, 'b')

    expect(values).toEqual(['a', 'b'])
    expect(health).toEqual([false, true])
  })
}

test('a watcher started during an outage reports the value after it', async (context) => {
  const { standIn, watcher, values, health } = await prepare(context, NEVER)
  await standIn.setFaults({ outage: Outage.Refuse })
  watcher.start()
  await waitFor('a failed read', 5000, 5, () => health.length > 0)
  const valuesInOutage = [...values]

  await standIn.clearFaults()
  await waitForValue(values, 'a')

  expect(valuesInOutage).toEqual([])
  expect(values).toEqual(['a'])
})

// A read from a lagging member of the service, or a new watch that replays old changes, could make an
// instance revert to an older value.
test('a watcher never reports an older value after stale reads', async (context) => {
  const { standIn, client, values, revisions } = await watch(context, 20)
  await client.put('view', 'b')
  await client.put('view', 'c')
  await waitForValue(values, 'c')

  await standIn.setFaults({ staleRevisions: 2 })
  const readsBefore = standIn.calls.reads
  await waitFor('stale reads', 5000, 5, () => standIn.calls.reads > readsBefore + 3)
  standIn.cutWatches()
  await waitForWatch(standIn)
  await client.put('view', 'd')
  await waitForValue(values, 'd')

  expect(values).toEqual(['a', 'b', 'c', 'd'])
  expect(revisions).toEqual([2, 3, 4, 5])
})

test('a watcher whose first read is stale catches up through its watch', async (context) => {
  const { standIn, client, watcher, values } = await prepare(context, NEVER)
  await client.put('view', 'b')
  await standIn.setFaults({ staleRevisions: 1 })

  watcher.start()
  await waitForValue(values, 'b')

  expect(values).toEqual(['a', 'b'])
})

test('a watcher reports a deletion once, then a new value', async (context) => {
  const { standIn, client, watcher, values } = await prepare(context, 20)
  const { lease } = (await client.grantLease(30))._unsafeUnwrap()
  watcher.start()
  await waitForWatch(standIn)

  await client.put('view', 'b', lease)
  await client.revokeLease(lease)
  await waitFor('the deletion', 5000, 5, () => values.includes(undefined))
  await client.put('other', 'x')
  const readsBefore = standIn.calls.reads
  await waitFor('reads of the missing key', 5000, 5, () => standIn.calls.reads > readsBefore + 2)
  await client.put('view', 'c')
  await waitForValue(values, 'c')

  expect(values).toEqual(['a', 'b', undefined, 'c'])
})

test('a stopped watcher reports nothing and holds no watch', async (context) => {
  const { standIn, client, watcher, values } = await watch(context, 20)

  watcher.stop()
  await client.put('view', 'b')
  await waitFor('the end of the watch', 5000, 5, () => standIn.calls.watchesOpen === 0)

  expect(values).toEqual(['a'])
  expect(watcher.watching).toEqual(false)
})
