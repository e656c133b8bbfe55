import type { TestContext } from 'node:test'
import { test } from 'node:test'

import { expect } from 'earl'

import { audit } from '@amaranthmast/standins/audit'
import type { CallerOptions } from '@amaranthmast/standins/caller'
import { Caller } from '@amaranthmast/standins/caller'
import { sendJson } from '@amaranthmast/standins/httpserver'
import { planLoad, runLoad } from '@amaranthmast/standins/load'
import type { JobSubmission } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'
import { TargetStandIn } from '@amaranthmast/standins/target'

import type { Script } from './fakeentry.ts'
import { FakeEntry } from './fakeentry.ts'

const JOB: JobSubmission = {
  job: 'j1',
  tenant: 'magnolia',
  service: 'label-check',
  repeatable: false,
  deadlineMilliseconds: 5000,
  lodgedAt: 1796236112000,
  tasks: [{ payload: { runMilliseconds: 1 } }]
}

const answerComplete: Script = (_request, response, job) => {
  sendJson(response, 200, { kind: AnswerKind.Complete, job: job.job, results: [{}] })
  return true
}

const breakConnection: Script = request => {
  request.socket.resetAndDestroy()
  return true
}

const neverAnswer: Script = () => true

const answerInvalidJson: Script = (_request, response) => {
  response.writeHead(500, { 'content-type': 'text/plain' })
  response.end('oops')
  return true
}

const answerWithoutKind: Script = (_request, response) => {
  sendJson(response, 500, { error: 'oops' })
  return true
}

async function newEntry (context: TestContext, script: Script, target = ''): Promise<FakeEntry> {
  const entry = new FakeEntry(target, script)
  await entry.listen()
  context.after(() => entry.close())
  return entry
}

async function newCaller (context: TestContext, options: CallerOptions): Promise<Caller> {
  const caller = new Caller({ giveUp: 5000, ...options })
  await caller.start()
  context.after(() => caller.close())
  return caller
}

const LOSSES: ReadonlyArray<{ name: string, script: Script }> = [
  { name: 'the connection is reset', script: breakConnection },
  { name: 'no answer comes in time', script: neverAnswer },
  { name: 'the answer is not JSON', script: answerInvalidJson },
  { name: 'the answer has no kind', script: answerWithoutKind }
]

for (const { name, script } of LOSSES) {
  test(`a caller submits the same job through another entry when ${name}`, async context => {
    const bad = await newEntry(context, script)
    const good = await newEntry(context, answerComplete)
    const caller = await newCaller(context, { entries: [bad.url, good.url], submissionTimeout: 100 })
    const record = await caller.submit(JOB)
    expect(record.attempts.map(attempt => attempt.entry)).toEqual([bad.url, good.url])
    expect(good.bodies).toEqual(bad.bodies)
    expect(good.bodies).toEqual([JSON.stringify(JOB)])
    expect(record.final?.kind).toEqual(AnswerKind.Complete)
  })
}

test('a caller does not resubmit a job through the same entry even when that entry is next in rotation', async context => {
  const bad = await newEntry(context, breakConnection)
  const good = await newEntry(context, answerComplete)
  const caller = await newCaller(context, { entries: [bad.url, good.url] })
  const [first] = await Promise.all([caller.submit(JOB), caller.submit({ ...JOB, job: 'j2' })])
  expect(first?.attempts.map(attempt => attempt.entry)).toEqual([bad.url, good.url])
})

test('a caller skips an entry that refuses the connection', async context => {
  const gone = await newEntry(context, answerComplete)
  const good = await newEntry(context, answerComplete)
  const caller = await newCaller(context, { entries: [gone.url, good.url] })
  await gone.close()
  const first = await caller.submit(JOB)
  const second = await caller.submit({ ...JOB, job: 'j2' })
  expect(first.attempts.map(attempt => attempt.entry)).toEqual([gone.url, good.url])
  expect(second.attempts.map(attempt => attempt.entry)).toEqual([good.url])
  expect(caller.readyEntries()).toEqual([good.url])
})

test('a caller retries after the time that a refusal states', async context => {
  let refusals = 0
  const entry = await newEntry(context, (request, response, job) => {
    if (refusals++ > 0) return answerComplete(request, response, job)
    sendJson(response, 503, { kind: AnswerKind.Refused, job: job.job, cause: 'overloaded', retryAfterMilliseconds: 120 })
    return true
  })
  const caller = await newCaller(context, { entries: [entry.url] })
  const record = await caller.submit(JOB)
  const [refused, completed] = record.attempts
  expect([refused?.answer?.kind, completed?.answer?.kind]).toEqual([AnswerKind.Refused, AnswerKind.Complete])
  expect((completed?.submittedAt ?? 0) - (refused?.endedAt ?? 0) >= 119).toEqual(true)
  expect(record.final?.kind).toEqual(AnswerKind.Complete)
})

test('a caller takes the retry time from the header when the body has none', async context => {
  const entry = await newEntry(context, (_request, response, job) => {
    response.setHeader('retry-after', '1')
    sendJson(response, 503, { kind: AnswerKind.Refused, job: job.job })
    return true
  })
  const caller = await newCaller(context, { entries: [entry.url], maxRefusals: 1 })
  expect((await caller.submit(JOB)).final?.retryAfterMilliseconds).toEqual(1000)
})

test('a caller treats a refusal as final after its maximum number of refusals', async context => {
  const entry = await newEntry(context, (_request, response, job) => {
    sendJson(response, 503, { kind: AnswerKind.Refused, job: job.job, retryAfterMilliseconds: 1 })
    return true
  })
  const caller = await newCaller(context, { entries: [entry.url], maxRefusals: 3 })
  const record = await caller.submit(JOB)
  expect(record.attempts.length).toEqual(3)
  expect(record.final?.kind).toEqual(AnswerKind.Refused)
})

test('a caller treats a refusal without a retry time as final', async context => {
  const entry = await newEntry(context, (_request, response, job) => {
    sendJson(response, 404, { kind: AnswerKind.Refused, job: job.job, cause: 'unknownService' })
    return true
  })
  const caller = await newCaller(context, { entries: [entry.url] })
  expect((await caller.submit(JOB)).attempts.length).toEqual(1)
})

test('a caller abandons a job that is never answered', async context => {
  const entry = await newEntry(context, breakConnection)
  const caller = await newCaller(context, { entries: [entry.url], giveUp: 300 })
  const record = await caller.submit(JOB)
  expect(record.final).toEqual(undefined)
  expect(audit([record], []).counts.lost).toEqual(1)
})

test('the audit of a load through one entry and one target is clean', async context => {
  const target = new TargetStandIn({ id: 't1', slots: 64 })
  const targetUrl = `http://127.0.0.1:${await target.listen()}`
  context.after(() => target.close())
  const entry = await newEntry(context, () => false, targetUrl)
  const caller = await newCaller(context, { entries: [entry.url] })
  await runLoad(planLoad({ seed: 3, rate: 60, seconds: 0.5, scale: 0.01 }), caller)
  const report = audit(caller.records(), [target.records()])
  expect(report.faults).toEqual([])
  expect(report.counts).toEqual({ jobs: 30, complete: 30, failed: 0, refused: 0, mayHaveRun: 0, lost: 0, doubled: 0, refusedButRan: 0 })
})

test('the audit finds a duplicate start when entries do not detect resubmitted jobs', async context => {
  // A caller gets no answer in time and submits its job again through another entry. Both entries
  // run it, because neither checks for duplicates. The caller's answer is correct, and only the
  // records of the target show the second start.
  const target = new TargetStandIn({ id: 't1' })
  const targetUrl = `http://127.0.0.1:${await target.listen()}`
  context.after(() => target.close())
  const first = await newEntry(context, () => false, targetUrl)
  const second = await newEntry(context, () => false, targetUrl)
  const caller = await newCaller(context, { entries: [first.url, second.url], submissionTimeout: 400 })
  target.setFaults({ hang: true })
  const submitted = caller.submit(JOB)
  while (first.bodies.length + second.bodies.length < 2) await new Promise(resolve => { setTimeout(resolve, 5) })
  target.setFaults({})
  await submitted
  expect(audit(caller.records(), [target.records()]).counts.doubled).toEqual(1)
})
