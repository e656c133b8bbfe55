/** Reports to entries about incarnations of a target that were lost while tasks ran there. */
import type { AgentContext } from './agentcontext.ts'
import type { HeldTasks } from './heldtasks.ts'
import type { LostTask } from './crashmemory.ts'
import type { AgentMessage, CrashRecord } from './messages.ts'
import type { TargetWatch } from './targetwatch.ts'
import { CrashMemory } from './crashmemory.ts'
import { CRASHES_TO_REFUSE } from './crashdefaults.ts'
import { Cause } from './messages.ts'
import { IncarnationEnd } from './taskruns.ts'

export interface CrashReportsDependencies {
  context: AgentContext
  held: HeldTasks
  target: TargetWatch
  sendToAll: (message: AgentMessage) => void
}

export class CrashReports {
  readonly #dependencies: CrashReportsDependencies
  readonly #crashes = new CrashMemory()
  /** Incarnation that refused connections until all its tasks had expired. If a new one follows, it has crashed. */
  #unreachable: string | undefined

  constructor (dependencies: CrashReportsDependencies) {
    this.#dependencies = dependencies
  }

  /** All current records, for an entry that has connected. */
  records (now: number): CrashRecord[] {
    return this.#crashes.records(now)
  }

  /** Whether the task is blocked because it has crashed this target too often. */
  blocks (task: string, now: number): boolean {
    return this.#crashes.crashesOf(task, now) >= CRASHES_TO_REFUSE
  }

  /** Handles the loss of the current incarnation. Returns the cause with which its tasks end. A crash is reported to entries before these ends. */
  lost (ending: IncarnationEnd, now: number): Cause {
    const { context: { policy }, target: { facts, deregistered } } = this.#dependencies
    if (facts === undefined) return Cause.TargetLost
    if (ending === IncarnationEnd.Unknown) this.#unreachable = facts.instance
    if (!policy.isolatesSuspects || facts.leaving || deregistered || ending !== IncarnationEnd.Replaced) return Cause.TargetLost
    this.#logAndSend('target crashed under tasks', this.#crashes.crashed(facts.instance, this.#heldTasks(), now))
    return Cause.Crashed
  }

  /** Reports that tasks expire because the target does not respond. This proves no crash, but the tasks count as suspects until the target answers. */
  lapsed (now: number): void {
    const { context: { policy }, target: { facts, lease, deregistered } } = this.#dependencies
    if (!policy.isolatesSuspects || facts === undefined || facts.leaving || deregistered || !lease.silent) return
    this.#logAndSend('target unresponsive until its tasks expired', this.#crashes.silent(facts.instance, this.#heldTasks(), now))
  }

  /** Withdraws the reports about an incarnation that answers. */
  answered (instance: string, now: number): void {
    this.#logAndSend('target had not crashed', this.#crashes.answered(instance, now))
  }

  /** Handles the start of an incarnation, which may be the one that was unreachable. */
  begun (instance: string, now: number): void {
    const before = this.#unreachable
    this.#unreachable = undefined
    if (before !== undefined && before !== instance) this.#logAndSend('target crashed under tasks', this.#crashes.crashed(before, [], now))
  }

  #logAndSend (what: string, records: readonly CrashRecord[]): void {
    if (records.length === 0) return
    this.#dependencies.context.note(what, { instance: records[0]?.instance, tasks: records.map(({ task }) => task) })
    this.#dependencies.sendToAll({ type: 'crashes', records: [...records] })
  }

  #heldTasks (): LostTask[] {
    const { held, target } = this.#dependencies
    return held.all().map(task => ({ task: task.order.task, confirmed: target.hasStarted(task) }))
  }
}
