/** An agent requests the view from the entries in its settings, over real connections. */
import type { View } from '@amaranthmast/coordination/messages'
import { expect } from 'earl'
import { pino } from 'pino'
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import type { Environment } from '../src/environment.ts'
import { InnerListener } from '../src/innerlistener.ts'
import { isViewRequest, Seeds, sendView } from '../src/seeds.ts'
import { encodeView } from '../src/viewcodec.ts'

const member = { instance: 'entry-1#a', address: 'http://127.0.0.1:7101', dataCentre: 'gulf-1', leaving: false }
const VIEW: View = { version: 3, members: [member], fenced: [] }
const NO_VIEW: View = { version: 0, members: [], fenced: [] }
const UNREACHABLE = 'http://127.0.0.1:1'

/** Starts an entry with this view; counts how often the view is requested. */
async function startEntry (test: TestContext, view: View) {
  const asked = { times: 0 }
  const listener = new InnerListener({
    agent: (frames, context) => {
      if (!isViewRequest(context)) throw new TypeError('a seed was asked for a link')
      asked.times += 1
      return sendView('entry-1#a', view, 7)
    },
    peer: () => { throw new TypeError('no entry dials here') }
  })
  test.after(() => listener.close())
  const port = (await listener.listen('127.0.0.1', 0))._unsafeUnwrap()
  return { asked, address: `http://127.0.0.1:${port}` }
}

function seeds (addresses: string[], random = 0): Seeds {
  const environment: Environment = { instance: 'agent-1#b', log: pino({ level: 'silent' }), now: () => performance.now(), wallClock: () => 0, random: () => random }
  return new Seeds(environment, addresses)
}

/** Encodes a view without the fields that the codec adds. */
function textOf (view: View | undefined): string | undefined {
  return view && encodeView(view)
}

// An agent starts while the store is down. It has the entries' addresses, but not the incarnations that
// listen there. One of them does not answer and one is still joining; the first that has joined sends its view.
test('the view is that of the first entry that has one', async t => {
  const joining = await startEntry(t, NO_VIEW)
  const joined = await startEntry(t, VIEW)
  expect(textOf(await seeds([UNREACHABLE, joining.address, joined.address]).view())).toEqual(encodeView(VIEW))
  expect([joining.asked.times, joined.asked.times]).toEqual([1, 1])
})

test('agents that start together do not all ask the same entry', async t => {
  const entries = [await startEntry(t, VIEW), await startEntry(t, VIEW)]
  const addresses = entries.map(({ address }) => address)
  for (const random of [0, 0.4, 0.6, 0.9]) await seeds(addresses, random).view()
  expect(entries.map(({ asked }) => asked.times)).toEqual([2, 2])
})

test('there is no view when no entry answers', async () => {
  expect(await seeds([UNREACHABLE]).view()).toEqual(undefined)
  expect(await seeds([]).view()).toEqual(undefined)
})

test('only one call requests the view at a time', async t => {
  const entry = await startEntry(t, VIEW)
  const subject = seeds([entry.address])
  const views = await Promise.all([subject.view(), subject.view()])
  expect(views.map(textOf)).toEqual([encodeView(VIEW), undefined])
})
