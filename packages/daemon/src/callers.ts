/** The callers' interface: HTTP/1.1 and JSON. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { Answer, JobKey, JobState } from '@amaranthmast/coordination/messages'
import { AnswerKind, Cause } from '@amaranthmast/coordination/messages'
import type { ResultAsync } from 'neverthrow'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { CallerResponse } from './answers.ts'
import { answerResponse, lookUpResponse, refusal } from './answers.ts'
import { BodyFault, readBody } from './body.ts'
import { BODY_LIMIT, CALLER_CONNECTIONS, ID_PATTERN, KEEP_ALIVE_MILLISECONDS, REQUEST_TIMEOUT_MILLISECONDS } from './defaults.ts'
import type { HealthCheck } from './health.ts'
import { respondToHealth } from './health.ts'
import { jobKey, parseJob } from './jobs.ts'
import type { ListenError } from './listen.ts'
import { listen } from './listen.ts'

/** One waiting caller. */
interface Waiting {
  response: ServerResponse
  job: JobKey
}

type JobHandler = (request: IncomingMessage, response: ServerResponse, job: JobKey) => void

const JOBS_PATH = '/v1/jobs'

const CUT_SHORT: Answer = {
  kind: AnswerKind.MayHaveRun,
  cause: Cause.NotReady,
  detail: 'this entry stopped before the answer was there: look the job up, or send it again under the same job id',
  results: [],
  retryAfterMilliseconds: 0
}

export class Callers {
  readonly #server: Server
  readonly #post: (event: EntryEvent) => void
  readonly #health: HealthCheck
  readonly #waiting = new Map<string, Waiting>()
  #requests = 0
  #stopping = false
  #closed = false

  readonly #jobHandlers: Record<string, JobHandler> = {
    GET: (_request, response, job) => this.#lookUp(response, job),
    DELETE: (_request, response, job) => this.#cancel(response, job)
  }

  /** @param post takes the events of all callers */
  constructor (post: (event: EntryEvent) => void, health: HealthCheck) {
    this.#post = post
    this.#health = health
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      noDelay: true
    }, (request, response) => this.#route(request, response))
    this.#server.maxConnections = CALLER_CONNECTIONS
  }

  /** Port that it listens on. */
  listen (host: string, port: number): ResultAsync<number, ListenError> {
    return listen(this.#server, host, port)
  }

  /** Callers that wait for an answer. */
  get size (): number {
    return this.#waiting.size
  }

  /** Answers a submission or a cancellation; nothing happens when the caller has gone. */
  answer (request: string, answer: Answer): void {
    const waiting = this.#take(request)
    if (waiting !== undefined) this.#respond(waiting.response, answerResponse(waiting.job, answer))
  }

  /** Answers a look-up; nothing happens when the caller has gone. */
  lookedUp (request: string, state: JobState, answer: Answer | undefined): void {
    const waiting = this.#take(request)
    if (waiting !== undefined) this.#respond(waiting.response, lookUpResponse(waiting.job, state, answer))
  }

  /** From now on each response asks its caller to connect anew, which the balancer sends elsewhere. */
  drain (): void {
    this.#stopping = true
    this.#server.closeIdleConnections()
  }

  /**
   * Stops listening; settles when every response has been written. The decision logic answers
   * nothing any more: a request that still arrives is broken off, and one whose answer it did not
   * give may have run.
   */
  async close (): Promise<void> {
    this.drain()
    this.#closed = true
    for (const request of [...this.#waiting.keys()]) this.answer(request, CUT_SHORT)
    await new Promise<void>(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeIdleConnections()
    })
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const path = pathOf(request)
    // The logic has ended and knows nothing of the job, which an earlier submission may have brought to
    // another entry: "not run" could be false. A broken connection says nothing, and the caller comes back.
    if (this.#closed && path.startsWith(JOBS_PATH)) {
      response.destroy()
      return
    }
    if (path === JOBS_PATH) return this.#submitRoute(request, response)
    if (path.startsWith(`${JOBS_PATH}/`)) return this.#jobRoute(request, response, path.slice(JOBS_PATH.length + 1))
    if (respondToHealth(path, this.#health, response)) return
    this.#refuse(response, 404, Cause.Malformed, `there is no ${path}: submit jobs with POST ${JOBS_PATH}`)
  }

  #submitRoute (request: IncomingMessage, response: ServerResponse): void {
    if (request.method === 'POST') {
      this.#submit(request, response)
      return
    }
    this.#refuse(response, 405, Cause.Malformed, `submit jobs with POST ${JOBS_PATH}`, { allow: 'POST' })
  }

  #jobRoute (request: IncomingMessage, response: ServerResponse, rest: string): void {
    const job = readJobPath(rest)
    if (job === undefined) {
      this.#refuse(response, 400, Cause.Malformed, `name a job as ${JOBS_PATH}/{tenant}/{job}`)
      return
    }
    const handler = this.#jobHandlers[request.method ?? '']
    if (handler === undefined) {
      this.#refuse(response, 405, Cause.Malformed, 'look a job up with GET or cancel it with DELETE', { allow: 'GET, DELETE' })
      return
    }
    handler(request, response, job)
  }

  async #submit (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (body === BodyFault.Broken) return
    if (body === BodyFault.TooLarge) {
      this.#refuse(response, 413, Cause.TooLarge, `a job has at most ${BODY_LIMIT} bytes: split it`)
      return
    }
    const job = parseJob(body)
    if (job.isErr()) {
      this.#respond(response, answerResponse(undefined, refusal(job.error.code, job.error.message)))
      return
    }
    this.#post({ type: 'submitted', request: this.#wait(response, job.value.key), job: job.value })
  }

  #lookUp (response: ServerResponse, job: JobKey): void {
    this.#post({ type: 'lookUpRequested', request: this.#wait(response, job), job })
  }

  #cancel (response: ServerResponse, job: JobKey): void {
    this.#post({ type: 'cancelRequested', request: this.#wait(response, job), job })
  }

  /** Registers a waiting caller; when it goes away before its answer, the logic is told. */
  #wait (response: ServerResponse, job: JobKey): string {
    this.#requests += 1
    const request = String(this.#requests)
    this.#waiting.set(request, { response, job })
    response.on('close', () => {
      if (this.#take(request) !== undefined) this.#post({ type: 'callerGone', request })
    })
    return request
  }

  #take (request: string): Waiting | undefined {
    const waiting = this.#waiting.get(request)
    this.#waiting.delete(request)
    return waiting
  }

  #refuse (response: ServerResponse, status: number, cause: Cause, detail: string, headers: Record<string, string> = {}): void {
    const refused = answerResponse(undefined, refusal(cause, detail))
    this.#respond(response, { ...refused, status, headers: { ...refused.headers, ...headers } })
  }

  #respond (response: ServerResponse, { status, headers, body }: CallerResponse): void {
    if (this.#stopping) response.setHeader('connection', 'close')
    response.writeHead(status, headers)
    response.end(body)
  }
}

function pathOf (request: IncomingMessage): string {
  const url = request.url ?? '/'
  const query = url.indexOf('?')
  return query === -1 ? url : url.slice(0, query)
}

function readJobPath (rest: string): JobKey | undefined {
  const [tenant, job, ...more] = rest.split('/').map(decodePart)
  if (tenant === undefined || job === undefined || more.length > 0) return undefined
  if (!ID_PATTERN.test(tenant) || !ID_PATTERN.test(job)) return undefined
  return jobKey(tenant, job)
}

/** Undefined when the part is not valid percent-encoding. */
function decodePart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}
