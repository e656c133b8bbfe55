/** What an agent tells its entries of lives of its target that were lost under tasks. */
import type { AgentContext } from './agentcontext.ts'
import type { HeldTasks } from './heldtasks.ts'
import type { AgentMessage, CrashRecord } from './messages.ts'
import type { TargetWatch } from './targetwatch.ts'
import { CrashMemory } from './crashmemory.ts'
import { CRASHES_TO_CONFIRM } from './crashdefaults.ts'
import { Cause } from './messages.ts'
import { LifeEnd } from './taskruns.ts'

export interface CrashReportsParts {
  context: AgentContext
  held: HeldTasks
  target: TargetWatch
  tellAll: (message: AgentMessage) => void
}

export class CrashReports {
  readonly #parts: CrashReportsParts
  readonly #crashes = new CrashMemory()
  /** Life that refused connections until all that ran there had lapsed: when another one follows, it has crashed. */
  #unreachable: string | undefined

  constructor (parts: CrashReportsParts) {
    this.#parts = parts
  }

  /** All that is remembered, for an entry that has linked. */
  records (now: number): CrashRecord[] {
    return this.#crashes.records(now)
  }

  /** Whether targets have crashed under the task as often as it may be started. */
  bars (task: string, now: number): boolean {
    return this.#crashes.crashesOf(task, now) >= CRASHES_TO_CONFIRM
  }

  /** The life is over, or does not answer; gives the cause for which its tasks end. Entries hear of a crash before these ends. */
  lost (ending: LifeEnd, now: number): Cause {
    const { context: { policy }, target: { facts, deregistered } } = this.#parts
    if (facts === undefined) return Cause.TargetLost
    if (ending === LifeEnd.Unknown) this.#unreachable = facts.instance
    if (!policy.isolatesSuspects || facts.leaving || deregistered || ending !== LifeEnd.Replaced) return Cause.TargetLost
    this.#tell('target crashed under tasks', this.#crashes.crashed(facts.instance, this.#heldNames(), now))
    return Cause.Crashed
  }

  /** Tasks begin to lapse. Silence proves no crash, but the tasks are started again as if it did until the target is heard of. */
  lapsed (now: number): void {
    const { context: { policy }, target: { facts, lease, deregistered } } = this.#parts
    if (!policy.isolatesSuspects || facts === undefined || facts.leaving || deregistered || !lease.silent) return
    this.#tell('target silent until its tasks lapsed', this.#crashes.silent(facts.instance, this.#heldNames(), now))
  }

  /** The life answers. */
  answered (instance: string, now: number): void {
    this.#tell('target had not crashed', this.#crashes.answered(instance, now))
  }

  /** A life has begun, or is heard of again. */
  begun (instance: string, now: number): void {
    const before = this.#unreachable
    this.#unreachable = undefined
    if (before !== undefined && before !== instance) this.#tell('target crashed under tasks', this.#crashes.crashed(before, [], now))
  }

  #tell (what: string, records: readonly CrashRecord[]): void {
    if (records.length === 0) return
    this.#parts.context.note(what, { instance: records[0]?.instance, tasks: records.map(({ task }) => task) })
    this.#parts.tellAll({ type: 'crashes', records: [...records] })
  }

  #heldNames (): string[] {
    return this.#parts.held.all().map(({ order }) => order.task)
  }
}
