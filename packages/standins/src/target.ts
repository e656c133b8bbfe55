/**
 * Stand-in for a target. It runs a task by waiting, answers with a result that names the task, and
 * records every start and its end. Audits compare these records with the answers to callers.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import {
  MAX_TARGET_BODY_BYTES, TARGET_KEEP_ALIVE_TIMEOUT, MAX_TARGET_RECORDS, TARGET_SLOTS
} from './defaults.ts'
import { closeServer, listen, readJson, sendJson } from './httpserver.ts'
import { SeededRandom } from './random.ts'
import type { StandInPayload, StartRecord, TargetRecords } from './records.ts'
import { StartOutcome } from './records.ts'

/** Faults of a target. Setting them replaces all faults; omitted ones are off. */
export interface TargetFaults {
  /** Every task starts and fails. */
  failAll: boolean
  /** Factor on run times; 1 for none. */
  slowFactor: number
  /** Tasks start and do not end until this fault is switched off. */
  hang: boolean
  /** Fraction of the tasks that start and fail, 0 to 1. */
  failRate: number
  /** Seed of the random numbers for `failRate`. */
  seed: number
  /** Tasks are rejected with status 503 before they start. */
  refuse: boolean
  /** A run is aborted when its requester disconnects; otherwise it runs to its end. */
  abortOnDisconnect: boolean
}

/** All faults off. */
export const NO_TARGET_FAULTS: TargetFaults = {
  failAll: false,
  slowFactor: 1,
  hang: false,
  failRate: 0,
  seed: 1,
  refuse: false,
  abortOnDisconnect: false
}

/** Options of a {@link TargetStandIn}. */
export interface TargetOptions {
  id: string
  /** Port on the loopback interface; 0 lets the system pick one. @default 0 */
  port?: number
  /** Maximum number of concurrent tasks; more are queued. @default 8 */
  slots?: number
  /** Maximum number of start records kept. @default 1000000 */
  recordLimit?: number
}

/** One request for a run, queued for a slot or running. */
interface Run {
  record: StartRecord
  payload: StandInPayload
  response: ServerResponse
  requesterDisconnected: boolean
  timer?: NodeJS.Timeout
}

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>

/** A target that listens on the loopback interface. */
export class TargetStandIn {
  readonly #options: Required<TargetOptions>
  readonly #server: Server
  readonly #records: StartRecord[] = []
  readonly #running = new Set<Run>()
  /** Requests without a free slot, in order of arrival. */
  readonly #waiting: Run[] = []
  readonly #handlers: Record<string, Handler>
  #faults = NO_TARGET_FAULTS
  #random = new SeededRandom(NO_TARGET_FAULTS.seed)
  #askedAboveSlots = 0
  #dropped = 0

  constructor (options: TargetOptions) {
    this.#options = { port: 0, slots: TARGET_SLOTS, recordLimit: MAX_TARGET_RECORDS, ...options }
    this.#handlers = {
      'POST /run': (request, response) => this.#run(request, response),
      'GET /records': (_request, response) => sendJson(response, 200, this.records()),
      'DELETE /records': (_request, response) => this.#clearRecords(response),
      'GET /standin/faults': (_request, response) => sendJson(response, 200, this.#faults),
      'POST /standin/faults': (request, response) => this.#receiveFaults(request, response),
      'GET /healthz': (_request, response) => sendJson(response, 200, { ok: true })
    }
    this.#server = createServer((request, response) => { this.#route(request, response) })
    this.#server.keepAliveTimeout = TARGET_KEEP_ALIVE_TIMEOUT
  }

  /** Starts listening. Resolves to the port. */
  listen (): Promise<number> {
    return listen(this.#server, this.#options.port)
  }

  /** Closes at once. Running tasks are aborted and their records left unchanged. */
  close (): Promise<void> {
    for (const run of this.#running) clearTimeout(run.timer)
    return closeServer(this.#server)
  }

  /** Every start since the records were last cleared, with the current counts. */
  records (): TargetRecords {
    return {
      target: this.#options.id,
      slots: this.#options.slots,
      running: this.#running.size,
      askedAboveSlots: this.#askedAboveSlots,
      dropped: this.#dropped,
      records: this.#records
    }
  }

  /** Replaces the faults; omitted ones are off. Hanging runs continue once `hang` is off. */
  setFaults (faults: Partial<TargetFaults>): void {
    this.#faults = { ...NO_TARGET_FAULTS, ...faults }
    this.#random = new SeededRandom(this.#faults.seed)
    if (this.#faults.hang) return
    for (const run of this.#running) {
      if (run.timer === undefined) this.#schedule(run)
    }
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const handler = this.#handlers[`${request.method} ${request.url}`]
    if (handler === undefined) return sendJson(response, 404, { error: 'no such path' })
    Promise.resolve(handler(request, response)).catch((error: Error) => {
      if (!response.headersSent) sendJson(response, 400, { error: error.message })
    })
  }

  async #receiveFaults (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.setFaults(await readJson(request, MAX_TARGET_BODY_BYTES) as Partial<TargetFaults>)
    sendJson(response, 200, this.#faults)
  }

  #clearRecords (response: ServerResponse): void {
    this.#records.length = 0
    this.#askedAboveSlots = 0
    this.#dropped = 0
    sendJson(response, 200, {})
  }

  async #run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const payload = await readJson(request, MAX_TARGET_BODY_BYTES) as StandInPayload
    if (this.#faults.refuse) return sendJson(response, 503, { error: 'refused before the start' })
    if (request.socket.destroyed) return
    const run = this.#newRun(request, response, payload)
    if (Number.isNaN(run.record.task)) return sendJson(response, 400, { error: 'no x-amaranthmast-task' })
    response.once('close', () => this.#handleDisconnect(run))
    if (this.#running.size < this.#options.slots) return this.#start(run)
    this.#askedAboveSlots++
    this.#waiting.push(run)
  }

  #newRun (request: IncomingMessage, response: ServerResponse, payload: StandInPayload): Run {
    const record: StartRecord = {
      target: this.#options.id,
      tenant: header(request, 'x-amaranthmast-tenant'),
      service: header(request, 'x-amaranthmast-service'),
      job: header(request, 'x-amaranthmast-job'),
      task: Number.parseInt(header(request, 'x-amaranthmast-task'), 10),
      outcome: StartOutcome.Running,
      startedAt: 0
    }
    return { record, payload, response, requesterDisconnected: false }
  }

  #start (run: Run): void {
    run.record.startedAt = Date.now()
    this.#running.add(run)
    if (this.#records.length < this.#options.recordLimit) this.#records.push(run.record)
    else this.#dropped++
    if (!this.#faults.hang) this.#schedule(run)
  }

  #schedule (run: Run): void {
    const runMilliseconds = (run.payload.runMilliseconds ?? 0) * this.#faults.slowFactor
    run.timer = setTimeout(() => this.#finish(run), runMilliseconds)
  }

  #finish (run: Run): void {
    const { record, response } = run
    const failed = this.#faults.failAll || run.payload.fail === true || this.#random.next() < this.#faults.failRate
    record.outcome = failed ? StartOutcome.Failed : StartOutcome.Finished
    record.finishedAt = Date.now()
    this.#release(run)
    if (run.requesterDisconnected) return
    if (failed) return sendJson(response, 500, { error: 'the task failed' })
    const { tenant, job, task, target } = record
    sendJson(response, 200, { tenant, job, task, target })
  }

  #handleDisconnect (run: Run): void {
    run.requesterDisconnected = true
    const index = this.#waiting.indexOf(run)
    if (index >= 0) this.#waiting.splice(index, 1)
    if (!this.#running.has(run) || !this.#faults.abortOnDisconnect) return
    clearTimeout(run.timer)
    run.record.outcome = StartOutcome.Aborted
    run.record.abortedAt = Date.now()
    this.#release(run)
  }

  #release (run: Run): void {
    this.#running.delete(run)
    const next = this.#waiting.shift()
    if (next !== undefined) this.#start(next)
  }
}

function header (request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}
