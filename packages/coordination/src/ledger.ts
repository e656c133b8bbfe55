/**
 * The start ledger of an agent: which tasks it accepted, which of them it started, and how they ended.
 *
 * The ledger is the only record of starts. A task recorded as started is never started again, and a refused attempt
 * never starts.
 */
import type { Dispatch, Instance, JobKey, LedgerLine, TaskReference, TaskResult } from './messages.ts'
import { LedgerState, TaskOutcome } from './messages.ts'

/** One task of one job at this agent. */
interface LedgerRecord {
  number: number
  reference: TaskReference
  state: LedgerState
  /** Entry that the outcome is sent to. */
  holder: Instance
  outcome: TaskOutcome
  payload: Uint8Array | undefined
  detail: string
  runMilliseconds: number
  acknowledged: boolean
  /** The holder received the record through a recall, after another entry was lost. */
  handedOver: boolean
  /** Time of the last change, from which the retention time counts. */
  changedAt: number
}

/** How a dispatch compares with the ledger. */
export enum DispatchStatus {
  /** Not recorded: the task may be offered a slot. */
  New = 'new',
  /** Recorded, and waiting or running: nothing to do. */
  Known = 'known',
  /** Recorded as finished or refused: the outcome is sent again. */
  Settled = 'settled'
}

/**
 * Starts are kept longer than any entry keeps the job. Otherwise a missing record could mean either that the task
 * never started or that its record expired.
 */
const RETENTION_FACTOR = 2

const EMPTY_PAYLOAD = new Uint8Array()

function taskKey (job: JobKey, index: number): string {
  return `${job}/${index}`
}

/** Stores tasks by job and index, limited by retention time and by bytes of results. */
export class Ledger {
  readonly #entries = new Map<string, LedgerRecord>()
  readonly #unfinished = new Map<number, LedgerRecord>()
  readonly #retention: number
  readonly #payloadLimit: number
  #payloadBytes = 0
  #nextNumber = 1

  /**
   * @param retention milliseconds for which entries keep a job; finished and refused tasks are kept longer
   * @param payloadLimit maximum bytes of results held
   */
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
   * Looks a dispatch up in the ledger.
   *
   * A duplicate or late copy of a dispatch is found here and does not start the task a second time. A copy at or below
   * a refused attempt stays refused.
   */
  statusOf (dispatch: Dispatch): DispatchStatus {
    const record = this.#entries.get(taskKey(dispatch.job, dispatch.index))
    if (record === undefined) return DispatchStatus.New
    if (record.state === LedgerState.Refused) {
      return dispatch.attempt > record.reference.attempt ? DispatchStatus.New : DispatchStatus.Settled
    }
    return record.state === LedgerState.Finished ? DispatchStatus.Settled : DispatchStatus.Known
  }

  /** Records a task as accepted but not started; returns the number that identifies it from now on. */
  accept (dispatch: Dispatch, holder: Instance, now: number): number {
    const record = this.#write(dispatch, holder, LedgerState.Queued, now)
    return record.number
  }

  /** Records a task as refused, so that no later copy of this attempt starts it. */
  refuse (dispatch: Dispatch, holder: Instance, detail: string, now: number): TaskResult {
    const record = this.#write(dispatch, holder, LedgerState.Refused, now)
    record.outcome = TaskOutcome.NotStarted
    record.detail = detail
    return resultOf(record)
  }

  /** Marks a waiting task as refused; returns undefined when it has started or is unknown. */
  withdraw (number: number, detail: string, now: number): TaskResult | undefined {
    const record = this.#unfinished.get(number)
    if (record?.state !== LedgerState.Queued) return undefined
    this.#unfinished.delete(number)
    record.state = LedgerState.Refused
    record.outcome = TaskOutcome.NotStarted
    record.detail = detail
    record.changedAt = now
    return resultOf(record)
  }

  start (number: number, now: number): void {
    const record = this.#unfinished.get(number)
    if (record === undefined) return
    record.state = LedgerState.Running
    record.changedAt = now
  }

  /** Records the outcome; returns the result and the entry to send it to, undefined for an unknown task. */
  finish (number: number, completion: Omit<TaskResult, 'job' | 'index' | 'attempt'>, now: number): { holder: Instance, result: TaskResult } | undefined {
    const record = this.#unfinished.get(number)
    if (record === undefined) return undefined
    this.#unfinished.delete(number)
    record.state = LedgerState.Finished
    record.outcome = completion.outcome
    record.detail = completion.detail
    record.runMilliseconds = completion.runMilliseconds
    record.changedAt = now
    this.#storePayload(record, completion.payload)
    return { holder: record.holder, result: { ...record.reference, ...completion } }
  }

  /** Outcome of a finished or refused task, to be sent again. */
  resultFor (job: JobKey, index: number): TaskResult | undefined {
    const record = this.#entries.get(taskKey(job, index))
    return record === undefined ? undefined : resultOf(record)
  }

  /** Makes `holder` the receiver of the outcome: it runs the job now and dispatched this same attempt again. */
  claim (dispatch: Dispatch, holder: Instance): void {
    const record = this.#entries.get(taskKey(dispatch.job, dispatch.index))
    if (record === undefined || record.reference.attempt !== dispatch.attempt) return
    record.holder = holder
    record.handedOver = false
  }

  /** The entry that the outcome of a task is sent to. */
  holderOf (job: JobKey, index: number): Instance | undefined {
    return this.#entries.get(taskKey(job, index))?.holder
  }

  /** Number of a task that is waiting or running. */
  numberOf (reference: TaskReference): number | undefined {
    const record = this.#entries.get(taskKey(reference.job, reference.index))
    if (record === undefined || record.reference.attempt !== reference.attempt) return undefined
    return this.#unfinished.has(record.number) ? record.number : undefined
  }

  /** The holder has received the outcome: its result is evicted first when space is needed. */
  acknowledge (reference: TaskReference): void {
    const record = this.#entries.get(taskKey(reference.job, reference.index))
    if (record === undefined) return
    record.acknowledged = true
  }

  /** Finished and refused tasks whose outcome the holder has not confirmed. */
  unacknowledged (holder: Instance): TaskResult[] {
    const results: TaskResult[] = []
    for (const record of this.#entries.values()) {
      if (record.holder !== holder || record.acknowledged) continue
      if (record.state !== LedgerState.Finished && record.state !== LedgerState.Refused) continue
      results.push(resultOf(record))
    }
    return results
  }

  /**
   * Whether every task in this state has been confirmed by its holder, counting only holders for which `isRelevant`
   * returns true.
   */
  allAcknowledged (state: LedgerState.Finished | LedgerState.Refused, isRelevant: (holder: Instance) => boolean): boolean {
    for (const record of this.#entries.values()) {
      if (record.state === state && !record.acknowledged && isRelevant(record.holder)) return false
    }
    return true
  }

  /** Numbers of the tasks that wait for a slot and whose holder `matches`. */
  queuedNumbers (matches: (holder: Instance) => boolean): number[] {
    const numbers: number[] = []
    for (const record of this.#unfinished.values()) {
      if (record.state === LedgerState.Queued && matches(record.holder)) numbers.push(record.number)
    }
    return numbers
  }

  /**
   * Transfers the records of jobs that `holder` now owns to it, and returns them; their outcomes are sent to it from
   * now on.
   *
   * Includes records of removed entries, and records handed over earlier that no entry has claimed since: the earlier
   * reply may have been lost, or the job ids may have moved to another entry.
   */
  handOver (holder: Instance, owns: (job: JobKey) => boolean, isRemoved: (holder: Instance) => boolean): LedgerLine[] {
    const lines: LedgerLine[] = []
    for (const record of this.#entries.values()) {
      if (!owns(record.reference.job) || !(record.handedOver || isRemoved(record.holder))) continue
      record.holder = holder
      record.handedOver = true
      record.acknowledged = record.state !== LedgerState.Running && record.state !== LedgerState.Queued
      lines.push(lineOf(record))
    }
    return lines
  }

  /** Removes finished and refused tasks older than the retention time. Records are ordered by when they were added. */
  expire (now: number): void {
    for (const [key, record] of this.#entries) {
      if (now - record.changedAt <= this.#retention) return
      if (this.#unfinished.has(record.number)) continue
      this.#dropPayload(record)
      this.#entries.delete(key)
    }
  }

  #write (dispatch: Dispatch, holder: Instance, state: LedgerState, now: number): LedgerRecord {
    const key = taskKey(dispatch.job, dispatch.index)
    const record: LedgerRecord = {
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
    this.#entries.set(key, record)
    if (state === LedgerState.Queued) this.#unfinished.set(record.number, record)
    return record
  }

  #storePayload (record: LedgerRecord, payload: Uint8Array): void {
    record.payload = payload
    this.#payloadBytes += payload.byteLength
    if (this.#payloadBytes > this.#payloadLimit) this.#evictPayloads(record)
  }

  /** Drops results, oldest first: acknowledged ones, then any other except the newest. */
  #evictPayloads (newest: LedgerRecord): void {
    for (const onlyAcknowledged of [true, false]) {
      for (const record of this.#entries.values()) {
        if (this.#payloadBytes <= this.#payloadLimit) return
        if (record === newest || (onlyAcknowledged && !record.acknowledged)) continue
        this.#dropPayload(record)
      }
    }
  }

  #dropPayload (record: LedgerRecord): void {
    if (record.payload === undefined) return
    this.#payloadBytes -= record.payload.byteLength
    record.payload = undefined
  }
}

/** Outcome of a task. A successful task whose result was evicted is reported as one that may have run. */
function resultOf (record: LedgerRecord): TaskResult {
  const payloadEvicted = record.outcome === TaskOutcome.Succeeded && record.payload === undefined
  return {
    ...record.reference,
    outcome: payloadEvicted ? TaskOutcome.MayHaveRun : record.outcome,
    payload: record.payload ?? EMPTY_PAYLOAD,
    detail: payloadEvicted ? 'the task ran; its result is no longer held' : record.detail,
    runMilliseconds: record.runMilliseconds
  }
}

function lineOf (record: LedgerRecord): LedgerLine {
  return {
    ...record.reference,
    state: record.state,
    outcome: record.outcome,
    payload: record.payload ?? EMPTY_PAYLOAD,
    payloadHeld: record.payload !== undefined,
    detail: record.detail
  }
}
