import type { TestContext } from 'node:test'
import { test } from 'node:test'

import { expect } from 'earl'

import type { TargetRecords } from '@amaranthmast/standins/records'
import { StartOutcome } from '@amaranthmast/standins/records'
import type { TargetFaults, TargetOptions } from '@amaranthmast/standins/target'
import { TargetStandIn } from '@amaranthmast/standins/target'
import { waitFor } from '@amaranthmast/standins/wait'

async function newTarget (context: TestContext, options: Partial<TargetOptions> = {}): Promise<[TargetStandIn, string]> {
  const target = new TargetStandIn({ id: 't1', ...options })
  const url = `http://127.0.0.1:${await target.listen()}`
  context.after(() => target.close())
  return [target, url]
}

function run (url: string, task: number, payload: object = {}, signal?: AbortSignal): Promise<Response> {
  return fetch(`${url}/run`, {
    method: 'POST',
    headers: {
      'x-amaranthmast-tenant': 'magnolia',
      'x-amaranthmast-service': 'label-check',
      'x-amaranthmast-job': 'j1',
      'x-amaranthmast-task': String(task)
    },
    body: JSON.stringify(payload),
    signal
  })
}

test('a target answers with a result that names its task and records the start', async context => {
  const [, url] = await newTarget(context)
  const response = await run(url, 4, { runMilliseconds: 5 })
  const records = await (await fetch(`${url}/records`)).json() as TargetRecords
  expect([response.status, await response.json()]).toEqual([200, { tenant: 'magnolia', job: 'j1', task: 4, target: 't1' }])
  expect(records.records).toEqual([{
    target: 't1',
    tenant: 'magnolia',
    service: 'label-check',
    job: 'j1',
    task: 4,
    outcome: StartOutcome.Finished,
    startedAt: expect.a(Number),
    finishedAt: expect.a(Number)
  }])
})

test('a target records every start of the same task', async context => {
  const [target, url] = await newTarget(context)
  await run(url, 0)
  await run(url, 0)
  expect(target.records().records.length).toEqual(2)
})

test('a target runs no more tasks than it has slots and counts the requests beyond', async context => {
  const [target, url] = await newTarget(context, { slots: 2 })
  target.setFaults({ hang: true })
  const answers = [0, 1, 2, 3, 4].map(task => run(url, task))
  await waitFor('all requests to arrive', 5000, 5, () => target.records().askedAboveSlots === 3)
  expect([target.records().running, target.records().records.length]).toEqual([2, 2])
  target.setFaults({})
  await Promise.all(answers)
  expect([target.records().running, target.records().records.length]).toEqual([0, 5])
})

const FAULTS: ReadonlyArray<{ name: string, faults: Partial<TargetFaults>, payload: object, status: number, outcomes: StartOutcome[] }> = [
  { name: 'no fault', faults: {}, payload: {}, status: 200, outcomes: [StartOutcome.Finished] },
  { name: 'fail all', faults: { failAll: true }, payload: {}, status: 500, outcomes: [StartOutcome.Failed] },
  { name: 'a payload that makes the task fail', faults: {}, payload: { fail: true }, status: 500, outcomes: [StartOutcome.Failed] },
  { name: 'a fail rate of one', faults: { failRate: 1 }, payload: {}, status: 500, outcomes: [StartOutcome.Failed] },
  { name: 'a fail rate of zero', faults: { failRate: 0 }, payload: {}, status: 200, outcomes: [StartOutcome.Finished] },
  { name: 'refuse', faults: { refuse: true }, payload: {}, status: 503, outcomes: [] }
]

for (const { name, faults, payload, status, outcomes } of FAULTS) {
  test(`a target with ${name} answers ${status}`, async context => {
    const [target, url] = await newTarget(context)
    await fetch(`${url}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
    const response = await run(url, 0, payload)
    expect(response.status).toEqual(status)
    expect(target.records().records.map(record => record.outcome)).toEqual(outcomes)
  })
}

test('a fail rate makes the same tasks fail for the same seed', async context => {
  const [target, url] = await newTarget(context)
  const statuses: number[][] = [[], []]
  for (const round of statuses) {
    target.setFaults({ failRate: 0.5, seed: 7 })
    for (let task = 0; task < 20; task++) round.push((await run(url, task)).status)
  }
  expect(statuses[0]).toEqual(statuses[1] ?? [])
  expect(new Set(statuses[0])).toEqual(new Set([200, 500]))
})

test('a slow target multiplies run times by its factor', async context => {
  const [target, url] = await newTarget(context)
  target.setFaults({ slowFactor: 20 })
  await run(url, 0, { runMilliseconds: 5 })
  const [record] = target.records().records
  expect((record?.finishedAt ?? 0) - (record?.startedAt ?? 0) >= 99).toEqual(true)
})

const DISCONNECTS = [
  { faults: {}, outcome: StartOutcome.Finished },
  { faults: { abortOnDisconnect: true }, outcome: StartOutcome.Aborted }
]

for (const { faults, outcome } of DISCONNECTS) {
  test(`a run whose requester disconnects is ${outcome} with ${JSON.stringify(faults)}`, async context => {
    const [target, url] = await newTarget(context)
    target.setFaults(faults)
    const controller = new AbortController()
    const answer = run(url, 0, { runMilliseconds: 150 }, controller.signal).catch((error: Error) => error.name)
    await waitFor('the start', 5000, 5, () => target.records().running === 1)
    controller.abort()
    expect(await answer).toEqual('AbortError')
    await waitFor('the end of the run', 5000, 5, () => target.records().running === 0)
    expect(target.records().records[0]?.outcome).toEqual(outcome)
  })
}

test('a target counts starts beyond its record limit as dropped', async context => {
  const [target, url] = await newTarget(context, { recordLimit: 1 })
  await run(url, 0)
  await run(url, 1)
  expect([target.records().records.length, target.records().dropped]).toEqual([1, 1])
})
