/**
 * The start ledger of an agent: which tasks it was given, which of them it started, and how they
 * ended. It is the only memory of starts, so a task that stands in it as started is never started
 * again, and a task that it has refused will never start under that attempt.
 */
import type { Dispatch, Instance, JobKey, LedgerLine, TaskReference, TaskResult } from './messages.ts'
import { LedgerState, TaskOutcome } from './messages.ts'

/** One task of one job at this agent. */
interface Entry {
  number: number
  reference: TaskReference
  state: LedgerState
  /** Entry that will be told the outcome. */
  holder: Instance
  outcome: TaskOutcome
  payload: Uint8Array | undefined
  detail: string
  runMilliseconds: number
  acknowledged: boolean
  /** The holder got it from a lost entry, by a recall. */
  handedOver: boolean
  /** Clock reading of the last change, for retention. */
  changedAt: number
}

/** What the ledger says of a dispatch. */
export enum Verdict {
  /** Never seen: it may be offered a slot. */
  New = 'new',
  /** Known, waiting or running: nothing to do. */
  Known = 'known',
  /** Known and finished, or refused: the outcome is to be sent again. */
  Settled = 'settled'
}

/**
 * A start is remembered longer than any entry remembers its job, so that "no ledger names it" never
 * means "the ledger has forgotten".
 */
const RETENTION_FACTOR = 2

const NO_PAYLOAD = new Uint8Array()

function taskKey (job: JobKey, index: number): string {
  return `${job}/${index}`
}

/** Remembers tasks by job and index, within bounds of time and bytes. */
export class Ledger {
  readonly #entries = new Map<string, Entry>()
  readonly #byNumber = new Map<number, Entry>()
  readonly #retention: number
  readonly #payloadLimit: number
  #payloadBytes = 0
  #nextNumber = 1

  /** @param retention milliseconds for which entries remember a job; a settled task is remembered longer
   *  @param payloadLimit bytes of results held */
  constructor (retention: number, payloadLimit: number) {
    this.#retention = retention * RETENTION_FACTOR
    this.#payloadLimit = payloadLimit
  }

  get size (): number {
    return this.#entries.size
  }

  get payloadBytes (): number {
    return this.#payloadBytes
  }

  /**
   * Looks a dispatch up. A copy of a dispatch that was delivered before, late or twice, is known
   * here and does not start the task a second time; one at or below a refused attempt stays refused.
   */
  examine (dispatch: Dispatch): Verdict {
    const entry = this.#entries.get(taskKey(dispatch.job, dispatch.index))
    if (entry === undefined) return Verdict.New
    if (entry.state === LedgerState.Refused) {
      return dispatch.attempt > entry.reference.attempt ? Verdict.New : Verdict.Settled
    }
    return entry.state === LedgerState.Finished ? Verdict.Settled : Verdict.Known
  }

  /** Writes a task down as accepted and not started; its number names it from now on. */
  accept (dispatch: Dispatch, holder: Instance, now: number): number {
    const entry = this.#write(dispatch, holder, LedgerState.Queued, now)
    return entry.number
  }

  /** Writes a task down as refused, so that no later copy of this attempt starts it. */
  refuse (dispatch: Dispatch, holder: Instance, detail: string, now: number): TaskResult {
    const entry = this.#write(dispatch, holder, LedgerState.Refused, now)
    entry.outcome = TaskOutcome.NotStarted
    entry.detail = detail
    return resultOf(entry)
  }

  /** Turns a waiting task into a refused one; undefined when it has started or is unknown. */
  withdraw (number: number, detail: string, now: number): TaskResult | undefined {
    const entry = this.#byNumber.get(number)
    if (entry?.state !== LedgerState.Queued) return undefined
    this.#byNumber.delete(number)
    entry.state = LedgerState.Refused
    entry.outcome = TaskOutcome.NotStarted
    entry.detail = detail
    entry.changedAt = now
    return resultOf(entry)
  }

  start (number: number, now: number): void {
    const entry = this.#byNumber.get(number)
    if (entry === undefined) return
    entry.state = LedgerState.Running
    entry.changedAt = now
  }

  /** Writes the outcome down; the result and who is to be told, undefined for an unknown task. */
  finish (number: number, ending: Omit<TaskResult, 'job' | 'index' | 'attempt'>, now: number): { holder: Instance, result: TaskResult } | undefined {
    const entry = this.#byNumber.get(number)
    if (entry === undefined) return undefined
    this.#byNumber.delete(number)
    entry.state = LedgerState.Finished
    entry.outcome = ending.outcome
    entry.detail = ending.detail
    entry.runMilliseconds = ending.runMilliseconds
    entry.changedAt = now
    this.#holdPayload(entry, ending.payload)
    return { holder: entry.holder, result: { ...entry.reference, ...ending } }
  }

  /** The outcome of a settled task, to be sent again. */
  resultFor (job: JobKey, index: number): TaskResult | undefined {
    const entry = this.#entries.get(taskKey(job, index))
    return entry === undefined ? undefined : resultOf(entry)
  }

  /** The entry that runs the job now has dispatched this very attempt again: it is told the outcome. */
  claim (dispatch: Dispatch, holder: Instance): void {
    const entry = this.#entries.get(taskKey(dispatch.job, dispatch.index))
    if (entry === undefined || entry.reference.attempt !== dispatch.attempt) return
    entry.holder = holder
    entry.handedOver = false
  }

  /** The entry that is told the outcome of a task. */
  holderOf (job: JobKey, index: number): Instance | undefined {
    return this.#entries.get(taskKey(job, index))?.holder
  }

  /** Number of a task that is waiting or running. */
  numberOf (reference: TaskReference): number | undefined {
    const entry = this.#entries.get(taskKey(reference.job, reference.index))
    if (entry === undefined || entry.reference.attempt !== reference.attempt) return undefined
    return this.#byNumber.has(entry.number) ? entry.number : undefined
  }

  /** The holder has the outcome: its bytes may go first when room is needed. */
  acknowledge (reference: TaskReference): void {
    const entry = this.#entries.get(taskKey(reference.job, reference.index))
    if (entry === undefined) return
    entry.acknowledged = true
  }

  /** Finished tasks whose holder has not confirmed the outcome. */
  unacknowledged (holder: Instance): TaskResult[] {
    const results: TaskResult[] = []
    for (const entry of this.#entries.values()) {
      if (entry.holder !== holder || entry.acknowledged) continue
      if (entry.state !== LedgerState.Finished && entry.state !== LedgerState.Refused) continue
      results.push(resultOf(entry))
    }
    return results
  }

  /** Whether every task in this state has been confirmed by its holder, for those that `counts`. */
  allAcknowledged (state: LedgerState.Finished | LedgerState.Refused, counts: (holder: Instance) => boolean): boolean {
    for (const entry of this.#entries.values()) {
      if (entry.state === state && !entry.acknowledged && counts(entry.holder)) return false
    }
    return true
  }

  /** Numbers of the tasks that wait for a slot and whose holder `concerns`. */
  waitingOf (concerns: (holder: Instance) => boolean): number[] {
    const numbers: number[] = []
    for (const entry of this.#byNumber.values()) {
      if (entry.state === LedgerState.Queued && concerns(entry.holder)) numbers.push(entry.number)
    }
    return numbers
  }

  /**
   * Hands the lines of jobs that `holder` now owns over to it, who is told their outcomes from now
   * on: those of entries that are `gone`, and those handed over before that nobody has claimed
   * since, because the reply may have been lost, or the job ids have moved on.
   */
  handOver (holder: Instance, owns: (job: JobKey) => boolean, gone: (holder: Instance) => boolean): LedgerLine[] {
    const lines: LedgerLine[] = []
    for (const entry of this.#entries.values()) {
      if (!owns(entry.reference.job) || !(entry.handedOver || gone(entry.holder))) continue
      entry.holder = holder
      entry.handedOver = true
      entry.acknowledged = entry.state !== LedgerState.Running && entry.state !== LedgerState.Queued
      lines.push(lineOf(entry))
    }
    return lines
  }

  /** Forgets settled tasks older than the retention. Entries lie in order of their last writing. */
  expire (now: number): void {
    for (const [key, entry] of this.#entries) {
      if (now - entry.changedAt <= this.#retention) return
      if (this.#byNumber.has(entry.number)) continue
      this.#dropPayload(entry)
      this.#entries.delete(key)
    }
  }

  #write (dispatch: Dispatch, holder: Instance, state: LedgerState, now: number): Entry {
    const key = taskKey(dispatch.job, dispatch.index)
    const entry: Entry = {
      number: this.#nextNumber,
      reference: { job: dispatch.job, index: dispatch.index, attempt: dispatch.attempt },
      state,
      holder,
      outcome: TaskOutcome.Unspecified,
      payload: undefined,
      detail: '',
      runMilliseconds: 0,
      acknowledged: false,
      handedOver: false,
      changedAt: now
    }
    this.#nextNumber += 1
    this.#entries.delete(key)
    this.#entries.set(key, entry)
    if (state === LedgerState.Queued) this.#byNumber.set(entry.number, entry)
    return entry
  }

  #holdPayload (entry: Entry, payload: Uint8Array): void {
    entry.payload = payload
    this.#payloadBytes += payload.byteLength
    if (this.#payloadBytes > this.#payloadLimit) this.#makeRoom(entry)
  }

  /** Drops results, oldest first: those that their holder has, then any other but the newest. */
  #makeRoom (newest: Entry): void {
    for (const onlyAcknowledged of [true, false]) {
      for (const entry of this.#entries.values()) {
        if (this.#payloadBytes <= this.#payloadLimit) return
        if (entry === newest || (onlyAcknowledged && !entry.acknowledged)) continue
        this.#dropPayload(entry)
      }
    }
  }

  #dropPayload (entry: Entry): void {
    if (entry.payload === undefined) return
    this.#payloadBytes -= entry.payload.byteLength
    entry.payload = undefined
  }
}

/** A finished task whose result was dropped for want of room is told as one that may have run. */
function resultOf (entry: Entry): TaskResult {
  const lost = entry.outcome === TaskOutcome.Succeeded && entry.payload === undefined
  return {
    ...entry.reference,
    outcome: lost ? TaskOutcome.MayHaveRun : entry.outcome,
    payload: entry.payload ?? NO_PAYLOAD,
    detail: lost ? 'the task ran; its result is no longer held' : entry.detail,
    runMilliseconds: entry.runMilliseconds
  }
}

function lineOf (entry: Entry): LedgerLine {
  return {
    ...entry.reference,
    state: entry.state,
    outcome: entry.outcome,
    payload: entry.payload ?? NO_PAYLOAD,
    payloadHeld: entry.payload !== undefined,
    detail: entry.detail
  }
}
