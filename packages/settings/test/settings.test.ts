/** Tests of the daemon's settings file: valid settings, and one line per fault of invalid ones. */
import { test } from 'node:test'
import { expect } from 'earl'
import type { Result } from 'neverthrow'
import type { DocumentRefused } from '../src/errors.ts'
import { publishedRecord } from '../src/publishedinstance.ts'
import { checkSettings, readSettings } from '../src/settings.ts'
import type { EntrySettings } from '../src/settingstypes.ts'

const ENTRY = { role: 'entry', id: 'entry-1', dataCentre: 'gulf-1', store: { endpoints: ['http://127.0.0.1:2379'] } }
const AGENT = {
  role: 'agent',
  id: 'agent-1',
  dataCentre: 'gulf-1',
  store: { endpoints: ['http://127.0.0.1:2379'] },
  target: { url: 'http://127.0.0.1:6101', provider: 'provider-a', services: ['label-check'] }
}

function linesOf (result: Result<unknown, DocumentRefused>): string[] {
  return result.isOk() ? [] : result.error.message.split('\n')
}

test('an entry gets all defaults', () => {
  expect(checkSettings(ENTRY)._unsafeUnwrap()).toLooseEqual({
    ...ENTRY,
    rack: '',
    store: { endpoints: ['http://127.0.0.1:2379'], prefix: '/amaranthmast/', timeoutMilliseconds: 1000 },
    status: { host: '127.0.0.1', port: 9101 },
    timings: {},
    log: { level: 'info' },
    callers: { host: '127.0.0.1', port: 8101 },
    peers: { host: '127.0.0.1', port: 7101, address: 'http://127.0.0.1:7101' },
    scheduler: {}
  })
})

test('an agent gets all defaults', () => {
  const settings = checkSettings(AGENT)._unsafeUnwrap()
  expect(settings).toLooseEqual(expect.subset({ role: 'agent', seeds: [], target: { ...AGENT.target, slots: 8, accelerators: 0, memoryMegabytes: 0 } }))
})

const EVERY_FIELD = 'role, id, dataCentre, rack, store, status, timings, log, callers, peers, scheduler'

interface FaultCase {
  name: string
  settings: unknown
  lines: string[]
}

const FAULTS: FaultCase[] = [
  { name: 'not an object', settings: 7, lines: [`(document): must be an object, not 7; example: an object with ${EVERY_FIELD}`] },
  { name: 'no role', settings: { ...ENTRY, role: undefined }, lines: ['role: is missing; example: "entry"'] },
  { name: 'an unknown role', settings: { ...ENTRY, role: 'both' }, lines: ['role: must be one of entry, agent; example: "entry"'] },
  { name: 'no id', settings: { ...ENTRY, id: undefined }, lines: ['id: is missing; example: "entry-1"'] },
  {
    name: 'an id with the separator of instance names',
    settings: { ...ENTRY, id: 'entry#1' },
    lines: ['id: must be 1 to 64 letters, digits, dots, underscores and hyphens, the first a letter or digit, not "entry#1"; example: "entry-1"']
  },
  { name: 'an unknown field', settings: { ...ENTRY, target: {} }, lines: [`target: is an unknown field; example: one of the known fields ${EVERY_FIELD}`] },
  {
    name: 'an unknown timing',
    settings: { ...ENTRY, timings: { hartbeat: 1 } },
    lines: ['timings.hartbeat: is an unknown field; example: one of the known fields heartbeat, suspect, contact, agentLost, viewRead, retention, answerGrace, clockMargin']
  },
  { name: 'a timing of 0', settings: { ...ENTRY, timings: { heartbeat: 0 } }, lines: ['timings.heartbeat: must be at least 1; example: 400'] },
  { name: 'no endpoint', settings: { ...ENTRY, store: { endpoints: [] } }, lines: ['store.endpoints: must have at least 1 item; example: ["http://127.0.0.1:2379"]'] },
  {
    name: 'an endpoint without scheme',
    settings: { ...ENTRY, store: { endpoints: ['127.0.0.1:2379'] } },
    lines: ['store.endpoints[0]: must be a http or https address, not "127.0.0.1:2379"; example: "http://127.0.0.1:2379"']
  },
  {
    name: 'a prefix without slash',
    settings: { ...ENTRY, store: { ...ENTRY.store, prefix: 'a' } },
    lines: ['store.prefix: must begin and end with a slash, not "a"; example: "/amaranthmast/"']
  },
  { name: 'a port as a string', settings: { ...ENTRY, status: { port: '9101' } }, lines: ['status.port: must be a number, not a text; example: 9101'] },
  { name: 'a port out of range', settings: { ...ENTRY, status: { port: 65536 } }, lines: ['status.port: must be at most 65535; example: 9101'] },
  {
    name: 'a wildcard address that nobody can connect to',
    settings: { ...ENTRY, peers: { host: '0.0.0.0' } },
    lines: ['peers.address: must be given when peers.host is 0.0.0.0, since nobody can connect to that; example: "http://10.0.0.7:7101"']
  },
  {
    name: 'a port that is not known in advance',
    settings: { ...ENTRY, peers: { port: 0 } },
    lines: ['peers.address: must be given when peers.port is 0, since the port is not known before the others are told of it; example: "http://10.0.0.7:7101"']
  },
  {
    name: 'a suspect time below three heartbeats',
    settings: { ...ENTRY, timings: { heartbeat: 650 } },
    lines: ['timings.suspect: is 1800 when absent and must be at least 1950 (3 times heartbeat), else one heartbeat that is late has a live entry removed; example: 1950']
  },
  {
    name: 'a contact time below a view read and two heartbeats',
    settings: { ...AGENT, timings: { contact: 1799 } },
    lines: ['timings.contact: is 1799 and must be at least 1800 (viewRead and 2 times heartbeat), else agents take themselves for cut off between two confirmations of the view, and refuse work; example: 1800']
  },
  {
    name: 'an agentLost time below three heartbeats',
    settings: { ...ENTRY, timings: { agentLost: 1000 } },
    lines: ['timings.agentLost: is 1000 and must be at least 1200 (3 times heartbeat), else an agent whose connection is reset is given up before it is back, and its tasks are answered "may have run"; example: 1200']
  },
  {
    name: 'a retention below the time of a takeover and the clock margin',
    settings: { ...ENTRY, timings: { retention: 11_699, clockMargin: 11_699 } },
    lines: [
      'timings.retention: is 11699 and must be at least 11700 (4 times suspect, contact and agentLost), else what a lost entry ran is forgotten before another has taken its jobs over; example: 11700',
      'timings.retention: is 11699 and must be at least 11700 (more than clockMargin), else a job that was lodged just now may count as forgotten; example: 11700'
    ]
  },
  {
    name: 'an unknown policy',
    settings: { ...ENTRY, scheduler: { policy: 'best' } },
    lines: ['scheduler.policy: must be one of random, powerOfTwo, leastExpectedWait, slotCredits, evenSpread; example: "evenSpread"']
  },
  { name: 'an agent without target', settings: { ...AGENT, target: undefined }, lines: ['target: is missing; example: {"url":"http://127.0.0.1:6101","provider":"provider-a","services":["label-check"]}'] },
  { name: 'a target without slots', settings: { ...AGENT, target: { ...AGENT.target, slots: 0 } }, lines: ['target.slots: must be at least 1; example: 8'] },
  {
    name: 'a seed that is an instance name instead of a URL',
    settings: { ...AGENT, seeds: ['entry-1'] },
    lines: ['seeds[0]: must be a http or https address, not "entry-1"; example: "http://10.0.0.7:7101"']
  },
  { name: 'a fractional number of slots', settings: { ...AGENT, target: { ...AGENT.target, slots: 1.5 } }, lines: ['target.slots: must be a whole number, not 1.5; example: 8'] },
  {
    name: 'several faults at once',
    settings: { ...AGENT, id: '', log: { level: 'loud' }, target: { ...AGENT.target, provider: 3 } },
    lines: [
      'id: must be 1 to 64 letters, digits, dots, underscores and hyphens, the first a letter or digit, not ""; example: "entry-1"',
      'log.level: must be one of fatal, error, warn, info, debug, trace, silent; example: "info"',
      'target.provider: must be a text, not 3; example: "provider-a"'
    ]
  }
]

test('timings exactly at their minimums are accepted', () => {
  const timings = { heartbeat: 600, suspect: 1800, viewRead: 1000, contact: 2200, agentLost: 1800, retention: 11_200, clockMargin: 11_199 }
  expect(checkSettings({ ...ENTRY, timings }).isOk()).toEqual(true)
})

for (const { name, settings, lines } of FAULTS) {
  test(`settings refused: ${name}`, () => {
    expect(linesOf(checkSettings(settings))).toEqual(lines)
  })
}

test('a file that does not exist', () => {
  const error = readSettings('/nowhere/settings.json')._unsafeUnwrapErr()
  expect(error.code).toEqual('FILE_UNREADABLE')
  expect(error.message).toEqual('cannot read /nowhere/settings.json (ENOENT): give the path of a file that this user may read')
})

test('an entry that listens on all interfaces publishes a reachable address', () => {
  const peers = { host: '0.0.0.0', address: 'http://10.0.0.7:7101' }
  const settings = checkSettings({ ...ENTRY, peers, status: { host: '0.0.0.0' } })._unsafeUnwrap() as EntrySettings
  expect(publishedRecord(settings, 'entry-1#2', 9101)).toEqual({
    key: '/amaranthmast/instances/entry-1',
    value: '{"instance":"entry-1#2","status":"http://10.0.0.7:9101"}'
  })
})
