/** Tests the parsing of a watch's response stream. */
import type { Dispatcher } from 'undici'
import { test } from 'node:test'
import { expect } from 'earl'
import type { WatchEnd, WatchEvent } from '../src/entries.ts'
import { WatchEndKind } from '../src/entries.ts'
import { decodeEntry, encodeBase64 } from '../src/gateway.ts'
import { WatchStream } from '../src/watchstream.ts'

const CONTROLLER = {} as unknown as Dispatcher.DispatchController

interface Opened {
  stream: WatchStream
  values: string[]
  ends: WatchEnd[]
}

function open (timeoutMilliseconds = 1000): Opened {
  const connection = { dispatch: () => true, destroy: () => Promise.resolve() } as unknown as Dispatcher
  const values: string[] = []
  const ends: WatchEnd[] = []
  const stream = new WatchStream(connection, {
    key: 'view',
    fromRevision: 1,
    timeoutMilliseconds,
    onEvent: (event: WatchEvent) => { values.push('entry' in event ? event.entry.value : 'deleted') },
    onEnd: (end) => { ends.push(end) }
  })
  stream.open()
  stream.onResponseStart(CONTROLLER, 200)
  return { stream, values, ends }
}

function line (value: string): string {
  const kv = { key: encodeBase64('view'), mod_revision: '2', value: encodeBase64(value) }
  return `${JSON.stringify({ result: { events: [{ kv }] } })}\n`
}

test('lines are parsed regardless of how the stream is split into chunks', () => {
  const { stream, values } = open()

  for (const byte of Buffer.from(`${line('één')}\n${line('two')}`)) {
    stream.onResponseData(CONTROLLER, Buffer.of(byte))
  }
  stream.cancel()

  expect(values).toEqual(['één', 'two'])
})

test('lines after a cancellation are ignored', () => {
  const { stream, values, ends } = open()
  const cancelled = `${JSON.stringify({ result: { canceled: true, cancel_reason: 'moved' } })}\n`

  stream.onResponseData(CONTROLLER, Buffer.from(`${line('a')}${cancelled}${line('b')}`))

  expect(values).toEqual(['a'])
  expect(ends.length).toEqual(1)
})

test('the timeout ends when the watch is confirmed', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const { stream, ends } = open(1000)

  stream.onResponseData(CONTROLLER, Buffer.from('{"result":{"created":true}}\n'))
  context.mock.timers.tick(60_000)

  expect(ends).toEqual([])
})

const BROKEN_STREAMS = [
  { name: 'not JSON', chunk: 'oops\n', message: 'a line of the watch stream is not JSON' },
  { name: 'error', chunk: '{"error":{"message":"etcdserver: no leader"}}\n', message: 'etcdserver: no leader' },
  { name: 'cancelled', chunk: '{"result":{"canceled":true,"cancel_reason":"moved"}}\n', message: 'moved' },
  { name: 'line without end', chunk: 'x'.repeat(8_388_609), message: 'a line that is too long' }
]

for (const { name, chunk, message } of BROKEN_STREAMS) {
  test(`a broken stream ends the watch: ${name}`, () => {
    const { stream, ends } = open()

    stream.onResponseData(CONTROLLER, Buffer.from(chunk))
    const endsSoFar = ends.length
    stream.cancel()

    expect(endsSoFar).toEqual(1)
    expect(ends.map((end) => end.kind)).toEqual([WatchEndKind.Cut])
    expect(ends.map((end) => end.kind === WatchEndKind.Cut && end.error.message.includes(message))).toEqual([true])
  })
}

test('lease 0 means no lease', () => {
  const entry = decodeEntry({ key: encodeBase64('view'), value: encodeBase64('a'), mod_revision: 2, version: '1', lease: '0' })

  expect(entry).toEqual({ key: 'view', value: 'a', modRevision: 2, version: 1 })
})
