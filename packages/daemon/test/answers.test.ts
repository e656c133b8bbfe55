/** HTTP responses for each kind of answer. */
import type { Answer } from '@amaranthmast/coordination/messages'
import { AnswerKind, Cause, JobState } from '@amaranthmast/coordination/messages'
import { expect } from 'earl'
import { test } from 'node:test'
import { answerResponse, lookUpResponse } from '../src/answers.ts'

const answers = [
  { kind: AnswerKind.Complete, cause: Cause.None, status: 200, name: 'complete', reason: undefined },
  { kind: AnswerKind.Failed, cause: Cause.TaskFailed, status: 502, name: 'failed', reason: 'taskFailed' },
  { kind: AnswerKind.Failed, cause: Cause.ResultsExpired, status: 410, name: 'failed', reason: 'resultsExpired' },
  { kind: AnswerKind.MayHaveRun, cause: Cause.AgentLost, status: 504, name: 'mayHaveRun', reason: 'agentLost' },
  { kind: AnswerKind.MayHaveRun, cause: Cause.EntryLost, status: 504, name: 'mayHaveRun', reason: 'entryLost' },
  { kind: AnswerKind.MayHaveRun, cause: Cause.BeforeHorizon, status: 504, name: 'mayHaveRun', reason: 'beforeHorizon' },
  { kind: AnswerKind.MayHaveRun, cause: Cause.DeadlinePassed, status: 504, name: 'mayHaveRun', reason: 'deadlinePassed' },
  { kind: AnswerKind.Unspecified, cause: Cause.None, status: 504, name: 'mayHaveRun', reason: 'none' },
  { kind: AnswerKind.Refused, cause: Cause.Malformed, status: 400, name: 'refused', reason: 'malformed' },
  { kind: AnswerKind.Refused, cause: Cause.UnknownService, status: 404, name: 'refused', reason: 'unknownService' },
  { kind: AnswerKind.Refused, cause: Cause.UnknownTenant, status: 404, name: 'refused', reason: 'unknownTenant' },
  { kind: AnswerKind.Refused, cause: Cause.IdReused, status: 409, name: 'refused', reason: 'idReused' },
  { kind: AnswerKind.Refused, cause: Cause.Cancelled, status: 409, name: 'refused', reason: 'cancelled' },
  { kind: AnswerKind.Refused, cause: Cause.TooLarge, status: 413, name: 'refused', reason: 'tooLarge' },
  { kind: AnswerKind.Refused, cause: Cause.NeverRunnable, status: 422, name: 'refused', reason: 'neverRunnable' },
  { kind: AnswerKind.Refused, cause: Cause.QuotaExceeded, status: 429, name: 'refused', reason: 'quotaExceeded' },
  { kind: AnswerKind.Refused, cause: Cause.Overloaded, status: 503, name: 'refused', reason: 'overloaded' },
  { kind: AnswerKind.Refused, cause: Cause.NotReady, status: 503, name: 'refused', reason: 'notReady' },
  { kind: AnswerKind.Refused, cause: Cause.OwnerUnreachable, status: 503, name: 'refused', reason: 'ownerUnreachable' },
  { kind: AnswerKind.Refused, cause: Cause.DeadlinePassed, status: 503, name: 'refused', reason: 'deadlinePassed' }
]

for (const { kind, cause, status, name, reason } of answers) {
  test(`${AnswerKind[kind]} by ${Cause[cause]} is status ${status}`, () => {
    const response = answerResponse('magnolia/j1', answerOf({ kind, cause }))
    const body = JSON.parse(Buffer.from(response.body).toString())
    expect(response.status).toEqual(status)
    expect([body.kind, body.job, body.cause]).toEqual([name, 'j1', reason])
  })
}

const retries = [
  { milliseconds: 0, seconds: undefined },
  { milliseconds: 1, seconds: 1 },
  { milliseconds: 1000, seconds: 1 },
  { milliseconds: 1001, seconds: 2 }
]

for (const { milliseconds, seconds } of retries) {
  test(`a retry after ${milliseconds} ms is ${seconds} s in the header`, () => {
    const response = answerResponse('magnolia/j1', answerOf({ retryAfterMilliseconds: milliseconds }))
    expect(response.headers['retry-after']).toEqual(seconds)
  })
}

test('results are sent in task order, as the targets returned them', () => {
  const results = ['{"a": 1}', 'null', '[2]'].map(text => Buffer.from(text))
  const response = answerResponse('magnolia/j1', answerOf({ kind: AnswerKind.Complete, cause: Cause.None, results }))
  expect(Buffer.from(response.body).toString()).toEqual('{"kind":"complete","job":"j1","results":[{"a": 1},null,[2]]}')
})

test('the content length is the length of the body in bytes', () => {
  const response = answerResponse('magnolia/j1', answerOf({ detail: 'größer als erlaubt' }))
  expect(response.headers['content-length']).toEqual(response.body.length)
})

test('the response to a look-up of an answered job contains the answer', () => {
  const response = lookUpResponse('magnolia/j1', JobState.Answered, answerOf({ kind: AnswerKind.Complete, cause: Cause.None, results: [Buffer.from('1')] }))
  expect(JSON.parse(Buffer.from(response.body).toString())).toEqual({ state: 'answered', answer: { kind: 'complete', job: 'j1', results: [1] } })
})

const states = [
  { state: JobState.Unknown, text: '{"state":"unknown"}' },
  { state: JobState.Queued, text: '{"state":"queued"}' },
  { state: JobState.Running, text: '{"state":"running"}' }
]

for (const { state, text } of states) {
  test(`a look-up returns the state ${JobState[state]}`, () => {
    const response = lookUpResponse('magnolia/j1', state, undefined)
    expect([response.status, Buffer.from(response.body).toString()]).toEqual([200, text])
  })
}

function answerOf (parts: Partial<Answer>): Answer {
  return { kind: AnswerKind.Refused, cause: Cause.Overloaded, detail: '', results: [], retryAfterMilliseconds: 0, ...parts }
}
