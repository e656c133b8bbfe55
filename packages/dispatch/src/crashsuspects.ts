/**
 * Tracks which tasks an entry suspects of crashing their targets, from the reports of the agents.
 *
 * When a target crashes, every task on it becomes a suspect. Suspects are started apart from each other, so that the
 * next crash points to one of them. Two crashed targets confirm a task as the cause only if almost nothing else ran on
 * one of them, and neither crashed together with many others.
 */
import type { CrashRecord } from './messages.ts'
import {
  MAX_TASKS_BESIDE, CRASH_RETENTION_MILLISECONDS, MASS_LOSS_MIN_TARGETS, MASS_LOSS_WINDOW_MILLISECONDS, MASS_LOSS_FRACTION,
  CRASHES_TO_CONFIRM, CRASHES_TO_BLOCK, MAX_SUSPECTS
} from './crashdefaults.ts'
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
  /** Never again: it is confirmed as the cause of crashes, or was on too many crashed targets. */
  Blocked = 'givenUp'
}

/** One incarnation of a target that was lost while a task was on it. Logged as evidence. */
interface TargetLoss {
  beside: number
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
  readonly #targets: () => number
  #blockedTasks = 0

  /** @param targets returns the number of targets that this entry has links to */
  constructor (targets: () => number) {
    this.#targets = targets
  }

  status (): CrashStatus {
    const crashes = [...this.#lostIncarnations.values()].filter(({ evidence }) => evidence === CrashEvidence.Crashed).length
    return { suspects: this.#losses.size, convictions: this.#blockedTasks, crashes }
  }

  /** Records an agent's reports on its target; a later report on the same incarnation replaces the earlier one. */
  note (agent: string, records: readonly CrashRecord[], now: number): void {
    for (const { task, instance, beside, evidence, ago } of records) {
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
      losses.set(incarnation, { beside, evidence, at: known?.at ?? at })
      this.#losses.set(task, losses)
      if (this.#losses.size > MAX_SUSPECTS) this.#removeOldest()
    }
  }

  verdict (task: string, now: number): CrashVerdict {
    const losses = [...this.#losses.get(task)?.values() ?? []]
    if (losses.length === 0) return CrashVerdict.Free
    const confirmedCrashes = losses.filter(({ evidence }) => evidence === CrashEvidence.Crashed)
    if (confirmedCrashes.length >= CRASHES_TO_BLOCK) return CrashVerdict.Blocked
    if (losses.length >= CRASHES_TO_BLOCK) return CrashVerdict.Withheld
    if (losses.length < CRASHES_TO_CONFIRM) return CrashVerdict.Apart
    const separateLosses = losses.filter(({ at }) => !this.#isInMassLoss(at))
    const nearlyAlone = separateLosses.some(({ beside }) => beside <= MAX_TASKS_BESIDE)
    if (separateLosses.length < CRASHES_TO_CONFIRM || !nearlyAlone) return CrashVerdict.Alone
    const inconclusive = separateLosses.some(({ evidence, at }) => evidence === CrashEvidence.Unresponsive || now - at < MASS_LOSS_WINDOW_MILLISECONDS)
    return inconclusive ? CrashVerdict.Withheld : CrashVerdict.Blocked
  }

  /** Time until the oldest loss no longer counts against a task, in milliseconds. */
  blockedFor (task: string, now: number): number {
    const oldest = Math.min(...[...this.#losses.get(task)?.values() ?? []].map(({ at }) => at))
    return Math.max(0, oldest + CRASH_RETENTION_MILLISECONDS - now)
  }

  /** Losses recorded against a task, for the log. */
  evidenceOf (task: string): Array<{ life: string } & TargetLoss> {
    return [...this.#losses.get(task) ?? []].map(([life, loss]) => ({ life, ...loss }))
  }

  noteBlocked (): void {
    this.#blockedTasks += 1
  }

  tick (now: number): void {
    for (const [incarnation, { at }] of this.#lostIncarnations) if (now - at >= CRASH_RETENTION_MILLISECONDS) this.#lostIncarnations.delete(incarnation)
    for (const [task, losses] of this.#losses) {
      for (const [incarnation, { at }] of losses) if (now - at >= CRASH_RETENTION_MILLISECONDS) losses.delete(incarnation)
      if (losses.size === 0) this.#losses.delete(task)
    }
  }

  /** Whether so many targets crashed or stopped responding at about that time that a task is not the likely cause. */
  #isInMassLoss (at: number): boolean {
    const minTargets = Math.max(MASS_LOSS_MIN_TARGETS, MASS_LOSS_FRACTION * this.#targets())
    let lostTargets = 0
    for (const other of this.#lostIncarnations.values()) if (Math.abs(other.at - at) < MASS_LOSS_WINDOW_MILLISECONDS) lostTargets += 1
    return lostTargets >= minTargets
  }

  #removeLoss (task: string, incarnation: string): void {
    const losses = this.#losses.get(task)
    if (losses === undefined) return
    losses.delete(incarnation)
    if (losses.size === 0) this.#losses.delete(task)
  }

  #removeOldest (): void {
    const oldest = this.#losses.keys().next().value
    if (oldest !== undefined) this.#losses.delete(oldest)
  }
}
