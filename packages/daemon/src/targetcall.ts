/** One call to a target, and what its end proves about the run of the task. */
import { TaskOutcome } from '@amaranthmast/coordination/messages'
import type { Dispatcher } from 'undici'
import { FAILURE_DETAIL_LENGTH, MAX_RESULT_BYTES } from './defaults.ts'

/** How a call ended. */
export interface CallEnd {
  outcome: TaskOutcome
  /** The result as the target returned it; empty unless the task succeeded. */
  payload: Uint8Array
  /** Human-readable description; empty when the task succeeded. */
  detail: string
}

const STATUS_OK = 200
const EMPTY = new Uint8Array(0)

/**
 * Collects the response of one call and settles once.
 *
 * A call whose connection broke proves nothing, since the target may have read the task before. A task
 * certainly did not start only if nothing of it was written: no connection was established, or the
 * call was aborted before it was sent.
 */
export class TargetCall implements Dispatcher.DispatchHandler {
  readonly #settle: (end: CallEnd) => void
  readonly #chunks: Buffer[] = []
  #controller: Dispatcher.DispatchController | undefined
  #aborted = false
  #settled = false
  #status = 0
  #size = 0

  /** @param settle called once, when the call has ended */
  constructor (settle: (end: CallEnd) => void) {
    this.#settle = settle
  }

  /** Aborts the call. */
  abort (): void {
    this.#aborted = true
    if (this.#controller === undefined) this.#fail('the call was broken off before it was sent')
    else this.#controller.abort(new Error('broken off'))
  }

  /** Called just before the first byte is written, the last moment at which an abort can prevent the start of the task. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#aborted) controller.abort(new Error('broken off'))
    else this.#controller = controller
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number): void {
    this.#status = status
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#size += chunk.length
    this.#chunks.push(chunk)
    if (this.#size <= MAX_RESULT_BYTES) return
    this.#finish(failed(`the result of the target is larger than ${MAX_RESULT_BYTES} bytes`))
    controller.abort(new Error('too large'))
  }

  onResponseEnd (): void {
    this.#finish(endOf(this.#status, Buffer.concat(this.#chunks)))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    const code = (error as NodeJS.ErrnoException).code
    this.#fail(this.#aborted ? 'the call to the target was broken off' : `the call to the target failed: ${code ?? error.message}`)
  }

  #fail (detail: string): void {
    const outcome = this.#controller === undefined ? TaskOutcome.NotStarted : TaskOutcome.MayHaveRun
    this.#finish({ outcome, payload: EMPTY, detail })
  }

  #finish (end: CallEnd): void {
    if (this.#settled) return
    this.#settled = true
    this.#settle(end)
  }
}

function endOf (status: number, body: Buffer): CallEnd {
  if (status !== STATUS_OK) {
    return failed(`the target answered with status ${status}: ${body.toString('utf8').slice(0, FAILURE_DETAIL_LENGTH)}`)
  }
  // A result that is not JSON would make the whole answer of the job unparseable for the caller.
  if (!isJson(body)) return failed('the result of the target is not JSON')
  return { outcome: TaskOutcome.Succeeded, payload: body, detail: '' }
}

function isJson (body: Buffer): boolean {
  try {
    JSON.parse(body.toString('utf8'))
    return true
  } catch {
    return false
  }
}

function failed (detail: string): CallEnd {
  return { outcome: TaskOutcome.Failed, payload: EMPTY, detail }
}
