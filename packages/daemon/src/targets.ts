/** HTTP client for the target of an agent. */
import type { AgentEvent } from '@amaranthmast/coordination/agenttypes'
import type { Dispatch } from '@amaranthmast/coordination/messages'
import { Pool } from '@amaranthmast/store/connections'
import { TARGET_KEEP_ALIVE_MILLISECONDS, TARGET_TIMEOUT_MILLISECONDS } from './defaults.ts'
import { TargetCall } from './targetcall.ts'

/** Calls one target with at most as many connections as it has slots. */
export class TargetClient {
  readonly #pool: InstanceType<typeof Pool>
  readonly #post: (event: AgentEvent) => void
  readonly #now: () => number
  readonly #path: string
  readonly #calls = new Map<number, TargetCall>()

  /**
   * @param url base URL of the target
   * @param slots maximum number of concurrent tasks, and so of connections
   * @param post receives a `taskEnded` for each task
   * @param now clock in milliseconds
   */
  constructor (url: string, slots: number, post: (event: AgentEvent) => void, now: () => number) {
    const { origin, pathname } = new URL(url)
    this.#path = `${pathname.replace(/\/$/, '')}/run`
    this.#post = post
    this.#now = now
    this.#pool = new Pool(origin, {
      connections: slots,
      pipelining: 1,
      headersTimeout: TARGET_TIMEOUT_MILLISECONDS,
      bodyTimeout: TARGET_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: TARGET_KEEP_ALIVE_MILLISECONDS
    })
  }

  /** Calls the target once; a failed call is not retried. */
  start (task: number, dispatch: Dispatch): void {
    const started = this.#now()
    const call = new TargetCall(end => {
      this.#calls.delete(task)
      this.#post({ type: 'taskEnded', task, ...end, runMilliseconds: this.#now() - started })
    })
    this.#calls.set(task, call)
    this.#pool.dispatch({ path: this.#path, method: 'POST', headers: headersOf(dispatch), body: dispatch.payload }, call)
  }

  /** Aborts a call; its end is still posted. */
  abort (task: number): void {
    this.#calls.get(task)?.abort()
  }

  /** Number of calls in progress. */
  get size (): number {
    return this.#calls.size
  }

  /** Closes all connections; calls in progress fail. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}

function headersOf (dispatch: Dispatch): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-amaranthmast-tenant': dispatch.tenant,
    'x-amaranthmast-service': dispatch.service,
    'x-amaranthmast-job': dispatch.job.slice(dispatch.tenant.length + 1),
    'x-amaranthmast-task': String(dispatch.index),
    'idempotency-key': `${dispatch.job}/${dispatch.index}`
  }
}
