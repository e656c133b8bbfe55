/** The tasks at an agent, from the place that each is given to its end, each step in the ledger first. */
import type { AgentGuards } from './agentguards.ts'
import type { AgentEffect, AgentEvent } from './agenttypes.ts'
import type { Ledger } from './ledger.ts'
import type { AgentToEntry, Dispatch, Instance, TaskReference } from './messages.ts'
import type { Slots } from './slots.ts'

export interface AgentTasksParts {
  slots: Slots
  ledger: Ledger
  guards: AgentGuards
  /** Whether the agent is not cut off from the view. */
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
  /** By number in the ledger: those that wait for a slot, and those that run. */
  readonly #dispatches = new Map<number, Dispatch>()
  readonly #running = new Set<number>()
  #started = 0
  #refused = 0

  constructor (parts: AgentTasksParts) {
    this.#slots = parts.slots
    this.#ledger = parts.ledger
    this.#guards = parts.guards
    this.#mayStart = parts.mayStart
    this.#emit = parts.emit
    this.#send = parts.send
  }

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#dispatches.size - this.#running.size
  }

  /** Tasks started since the agent began. */
  get started (): number {
    return this.#started
  }

  /** Dispatches refused since the agent began. */
  get refused (): number {
    return this.#refused
  }

  /** Starts a task that nothing stands against, lets it wait, or refuses it when no place is free. */
  place (entry: Instance, dispatch: Dispatch, now: number): void {
    const number = this.#ledger.accept(dispatch, entry, now)
    const { needs, runMilliseconds, patienceMilliseconds } = dispatch
    const place = this.#slots.offer({ id: number, entry, needs, runMilliseconds, patienceMilliseconds }, now)
    if (place === 'full') {
      const result = this.#ledger.withdraw(number, 'no slot is free', now)
      this.#refused += 1
      if (result !== undefined) this.#send(entry, { case: 'result', value: result })
      return
    }
    this.#dispatches.set(number, dispatch)
    if (place === 'start') this.#start(number, now)
  }

  /** Refuses a dispatch for good: a late copy of it stays refused. */
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

  /** Aborts a task that runs, and gives one that waits back as not started. */
  cancel (task: TaskReference, now: number): void {
    const number = this.#ledger.numberOf(task)
    if (number === undefined) return
    if (this.#running.has(number)) {
      this.#emit({ type: 'abortTask', task: number })
      return
    }
    this.#slots.cancelWaiting(number)
    this.#giveBack(number, 'cancelled before it started', now)
  }

  /**
   * Waiting tasks of an entry that was removed are refused for good, so that the entry that takes
   * over may be told that they did not start.
   */
  withdrawWaiting (concerns: (holder: Instance) => boolean, detail: string, now: number): void {
    if (!this.#guards.fence) return
    for (const number of this.#ledger.waitingOf(concerns)) {
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

  /** A task that waited while the agent was cut off is refused, as it would be on arrival. */
  #startNext (numbers: number[], now: number): void {
    for (const number of numbers) {
      if (!this.#guards.isolation || this.#mayStart(now)) {
        this.#start(number, now)
        continue
      }
      this.#giveBack(number, 'the agent is cut off from the view', now)
      this.#startNext(this.#slots.release(number), now)
    }
  }

  #giveBack (number: number, detail: string, now: number): void {
    const result = this.#ledger.withdraw(number, detail, now)
    this.#dispatches.delete(number)
    if (result === undefined) return
    const holder = this.#ledger.holderOf(result.job, result.index)
    if (holder !== undefined) this.#send(holder, { case: 'result', value: result })
  }
}
