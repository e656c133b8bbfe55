/** The tasks at an agent, from admission to their end. Each step is recorded in the ledger first. */
import type { AgentGuards } from './agentguards.ts'
import type { AgentEffect, AgentEvent } from './agenttypes.ts'
import type { Ledger } from './ledger.ts'
import type { AgentToEntry, Dispatch, Instance, TaskReference } from './messages.ts'
import type { Slots } from './slots.ts'

export interface AgentTasksDependencies {
  slots: Slots
  ledger: Ledger
  guards: AgentGuards
  /** Whether the agent may start tasks, that is, whether it is not isolated from the view. */
  mayStart: (now: number) => boolean
  emit: (effect: AgentEffect) => void
  send: (entry: Instance, message: AgentToEntry) => void
}

export class AgentTasks {
  readonly #slots: Slots
  readonly #ledger: Ledger
  readonly #guards: AgentGuards
  readonly #mayStart: (now: number) => boolean
  readonly #emit: (effect: AgentEffect) => void
  readonly #send: (entry: Instance, message: AgentToEntry) => void
  /** Waiting and running tasks by their number in the ledger. */
  readonly #dispatches = new Map<number, Dispatch>()
  readonly #running = new Set<number>()
  #started = 0
  #refused = 0

  constructor (dependencies: AgentTasksDependencies) {
    this.#slots = dependencies.slots
    this.#ledger = dependencies.ledger
    this.#guards = dependencies.guards
    this.#mayStart = dependencies.mayStart
    this.#emit = dependencies.emit
    this.#send = dependencies.send
  }

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#dispatches.size - this.#running.size
  }

  /** Tasks started since the agent process started. */
  get started (): number {
    return this.#started
  }

  /** Dispatches refused since the agent process started. */
  get refused (): number {
    return this.#refused
  }

  /** Starts a task, queues it, or refuses it when neither a slot nor a place in the queue is free. */
  admit (entry: Instance, dispatch: Dispatch, now: number): void {
    const number = this.#ledger.accept(dispatch, entry, now)
    const { needs, runMilliseconds, patienceMilliseconds } = dispatch
    const placement = this.#slots.offer({ id: number, entry, needs, runMilliseconds, patienceMilliseconds }, now)
    if (placement === 'full') {
      const result = this.#ledger.withdraw(number, 'no slot is free', now)
      this.#refused += 1
      if (result !== undefined) this.#send(entry, { case: 'result', value: result })
      return
    }
    this.#dispatches.set(number, dispatch)
    if (placement === 'start') this.#start(number, now)
  }

  /** Refuses a dispatch permanently: a late copy of it stays refused. */
  refuse (entry: Instance, dispatch: Dispatch, detail: string, now: number): void {
    this.#refused += 1
    this.#send(entry, { case: 'result', value: this.#ledger.refuse(dispatch, entry, detail, now) })
  }

  ended (event: Extract<AgentEvent, { type: 'taskEnded' }>, now: number): void {
    const { task, outcome, payload, detail, runMilliseconds } = event
    this.#dispatches.delete(task)
    this.#running.delete(task)
    const finished = this.#ledger.finish(task, { outcome, payload, detail, runMilliseconds }, now)
    if (finished !== undefined) this.#send(finished.holder, { case: 'result', value: finished.result })
    this.#startNext(this.#slots.release(task), now)
  }

  /** Aborts a running task; reports a waiting one as not started. */
  cancel (task: TaskReference, now: number): void {
    const number = this.#ledger.numberOf(task)
    if (number === undefined) return
    if (this.#running.has(number)) {
      this.#emit({ type: 'abortTask', task: number })
      return
    }
    this.#slots.cancelWaiting(number)
    this.#returnUnstarted(number, 'cancelled before it started', now)
  }

  /**
   * Permanently refuses the waiting tasks of a removed entry, so that the entry that takes over can be informed that
   * they did not start.
   */
  withdrawWaiting (matches: (holder: Instance) => boolean, detail: string, now: number): void {
    if (!this.#guards.fence) return
    for (const number of this.#ledger.queuedNumbers(matches)) {
      this.#slots.cancelWaiting(number)
      this.#dispatches.delete(number)
      this.#ledger.withdraw(number, detail, now)
    }
  }

  #start (number: number, now: number): void {
    const dispatch = this.#dispatches.get(number)
    if (dispatch === undefined) return
    this.#ledger.start(number, now)
    this.#running.add(number)
    this.#started += 1
    this.#emit({ type: 'startTask', task: number, dispatch })
  }

  /** Starts the next waiting tasks. While the agent is isolated they are refused, as they would be on arrival. */
  #startNext (numbers: number[], now: number): void {
    for (const number of numbers) {
      if (!this.#guards.isolation || this.#mayStart(now)) {
        this.#start(number, now)
        continue
      }
      this.#returnUnstarted(number, 'the agent is cut off from the view', now)
      this.#startNext(this.#slots.release(number), now)
    }
  }

  #returnUnstarted (number: number, detail: string, now: number): void {
    const result = this.#ledger.withdraw(number, detail, now)
    this.#dispatches.delete(number)
    if (result === undefined) return
    const holder = this.#ledger.holderOf(result.job, result.index)
    if (holder !== undefined) this.#send(holder, { case: 'result', value: result })
  }
}
