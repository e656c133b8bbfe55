/** Converts answers to HTTP responses for callers: status code, headers and body. */
import type { Answer, JobKey } from '@amaranthmast/coordination/messages'
import { AnswerKind, Cause, JobState } from '@amaranthmast/coordination/messages'

/** An HTTP response, ready to be written. */
export interface CallerResponse {
  status: number
  headers: Record<string, string | number>
  body: Uint8Array
}

/** Names of the answer kinds in response bodies. */
export const KIND_NAMES: Record<AnswerKind, string> = {
  [AnswerKind.Unspecified]: 'mayHaveRun',
  [AnswerKind.Complete]: 'complete',
  [AnswerKind.Failed]: 'failed',
  [AnswerKind.MayHaveRun]: 'mayHaveRun',
  [AnswerKind.Refused]: 'refused'
}

/** Names of the causes in response bodies. */
export const CAUSE_NAMES: Record<Cause, string> = {
  [Cause.None]: 'none',
  [Cause.TaskFailed]: 'taskFailed',
  [Cause.AgentLost]: 'agentLost',
  [Cause.EntryLost]: 'entryLost',
  [Cause.DeadlinePassed]: 'deadlinePassed',
  [Cause.Cancelled]: 'cancelled',
  [Cause.Overloaded]: 'overloaded',
  [Cause.QuotaExceeded]: 'quotaExceeded',
  [Cause.NeverRunnable]: 'neverRunnable',
  [Cause.UnknownService]: 'unknownService',
  [Cause.UnknownTenant]: 'unknownTenant',
  [Cause.IdReused]: 'idReused',
  [Cause.BeforeHorizon]: 'beforeHorizon',
  [Cause.NotReady]: 'notReady',
  [Cause.ResultsExpired]: 'resultsExpired',
  [Cause.OwnerUnreachable]: 'ownerUnreachable',
  [Cause.Malformed]: 'malformed',
  [Cause.TooLarge]: 'tooLarge'
}

const STATE_NAMES: Record<JobState, string> = {
  [JobState.Unknown]: 'unknown',
  [JobState.Queued]: 'queued',
  [JobState.Running]: 'running',
  [JobState.Answered]: 'answered'
}

const STATUS_OF_KIND: Record<AnswerKind, number> = {
  [AnswerKind.Unspecified]: 504,
  [AnswerKind.Complete]: 200,
  [AnswerKind.Failed]: 502,
  [AnswerKind.MayHaveRun]: 504,
  [AnswerKind.Refused]: 503
}

/** Status codes of refusals by cause. All other refusals are 503, which callers may retry. */
const STATUS_OF_REFUSAL: Partial<Record<Cause, number>> = {
  [Cause.Malformed]: 400,
  [Cause.UnknownService]: 404,
  [Cause.UnknownTenant]: 404,
  [Cause.IdReused]: 409,
  [Cause.Cancelled]: 409,
  [Cause.TooLarge]: 413,
  [Cause.NeverRunnable]: 422,
  [Cause.QuotaExceeded]: 429
}

const MILLISECONDS_PER_SECOND = 1000
const COMMA = Buffer.from(',')

/** Builds the response to a submission or a cancellation. */
export function answerResponse (job: JobKey | undefined, answer: Answer): CallerResponse {
  const headers: CallerResponse['headers'] = {}
  if (answer.retryAfterMilliseconds > 0) {
    headers['retry-after'] = Math.ceil(answer.retryAfterMilliseconds / MILLISECONDS_PER_SECOND)
  }
  return response(statusOf(answer), answerBody(job, answer), headers)
}

/** Builds the response to a look-up; it contains the answer if the job has one. */
export function lookUpResponse (job: JobKey, state: JobState, answer: Answer | undefined): CallerResponse {
  const opening = `{"state":"${STATE_NAMES[state]}"`
  if (answer === undefined) return response(200, Buffer.from(`${opening}}`), {})
  return response(200, Buffer.concat([Buffer.from(`${opening},"answer":`), answerBody(job, answer), Buffer.from('}')]), {})
}

/** Builds a refusal that this entry gives before the request reaches the decision logic. */
export function refusal (cause: Cause, detail: string, retryAfterMilliseconds = 0): Answer {
  return { kind: AnswerKind.Refused, cause, detail, results: [], retryAfterMilliseconds }
}

/** Builds a response with a JSON body. */
export function response (status: number, body: Uint8Array, headers: CallerResponse['headers']): CallerResponse {
  return { status, headers: { ...headers, 'content-type': 'application/json', 'content-length': body.length }, body }
}

function statusOf ({ kind, cause }: Answer): number {
  if (kind === AnswerKind.Failed && cause === Cause.ResultsExpired) return 410
  if (kind === AnswerKind.Refused) return STATUS_OF_REFUSAL[cause] ?? STATUS_OF_KIND[kind]
  return STATUS_OF_KIND[kind]
}

function answerBody (job: JobKey | undefined, answer: Answer): Uint8Array {
  const head = { kind: KIND_NAMES[answer.kind], ...(job === undefined ? {} : { job: callersId(job) }) }
  if (answer.kind === AnswerKind.Complete) return completeBody(JSON.stringify(head), answer.results)
  return Buffer.from(JSON.stringify({
    ...head,
    cause: CAUSE_NAMES[answer.cause],
    detail: answer.detail,
    ...(answer.retryAfterMilliseconds > 0 ? { retryAfterMilliseconds: answer.retryAfterMilliseconds } : {})
  }))
}

/** The results are JSON already and are copied as the targets returned them. */
function completeBody (head: string, results: readonly Uint8Array[]): Uint8Array {
  const parts: Uint8Array[] = [Buffer.from(`${head.slice(0, -1)},"results":[`)]
  results.forEach((result, index) => {
    if (index > 0) parts.push(COMMA)
    parts.push(result)
  })
  parts.push(Buffer.from(']}'))
  return Buffer.concat(parts)
}

function callersId (job: JobKey): string {
  return job.slice(job.indexOf('/') + 1)
}
