/** Links between processes: each is reported as connected and disconnected once, and delivers nothing outside of that. */
import { expect } from 'earl'
import { test } from 'node:test'
import { Links } from '../src/links.ts'
import { Outbox } from '../src/outbox.ts'

test('a link is reported once when it connects and once when it disconnects', () => {
  const { links, events } = start()
  const link = links.open('a#1', links.newOutbox(), () => {})
  link.close()
  link.close()
  expect(events).toEqual(['up a#1', 'down a#1'])
})

test('a link delivers nothing after it was reported as disconnected', () => {
  // A peer's stream breaks while one of its frames is still being read. Messages delivered late
  // would be attributed to the next link, and a result would be counted twice.
  const { links, events } = start()
  const link = links.open('a#1', links.newOutbox(), () => {})
  link.receive([1, 2])
  link.close()
  link.receive([3])
  expect(events).toEqual(['up a#1', 'a#1 1', 'a#1 2', 'down a#1'])
})

test('a second link of one peer closes the first', () => {
  const { links, events } = start()
  let broken = false
  const first = links.open('a#1', links.newOutbox(), () => { broken = true })
  const second = links.open('a#1', links.newOutbox(), () => {})
  first.receive([1])
  second.receive([2])
  first.close()
  expect([events, broken]).toEqual([['up a#1', 'down a#1', 'up a#1', 'a#1 2'], true])
})

test('a message is sent only over the newest link of its peer', async () => {
  const { links } = start()
  const first = links.newOutbox()
  const second = links.newOutbox()
  links.open('a#1', first, () => {})
  links.open('a#1', second, () => {})
  links.send('a#1', 7)
  second.end()
  expect([await framesOf(first), await framesOf(second)]).toEqual([[[]], [[], [7]]])
})

test('a message to a peer without a link is dropped', () => {
  const { links, events } = start()
  links.send('a#1', 7)
  expect(events).toEqual([])
})

test('links to instances that are no longer wanted are closed', () => {
  const { links, events } = start()
  links.open('a#1', links.newOutbox(), () => {})
  links.open('b#1', links.newOutbox(), () => {})
  links.retain(new Set(['b#1']))
  expect([events, links.size]).toEqual([['up a#1', 'up b#1', 'down a#1'], 1])
})

test('the link of a peer that reads nothing is closed, so that its outbox stays bounded', () => {
  const { links, events } = start()
  links.open('a#1', links.newOutbox(), () => {})
  for (let message = 0; message <= 65_536; message++) links.send('a#1', message)
  expect(events).toEqual(['up a#1', 'down a#1'])
})

test('an unresponsive link is closed', () => {
  // A switch drops all packets of a peer. Neither end gets an error, and the work that was sent
  // there would wait until the operating system closes the connection.
  const { links, events } = start()
  links.open('a#1', links.newOutbox(), () => {})
  for (let now = 0; now <= 6000; now += 1000) links.sweep(now, 5000)
  expect(events).toEqual(['up a#1', 'down a#1'])
})

test('a link that receives data stays open', () => {
  const { links, events } = start()
  const link = links.open('a#1', links.newOutbox(), () => {})
  for (let now = 0; now <= 20_000; now += 1000) {
    link.receive([])
    links.sweep(now, 5000)
  }
  expect(events).toEqual(['up a#1'])
})

test('a process closes no link after a pause of its own', () => {
  const { links, events } = start()
  links.open('a#1', links.newOutbox(), () => {})
  links.sweep(0, 5000)
  links.sweep(60_000, 5000)
  expect(events).toEqual(['up a#1'])
})

test('messages of one turn are sent as one frame', async () => {
  const outbox = new Outbox<number, number[]>(messages => [...messages])
  const frames = outbox.frames()
  const opening = await frames.next()
  const pending = frames.next()
  outbox.push(1)
  outbox.push(2)
  expect([opening.value, (await pending).value]).toEqual([[], [1, 2]])
})

const delayed = [
  { name: 'the next message', send: (outbox: Outbox<number, number[]>) => { outbox.push(2) }, frame: [1, 2] },
  { name: 'a flush', send: (outbox: Outbox<number, number[]>) => outbox.flush(), frame: [1] }
]

for (const { name, send, frame } of delayed) {
  test(`a message that is not urgent is sent with ${name}`, async () => {
    const outbox = new Outbox<number, number[]>(messages => [...messages])
    const frames = outbox.frames()
    await frames.next()
    const next = frames.next().then(({ value }) => value)
    outbox.push(1, false)
    expect(await Promise.race([next, turn()])).toEqual('nothing')
    send(outbox)
    expect(await next).toEqual(frame)
  })
}

test('messages that are pending when an outbox ends are still sent', async () => {
  const outbox = new Outbox<number, number[]>(messages => [...messages])
  outbox.push(1)
  outbox.end()
  outbox.push(2)
  expect(await framesOf(outbox)).toEqual([[], [1]])
})

function start () {
  const events: string[] = []
  const links = new Links<number, number, number[]>({
    connected: peer => events.push(`up ${peer}`),
    message: (peer, message) => events.push(`${peer} ${message}`),
    disconnected: peer => events.push(`down ${peer}`)
  }, messages => [...messages])
  return { links, events }
}

async function framesOf (outbox: Outbox<number, number[]>): Promise<number[][]> {
  const frames: number[][] = []
  for await (const frame of outbox.frames()) frames.push(frame)
  return frames
}

function turn (): Promise<string> {
  return new Promise(resolve => setImmediate(() => resolve('nothing')))
}
