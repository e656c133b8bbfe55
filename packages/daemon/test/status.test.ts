/** The status port of both roles: the pages that monitoring, balancers and the command-line tool read. */
import type { StatusPage } from '@amaranthmast/cli/statuspage'
import { checkSettings } from '@amaranthmast/settings/settings'
import type { AgentSettings, EntrySettings } from '@amaranthmast/settings/settingstypes'
import { expect } from 'earl'
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { pino } from 'pino'
import { AgentDaemon } from '../src/agentdaemon.ts'
import { EntryDaemon } from '../src/entrydaemon.ts'
import type { Environment } from '../src/environment.ts'
import { StatusPort } from '../src/status.ts'

const pages = [
  { path: '/healthz', ready: true, status: 200, type: 'application/json', body: '{"state":"serving"}' },
  { path: '/healthz', ready: false, status: 200, type: 'application/json', body: '{"state":"joining"}' },
  { path: '/readyz', ready: true, status: 200, type: 'application/json', body: '{"state":"serving"}' },
  { path: '/readyz', ready: false, status: 503, type: 'application/json', body: '{"state":"joining"}' },
  { path: '/metrics', ready: false, status: 200, type: 'text/plain; version=0.0.4; charset=utf-8', body: 'a 1\n' },
  { path: '/status', ready: false, status: 200, type: 'application/json', body: '{"b":2}' },
  { path: '/other', ready: true, status: 404, type: 'text/plain', body: 'pages: /healthz /readyz /metrics /status\n' }
]

for (const { path, ready, status, type, body } of pages) {
  test(`${path} of a daemon that is ${ready ? 'serving' : 'joining'} is status ${status}`, async context => {
    const port = new StatusPort({ ready: () => ready, state: () => ready ? 'serving' : 'joining', metrics: () => 'a 1\n', status: () => ({ b: 2 }) })
    context.after(() => port.close())
    const reply = await fetch(`http://127.0.0.1:${(await port.listen('127.0.0.1', 0))._unsafeUnwrap()}${path}`)
    expect([reply.status, reply.headers.get('content-type'), await reply.text()]).toEqual([status, type, body])
  })
}

const scheduler = expect.subset({ queued: 0, outstanding: 0, dispatched: {}, health: {} })
const target = { target: 'daemon-1', provider: 'provider-a', services: ['label-check'], slots: 8, accelerators: 0, memoryMegabytes: 0, dataCentre: 'gulf-1', rack: 'r1' }
const common = { instance: 'daemon-1#1', state: 'joining', dataCentre: 'gulf-1', view: { version: 0, members: [], fenced: [] }, configurationVersion: 0 }

/** Fields of each role's status page that the command-line tool reads, in the types of the tool. */
const read: Record<string, Partial<StatusPage>> = {
  entry: { ...common, role: 'entry', configurationBehind: [], agents: [], scheduler: scheduler as unknown as StatusPage['scheduler'], classes: [] },
  agent: { ...common, role: 'agent', target, running: 0 }
}

for (const [role, page] of Object.entries(read)) {
  test(`the status page of an ${role} has the fields that the command-line tool reads`, async context => {
    expect(JSON.parse(await pageOf(context, role, '/status'))).toEqual(expect.subset(page))
  })
}

const families = {
  entry: [
    'amaranthmast_state', 'amaranthmast_size', 'amaranthmast_messages_total', 'process_cpu_seconds_total', 'process_resident_memory_bytes',
    'amaranthmast_jobs_total', 'amaranthmast_tasks_total', 'amaranthmast_task_wait_seconds', 'amaranthmast_task_run_seconds',
    'amaranthmast_job_seconds', 'amaranthmast_job_ideal_ratio'
  ],
  agent: ['amaranthmast_state', 'amaranthmast_size', 'amaranthmast_messages_total', 'process_cpu_seconds_total', 'process_resident_memory_bytes']
}

for (const [role, names] of Object.entries(families)) {
  test(`the metrics of an ${role} keep their names`, async context => {
    const text = await pageOf(context, role, '/metrics')
    expect([...text.matchAll(/^# TYPE (\S+)/gm)].map(([, name]) => name)).toEqual(names)
  })
}

/** Returns a page of a daemon that listens and has not reached the store yet. */
async function pageOf (context: TestContext, role: string, path: string): Promise<string> {
  const own = role === 'entry' ? { callers: { port: 0 }, peers: { port: 0, address: 'http://127.0.0.1:1' } } : { target: { url: 'http://127.0.0.1:1', provider: 'provider-a', services: ['label-check'] } }
  const settings = checkSettings({
    role, id: 'daemon-1', dataCentre: 'gulf-1', rack: 'r1', store: { endpoints: ['http://127.0.0.1:1'] }, status: { port: 0 }, ...own
  })._unsafeUnwrap()
  const environment: Environment = { instance: 'daemon-1#1', log: pino({ level: 'silent' }), now: () => 0, wallClock: () => 0, random: () => 0.5 }
  const daemon = settings.role === 'entry' ? new EntryDaemon(settings as EntrySettings, environment) : new AgentDaemon(settings as AgentSettings, environment)
  const port = (await daemon.listen())._unsafeUnwrap()
  context.after(() => daemon.close())
  return await (await fetch(`http://127.0.0.1:${port}${path}`)).text()
}
