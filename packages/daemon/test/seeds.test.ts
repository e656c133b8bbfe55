/** An agent asks entries that its settings name for the view, over real connections. */
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
const NOWHERE = 'http://127.0.0.1:1'

/** An entry with this view, and the number of times that it was asked. */
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

/** Without the marks of the codec. */
function textOf (view: View | undefined): string | undefined {
  return view && encodeView(view)
}

// The store is down and an agent starts. It knows the entries' addresses, but not which runs of them
// listen there: the first that has joined tells it, past one that is gone and one that is joining.
test('the first entry that has a view tells it', async t => {
  const joining = await startEntry(t, NO_VIEW)
  const joined = await startEntry(t, VIEW)
  expect(textOf(await seeds([NOWHERE, joining.address, joined.address]).view())).toEqual(encodeView(VIEW))
  expect([joining.asked.times, joined.asked.times]).toEqual([1, 1])
})

test('agents that start together do not all ask the same entry', async t => {
  const entries = [await startEntry(t, VIEW), await startEntry(t, VIEW)]
  const addresses = entries.map(({ address }) => address)
  for (const random of [0, 0.4, 0.6, 0.9]) await seeds(addresses, random).view()
  expect(entries.map(({ asked }) => asked.times)).toEqual([2, 2])
})

test('without an entry that answers there is no view', async () => {
  expect(await seeds([NOWHERE]).view()).toEqual(undefined)
  expect(await seeds([]).view()).toEqual(undefined)
})

test('one call asks at a time', async t => {
  const entry = await startEntry(t, VIEW)
  const subject = seeds([entry.address])
  const views = await Promise.all([subject.view(), subject.view()])
  expect(views.map(textOf)).toEqual([encodeView(VIEW), undefined])
})
