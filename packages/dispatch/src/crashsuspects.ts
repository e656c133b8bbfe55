/**
 * Tracks which tasks an entry suspects of crashing their targets, from the reports of the agents.
 *
 * When a target crashes, every task on it becomes a suspect. Suspects are started apart from each other, so that the
 * next crash points to one of them. Two crashes prove nothing: a sound task that is started apart can lose its target as
 * well. Losses of targets that never confirmed the start of the task count for less, since it may not have run there.
 */
import type { CrashRecord } from './messages.ts'
import { CRASH_RETENTION_MILLISECONDS, CRASHES_TO_BLOCK, LOSSES_TO_BLOCK, MAX_SUSPECTS } from './crashdefaults.ts'
import { CrashEvidence } from './messages.ts'

/** How a task may be started. */
export enum CrashVerdict {
  /** Without restrictions. */
  Free = 'free',
  /** At a target without another suspect. */
  Apart = 'apart',
  /** At a target that takes nothing else meanwhile. */
  Alone = 'alone',
  /** Not until more is known about the targets that were lost under it. */
  Withheld = 'withheld',
  /** Not until its losses no longer count. */
  Blocked = 'givenUp'
}

/** One incarnation of a target that was lost while a task was on it. Logged as evidence. */
interface TargetLoss {
  beside: number
  /** Whether the target had confirmed the start of the task. */
  confirmed: boolean
  evidence: CrashEvidence
  at: number
}

/** Figures for status pages. */
export interface CrashStatus {
  /** Tasks that were on a recently lost target. */
  suspects: number
  /** Tasks blocked since this entry started. */
  convictions: number
  /** Incarnations of targets that crashed recently. */
  crashes: number
}

export class CrashSuspects {
  /** Losses of each task, by agent and incarnation of the target. */
  readonly #losses = new Map<string, Map<string, TargetLoss>>()
  /** Recently lost incarnations: when each was lost, and the evidence. */
  readonly #lostIncarnations = new Map<string, { at: number, evidence: CrashEvidence }>()
  /** Tasks that are blocked and have losses that still count. */
  readonly #blocked = new Set<string>()
  #blockedTasks = 0

  status (): CrashStatus {
    const crashes = [...this.#lostIncarnations.values()].filter(({ evidence }) => evidence === CrashEvidence.Crashed).length
    return { suspects: this.#losses.size, convictions: this.#blockedTasks, crashes }
  }

  /** Records an agent's reports on its target; a later report on the same incarnation replaces the earlier one. */
  note (agent: string, records: readonly CrashRecord[], now: number): void {
    for (const { task, instance, beside, unconfirmed, evidence: stated, ago } of records) {
      const evidence = unconfirmed ?? stated
      const at = now - ago
      const incarnation = `${agent}/${instance}`
      if (evidence === CrashEvidence.Answered) {
        this.#lostIncarnations.delete(incarnation)
        this.#removeLoss(task, incarnation)
        continue
      }
      this.#lostIncarnations.set(incarnation, { at: this.#lostIncarnations.get(incarnation)?.at ?? at, evidence })
      const losses = this.#losses.get(task) ?? new Map<string, TargetLoss>()
      const known = losses.get(incarnation)
      losses.set(incarnation, { beside, confirmed: unconfirmed === undefined, evidence, at: known?.at ?? at })
      this.#losses.set(task, losses)
      if (this.#losses.size > MAX_SUSPECTS) this.#removeOldest()
    }
  }

  verdict (task: string): CrashVerdict {
    return this.#verdictOn([...this.#losses.get(task)?.values() ?? []])
  }

  #verdictOn (losses: readonly TargetLoss[]): CrashVerdict {
    if (losses.length === 0) return CrashVerdict.Free
    if (losses.length < CRASHES_TO_BLOCK) return CrashVerdict.Apart
    const confirmed = losses.filter(loss => loss.confirmed)
    if (confirmed.filter(isSettled).length >= CRASHES_TO_BLOCK) return CrashVerdict.Blocked
    if (confirmed.length < CRASHES_TO_BLOCK && losses.length < LOSSES_TO_BLOCK) return CrashVerdict.Alone
    return losses.filter(isSettled).length >= LOSSES_TO_BLOCK ? CrashVerdict.Blocked : CrashVerdict.Withheld
  }

  /** Time until enough losses are too old to count for the task to be blocked no more, in milliseconds. */
  blockedFor (task: string, now: number): number {
    const losses = [...this.#losses.get(task)?.values() ?? []].sort((one, other) => one.at - other.at)
    const expired = losses.find((_loss, index) => this.#verdictOn(losses.slice(index + 1)) !== CrashVerdict.Blocked)
    return Math.max(0, (expired?.at ?? now) + CRASH_RETENTION_MILLISECONDS - now)
  }

  /** Losses recorded against a task, for the log. */
  evidenceOf (task: string): Array<{ life: string } & TargetLoss> {
    return [...this.#losses.get(task) ?? []].map(([life, loss]) => ({ life, ...loss }))
  }

  /** Counts a task as blocked. Returns false if it was counted before, as for a job that is submitted again. */
  noteBlocked (task: string): boolean {
    if (this.#blocked.has(task)) return false
    this.#blocked.add(task)
    this.#blockedTasks += 1
    return true
  }

  tick (now: number): void {
    for (const [incarnation, { at }] of this.#lostIncarnations) if (now - at >= CRASH_RETENTION_MILLISECONDS) this.#lostIncarnations.delete(incarnation)
    for (const [task, losses] of this.#losses) {
      for (const [incarnation, { at }] of losses) if (now - at >= CRASH_RETENTION_MILLISECONDS) losses.delete(incarnation)
      if (losses.size === 0) this.#forget(task)
    }
  }

  #removeLoss (task: string, incarnation: string): void {
    const losses = this.#losses.get(task)
    if (losses === undefined) return
    losses.delete(incarnation)
    if (losses.size === 0) this.#forget(task)
  }

  #removeOldest (): void {
    const oldest = this.#losses.keys().next().value
    if (oldest !== undefined) this.#forget(oldest)
  }

  #forget (task: string): void {
    this.#losses.delete(task)
    this.#blocked.delete(task)
  }
}

/** Whether the target can't answer any more. */
function isSettled ({ evidence }: TargetLoss): boolean {
  return evidence === CrashEvidence.Crashed
}
