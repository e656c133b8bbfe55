/** Output and writes of the commands other than `apply`. */
import { test } from 'node:test'
import type { TestContext } from 'node:test'
import type { View } from '@amaranthmast/coordination/messages'
import { DrainKind } from '@amaranthmast/settings/difference'
import { Outage } from '@amaranthmast/standins/keyvaluefaults'
import { expect } from 'earl'
import { ExitCode } from '../src/exitcodes.ts'
import type { StatusPage } from '../src/statuspage.ts'
import { fileWith, linesOf, pageOf, startTool } from './toolcontext.ts'

/** Starts a store with version 1 of a configuration and a tool that uses it. */
async function start (context: TestContext): ReturnType<typeof startTool> {
  const started = await startTool(context)
  await started.tool.apply(fileWith(0, 60))
  return started
}

test('check summarizes the content of a file', async (context) => {
  const { tool } = await start(context)
  const outcome = await tool.run('check', { file: 'f' })
  expect(linesOf(outcome)).toEqual(['f is valid: 1 service, 2 providers, 0 tenants, edited from version 0.'])
})

test('plan shows the changes and writes nothing', async (context) => {
  const { store, tool } = await start(context)
  const { revision } = store
  tool.files.f = fileWith(1, 70)
  expect(linesOf(await tool.run('plan'))).toEqual([
    '2 changes to version 1; apply would make version 2:',
    '  ~ service label-check: share of provider-a 60 % -> 70 %',
    '  ~ service label-check: share of provider-b 40 % -> 30 %'
  ])
  expect(store.revision).toEqual(revision)
})

test('plan refuses what apply would refuse', async (context) => {
  const { tool } = await start(context)
  tool.files.f = fileWith(0, 70)
  expect((await tool.run('plan')).exitCode).toEqual(ExitCode.Refused)
})

test('the output of get can be applied', async (context) => {
  const { tool } = await start(context)
  const printed = linesOf(await tool.run('get')).join('\n')
  expect(JSON.parse(printed)).toLooseEqual(expect.subset({ editedFrom: 1 }))
  expect((await tool.apply(printed.replace('60', '50').replace('40', '50'))).exitCode).toEqual(ExitCode.Done)
})

test('a past version can be restored as a new one', async (context) => {
  const { tool } = await start(context)
  await tool.apply(fileWith(1, 20))
  const printed = linesOf(await tool.run('get', { past: 1 })).join('\n')
  const outcome = await tool.apply(printed)
  expect(linesOf(outcome)).toEqual([
    'Version 3 is accepted (apply apply-3).',
    '  ~ service label-check: share of provider-a 20 % -> 60 %',
    '  ~ service label-check: share of provider-b 80 % -> 40 %'
  ])
})

test('history lists the changes of each version', async (context) => {
  const { tool } = await start(context)
  await tool.apply(fileWith(1, 20))
  await tool.run('drain', { kind: DrainKind.Rack, name: 'r1' })
  expect(linesOf(await tool.run('history', { limit: 2 }))).toEqual([
    'version 3  2026-01-01T00:00:00.000Z  apply apply-3',
    '  ! drain rack r1: no new work, what runs is finished',
    'version 2  2026-01-01T00:00:00.000Z  apply apply-2',
    '  ~ service label-check: share of provider-a 60 % -> 20 %',
    '  ~ service label-check: share of provider-b 40 % -> 80 %'
  ])
})

const DRAINS = [
  { kind: DrainKind.Target, name: 'agent-3', undo: false, first: 'Version 2 is accepted (apply apply-2).' },
  { kind: DrainKind.Provider, name: 'provider-a', undo: false, first: 'Version 2 is accepted (apply apply-2).' },
  { kind: DrainKind.Rack, name: 'r1', undo: true, first: 'Version 1 holds exactly this already: nothing was written.' },
  { kind: DrainKind.Provider, name: 'provider-z', undo: false, first: 'drain provider provider-z is refused:' }
]

for (const { first, ...drain } of DRAINS) {
  test(`drain ${drain.kind} ${drain.name}${drain.undo ? ' --undo' : ''}`, async (context) => {
    const { tool } = await start(context)
    expect(linesOf(await tool.run('drain', drain))[0]).toEqual(first)
  })
}

test('a drain is ended', async (context) => {
  const { tool } = await start(context)
  await tool.run('drain', { kind: DrainKind.Rack, name: 'r1' })
  const outcome = await tool.run('drain', { kind: DrainKind.Rack, name: 'r1', undo: true })
  expect(linesOf(outcome)).toEqual(['Version 3 is accepted (apply apply-3).', '  ! end the drain of rack r1: it receives work again'])
})

// An operator drains a failing rack while another applies a file. If the drain were refused because
// of the lost race, the rack would keep receiving work until the operator retries.
test('a drain that loses a race is retried on the winning version', async (context) => {
  const { tool } = await start(context)
  const outcomes = await Promise.all(['r1', 'r2', 'r3'].map((name) => tool.run('drain', { kind: DrainKind.Rack, name })))
  expect(outcomes.map(({ exitCode }) => exitCode)).toEqual([ExitCode.Done, ExitCode.Done, ExitCode.Done])
  const inForce = JSON.parse(linesOf(await tool.run('get')).join('')) as { draining: { racks: string[] } }
  expect(inForce.draining.racks.sort()).toEqual(['r1', 'r2', 'r3'])
})

const AGENT = { instance: 'agent-1#1', target: 'agent-1', provider: 'provider-a', connected: true }

function viewOf (members: string[], fenced: string[]): View {
  return { version: 1, members: members.map((instance) => ({ instance, address: '', dataCentre: '', leaving: false })), fenced }
}

interface WaitCase {
  title: string
  pages: Record<string, Partial<StatusPage>>
  exitCode: ExitCode
  line: string
}

const WAITS: WaitCase[] = [
  {
    title: 'all instances confirm',
    pages: { 'http://a': pageOf('entry-1#1', 2, { agents: [AGENT] }), 'http://b': pageOf('entry-2#1', 2) },
    exitCode: ExitCode.Done,
    line: 'version 2 is in force on 3 of 3 instances'
  },
  {
    title: 'an entry lags',
    pages: { 'http://a': pageOf('entry-1#1', 2), 'http://b': pageOf('entry-2#1', 1) },
    exitCode: ExitCode.WaitTimedOut,
    line: 'version 2 is in force on 1 of 2 instances; behind: entry-2#1 (version 1)'
  },
  {
    title: 'an agent lags',
    pages: { 'http://a': pageOf('entry-1#1', 2, { agents: [AGENT], configurationBehind: ['agent-1#1'] }) },
    exitCode: ExitCode.WaitTimedOut,
    line: 'version 2 is in force on 1 of 2 instances; behind: agent-1#1 (behind version 2)'
  },
  {
    title: 'an agent has the same version as a lagging entry',
    pages: { 'http://a': pageOf('entry-1#1', 1, { agents: [AGENT] }) },
    exitCode: ExitCode.WaitTimedOut,
    line: 'version 2 is in force on 0 of 2 instances; behind: entry-1#1 (version 1), agent-1#1 (version 1)'
  },
  {
    title: 'a disconnected agent does not count',
    pages: { 'http://a': pageOf('entry-1#1', 2, { agents: [{ ...AGENT, connected: false }] }) },
    exitCode: ExitCode.Done,
    line: 'version 2 is in force on 1 of 1 instance'
  },
  {
    title: 'another entry reports a later version of the agent',
    pages: {
      'http://a': pageOf('entry-1#1', 2, { agents: [AGENT], configurationBehind: ['agent-1#1'] }),
      'http://b': pageOf('entry-2#1', 2, { agents: [AGENT] })
    },
    exitCode: ExitCode.Done,
    line: 'version 2 is in force on 3 of 3 instances'
  },
  {
    title: 'many instances lag',
    pages: { 'http://a': pageOf('entry-1#1', 1, { agents: Array.from({ length: 6 }, (_, index) => ({ ...AGENT, instance: `agent-${index}#1` })) }) },
    exitCode: ExitCode.WaitTimedOut,
    line: 'version 2 is in force on 0 of 7 instances; behind: entry-1#1 (version 1), agent-0#1 (version 1), agent-1#1 (version 1), agent-2#1 (version 1), agent-3#1 (version 1) and 2 more'
  },
  {
    title: 'a member was not queried',
    pages: { 'http://a': pageOf('entry-1#1', 2, { view: viewOf(['entry-1#1', 'entry-3#1', 'entry-4#1'], ['entry-4#1']) }) },
    exitCode: ExitCode.WaitTimedOut,
    line: 'version 2 is in force on 1 of 2 instances; behind: entry-3#1 (not asked, name its status address)'
  }
]

for (const { title, pages, exitCode, line } of WAITS) {
  test(`wait: ${title}`, async (context) => {
    const { tool } = await start(context)
    for (const [url, page] of Object.entries(pages)) tool.pages[url] = () => page
    const outcome = await tool.apply(fileWith(1, 20), { wait: true, status: Object.keys(pages) })
    expect(outcome.exitCode).toEqual(exitCode)
    expect(linesOf(outcome)[0]).toEqual(line)
  })
}

test('a wait prints each change of the state', async (context) => {
  const { tool } = await start(context)
  let asked = 0
  tool.pages['http://a'] = () => pageOf('entry-1#1', ++asked < 3 ? 1 : 2)
  await tool.apply(fileWith(1, 20), { wait: true, status: ['http://a'] })
  expect(tool.progress).toEqual([
    'Version 2 is accepted (apply apply-2).',
    '  ~ service label-check: share of provider-a 60 % -> 20 %',
    '  ~ service label-check: share of provider-b 40 % -> 80 %',
    'version 2 is in force on 0 of 1 instance; behind: entry-1#1 (version 1)'
  ])
})

test('without addresses the published ones of the members are queried', async (context) => {
  const { tool } = await start(context)
  await tool.client.put('/test/view', JSON.stringify(viewOf(['entry-1#2', 'entry-2#1'], [])))
  await tool.client.put('/test/instances/entry-1', JSON.stringify({ instance: 'entry-1#2', status: 'http://a' }))
  await tool.client.put('/test/instances/entry-2', JSON.stringify({ instance: 'entry-2#0', status: 'http://old' }))
  tool.pages['http://a'] = () => pageOf('entry-1#2', 2)
  const outcome = await tool.apply(fileWith(1, 20), { wait: true })
  expect(linesOf(outcome)[0]).toEqual('version 2 is in force on 1 of 2 instances; behind: entry-2#1 (status address not known)')
})

const ENTRY_PAGE = pageOf('entry-1#1', 1, {
  dataCentre: 'gulf-1',
  view: { version: 3, members: [], fenced: [] },
  agents: [AGENT],
  configurationBehind: ['agent-1#1'],
  scheduler: { queued: 4, outstanding: 2, dispatched: { 'label-check': { 'provider-a': 30, 'provider-b': 10 } }, health: { 'agent-1': 0 } }
})

test('status shows versions, shares and problems', async (context) => {
  const { tool } = await start(context)
  tool.pages['http://a'] = () => ENTRY_PAGE
  const outcome = await tool.run('status', { status: ['http://a'] })
  expect(outcome.exitCode).toEqual(ExitCode.Done)
  expect(linesOf(outcome)).toEqual([
    'Configuration version 1, applied 2026-01-01T00:00:00.000Z (apply apply-1)',
    '',
    '1 entry',
    '  INSTANCE   DATA CENTRE  STATE    VIEW  CONFIGURATION  QUEUED  RUNNING  AGENTS',
    '  entry-1#1  gulf-1       serving     3              1       4        2       1',
    '',
    '1 agent',
    '  INSTANCE   TARGET   PROVIDER    CONNECTED  CONFIGURATION',
    '  agent-1#1  agent-1  provider-a  yes                    -',
    '',
    'Shares of the tasks dispatched since each entry started',
    '  SERVICE      PROVIDER    WANTED  RECEIVED  TASKS',
    '  label-check  provider-a    60 %    75.0 %     30',
    '  label-check  provider-b    40 %    25.0 %     10',
    '',
    'Look at',
    '  ! agent-1#1: behind version 1',
    '  ! provider provider-b: 0 of 1 expected targets are connected',
    '  ! entry-1#1 sends nothing to target agent-1, which fails too often'
  ])
})

test('status works during an outage of the store', async (context) => {
  const { store, tool } = await start(context)
  await store.setFaults({ outage: Outage.NoLeader })
  tool.pages['http://a'] = () => ENTRY_PAGE
  const outcome = await tool.run('status', { status: ['http://a'] })
  expect(outcome.exitCode).toEqual(ExitCode.StoreUnavailable)
  expect(linesOf(outcome)).toInclude('  entry-1#1  gulf-1       serving     3              1       4        2       1')
})

test('status lists drains and sorts entries', async (context) => {
  const { tool } = await start(context)
  await tool.run('drain', { kind: DrainKind.Rack, name: 'r1' })
  for (const [url, instance] of [['http://a', 'entry-2#1'], ['http://b', 'entry-1#1']] as const) tool.pages[url] = () => pageOf(instance, 2)
  const lines = linesOf(await tool.run('status', { status: ['http://a', 'http://b'] }))
  expect(lines.filter((line) => line.includes('entry-')).map((line) => line.trim().split(' ')[0])).toEqual(['entry-1#1', 'entry-2#1'])
  expect(lines.slice(lines.indexOf('Draining: these receive no new work'))[1]).toEqual('  rack r1')
})

test('status before the first apply explains how to start', async (context) => {
  const { tool } = await startTool(context)
  tool.pages['http://a'] = () => pageOf('entry-1#1', 0)
  expect(linesOf(await tool.run('status', { status: ['http://a'] }))).toInclude('  ! no configuration has been applied, so every job is refused: begin with amaranthmast get > FILE')
})

test('status fails if no daemon answers', async (context) => {
  const { tool } = await start(context)
  const outcome = await tool.run('status', { status: ['http://a'] })
  expect(outcome.exitCode).toEqual(ExitCode.NoStatus)
  expect(linesOf(outcome)).toInclude('  ! http://a: does not answer (ECONNREFUSED)')
})
