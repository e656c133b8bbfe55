/**
 * Which tasks an entry suspects of crashing their targets, by what the agents tell.
 *
 * When a target goes down, all tasks on it are suspects together. Each is started again alone, so that the next crash names
 * one of them. Two targets that went down under a task convict it only if one of them had hardly anything else on it, and
 * neither went down together with many others.
 */
import type { CrashRecord } from './messages.ts'
import {
  CRASH_COMPANIONS, CRASH_MEMORY_MILLISECONDS, CRASH_WAVE_LEAST, CRASH_WAVE_MILLISECONDS, CRASH_WAVE_PART,
  CRASHES_BEFORE_CONVICTION, CRASHES_BEFORE_GIVING_UP, SUSPECTS_REMEMBERED
} from './crashdefaults.ts'
import { CrashEvidence } from './messages.ts'

/** How a task may be started. */
export enum CrashVerdict {
  /** Like any other. */
  Free = 'free',
  /** At a target without another suspect. */
  Apart = 'apart',
  /** At a target that takes nothing else meanwhile. */
  Alone = 'alone',
  /** Not before more is known of the targets that it was on. */
  Withheld = 'withheld',
  /** Never again. */
  GivenUp = 'givenUp'
}

/** One life of a target that was lost under a task. */
interface Loss {
  beside: number
  evidence: CrashEvidence
  at: number
}

/** Figures for status pages. */
export interface CrashStatus {
  /** Tasks under which a target was lost lately. */
  suspects: number
  /** Tasks given up since the start of this entry. */
  convictions: number
  /** Lives of targets that went down lately. */
  crashes: number
}

export class CrashSuspects {
  /** Losses of each task, by agent and life of the target. */
  readonly #losses = new Map<string, Map<string, Loss>>()
  /** When each life was lost lately, and what is known of it. */
  readonly #lives = new Map<string, { at: number, evidence: CrashEvidence }>()
  readonly #targets: () => number
  #convictions = 0

  /** @param targets number of targets that this entry knows */
  constructor (targets: () => number) {
    this.#targets = targets
  }

  status (): CrashStatus {
    const crashes = [...this.#lives.values()].filter(({ evidence }) => evidence === CrashEvidence.Crashed).length
    return { suspects: this.#losses.size, convictions: this.#convictions, crashes }
  }

  /** Takes in what an agent tells of its target; an older word on the same life is replaced. */
  note (agent: string, records: readonly CrashRecord[], now: number): void {
    for (const { task, instance, beside, evidence, ago } of records) {
      const at = now - ago
      const life = `${agent}/${instance}`
      if (evidence === CrashEvidence.Answered) {
        this.#lives.delete(life)
        this.#forget(task, life)
        continue
      }
      this.#lives.set(life, { at: this.#lives.get(life)?.at ?? at, evidence })
      const losses = this.#losses.get(task) ?? new Map<string, Loss>()
      const known = losses.get(life)
      losses.set(life, { beside, evidence, at: known?.at ?? at })
      this.#losses.set(task, losses)
      if (this.#losses.size > SUSPECTS_REMEMBERED) this.#forgetOldest()
    }
  }

  verdict (task: string, now: number): CrashVerdict {
    const losses = [...this.#losses.get(task)?.values() ?? []]
    if (losses.length === 0) return CrashVerdict.Free
    const proven = losses.filter(({ evidence }) => evidence === CrashEvidence.Crashed)
    if (proven.length >= CRASHES_BEFORE_GIVING_UP) return CrashVerdict.GivenUp
    if (losses.length >= CRASHES_BEFORE_GIVING_UP) return CrashVerdict.Withheld
    if (losses.length < CRASHES_BEFORE_CONVICTION) return CrashVerdict.Apart
    const against = losses.filter(({ at }) => !this.#inWave(at))
    const named = against.some(({ beside }) => beside <= CRASH_COMPANIONS)
    if (against.length < CRASHES_BEFORE_CONVICTION || !named) return CrashVerdict.Alone
    const open = against.some(({ evidence, at }) => evidence === CrashEvidence.Silent || now - at < CRASH_WAVE_MILLISECONDS)
    return open ? CrashVerdict.Withheld : CrashVerdict.GivenUp
  }

  /** What is held against a task, for the log. */
  evidenceOf (task: string): Array<{ life: string } & Loss> {
    return [...this.#losses.get(task) ?? []].map(([life, loss]) => ({ life, ...loss }))
  }

  noteConviction (): void {
    this.#convictions += 1
  }

  tick (now: number): void {
    for (const [life, { at }] of this.#lives) if (now - at >= CRASH_MEMORY_MILLISECONDS) this.#lives.delete(life)
    for (const [task, losses] of this.#losses) {
      for (const [life, { at }] of losses) if (now - at >= CRASH_MEMORY_MILLISECONDS) losses.delete(life)
      if (losses.size === 0) this.#losses.delete(task)
    }
  }

  /** Whether so many targets went down or fell silent about that time that it had another cause than a task. */
  #inWave (at: number): boolean {
    const many = Math.max(CRASH_WAVE_LEAST, CRASH_WAVE_PART * this.#targets())
    let near = 0
    for (const other of this.#lives.values()) if (Math.abs(other.at - at) < CRASH_WAVE_MILLISECONDS) near += 1
    return near >= many
  }

  #forget (task: string, life: string): void {
    const losses = this.#losses.get(task)
    if (losses === undefined) return
    losses.delete(life)
    if (losses.size === 0) this.#losses.delete(task)
  }

  #forgetOldest (): void {
    const oldest = this.#losses.keys().next().value
    if (oldest !== undefined) this.#losses.delete(oldest)
  }
}
