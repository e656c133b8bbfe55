/** The HTTP/1.1 and JSON interface for callers. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { Answer, JobKey, JobState } from '@amaranthmast/coordination/messages'
import { AnswerKind, Cause } from '@amaranthmast/coordination/messages'
import type { ResultAsync } from 'neverthrow'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { CallerResponse } from './answers.ts'
import { answerResponse, lookUpResponse, refusal } from './answers.ts'
import { BodyFault, readBody } from './body.ts'
import { MAX_BODY_BYTES, MAX_CALLER_CONNECTIONS, ID_PATTERN, KEEP_ALIVE_MILLISECONDS, REQUEST_TIMEOUT_MILLISECONDS } from './defaults.ts'
import type { HealthCheck } from './health.ts'
import { respondToHealth } from './health.ts'
import { jobKey, parseJob } from './jobs.ts'
import type { ListenError } from './listen.ts'
import { listen } from './listen.ts'

/** A request whose caller waits for an answer. */
interface PendingRequest {
  response: ServerResponse
  job: JobKey
}

type JobHandler = (request: IncomingMessage, response: ServerResponse, job: JobKey) => void

const JOBS_PATH = '/v1/jobs'

const STOPPED_BEFORE_ANSWER: Answer = {
  kind: AnswerKind.MayHaveRun,
  cause: Cause.NotReady,
  detail: 'this entry stopped before the answer was there: look the job up, or send it again under the same job id',
  results: [],
  retryAfterMilliseconds: 0
}

/** Listens for callers, posts their requests as events and writes the answers. */
export class Callers {
  readonly #server: Server
  readonly #post: (event: EntryEvent) => void
  readonly #health: HealthCheck
  readonly #pending = new Map<string, PendingRequest>()
  #requests = 0
  #stopping = false
  #closed = false

  readonly #jobHandlers: Record<string, JobHandler> = {
    GET: (_request, response, job) => this.#lookUp(response, job),
    DELETE: (_request, response, job) => this.#cancel(response, job)
  }

  /** @param post receives the events of all callers */
  constructor (post: (event: EntryEvent) => void, health: HealthCheck) {
    this.#post = post
    this.#health = health
    this.#server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      noDelay: true
    }, (request, response) => this.#route(request, response))
    this.#server.maxConnections = MAX_CALLER_CONNECTIONS
  }

  /** Starts to listen and returns the port. */
  listen (host: string, port: number): ResultAsync<number, ListenError> {
    return listen(this.#server, host, port)
  }

  /** Number of callers that wait for an answer. */
  get size (): number {
    return this.#pending.size
  }

  /** Answers a submission or a cancellation; does nothing when the caller has disconnected. */
  answer (request: string, answer: Answer): void {
    const waiting = this.#take(request)
    if (waiting !== undefined) this.#respond(waiting.response, answerResponse(waiting.job, answer))
  }

  /** Answers a look-up; does nothing when the caller has disconnected. */
  lookedUp (request: string, state: JobState, answer: Answer | undefined): void {
    const waiting = this.#take(request)
    if (waiting !== undefined) this.#respond(waiting.response, lookUpResponse(waiting.job, state, answer))
  }

  /** Closes the connection after each response from now on, so that the balancer routes the caller's next connection to another entry. */
  drain (): void {
    this.#stopping = true
    this.#server.closeIdleConnections()
  }

  /**
   * Stops listening; settles when every response has been written. The decision logic has ended by
   * now: requests that still arrive are disconnected, and pending ones are answered as "may have run".
   */
  async close (): Promise<void> {
    this.drain()
    this.#closed = true
    for (const request of [...this.#pending.keys()]) this.answer(request, STOPPED_BEFORE_ANSWER)
    await new Promise<void>(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeIdleConnections()
    })
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const path = pathOf(request)
    // The decision logic has ended, and an earlier submission may have brought the job to another entry,
    // so answering "not run" could be false. Closing the connection claims nothing, and the caller retries.
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
      this.#refuse(response, 413, Cause.TooLarge, `a job has at most ${MAX_BODY_BYTES} bytes: split it`)
      return
    }
    const job = parseJob(body)
    if (job.isErr()) {
      this.#respond(response, answerResponse(undefined, refusal(job.error.code, job.error.message)))
      return
    }
    this.#post({ type: 'submitted', request: this.#register(response, job.value.key), job: job.value })
  }

  #lookUp (response: ServerResponse, job: JobKey): void {
    this.#post({ type: 'lookUpRequested', request: this.#register(response, job), job })
  }

  #cancel (response: ServerResponse, job: JobKey): void {
    this.#post({ type: 'cancelRequested', request: this.#register(response, job), job })
  }

  /** Registers a waiting caller and posts `callerGone` if it disconnects before its answer. */
  #register (response: ServerResponse, job: JobKey): string {
    this.#requests += 1
    const request = String(this.#requests)
    this.#pending.set(request, { response, job })
    response.on('close', () => {
      if (this.#take(request) !== undefined) this.#post({ type: 'callerGone', request })
    })
    return request
  }

  #take (request: string): PendingRequest | undefined {
    const waiting = this.#pending.get(request)
    this.#pending.delete(request)
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

/** Returns undefined when the part is not valid percent-encoding. */
function decodePart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}
