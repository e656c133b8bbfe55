/** What an agent remembers of the tasks that were on its target when it went down or fell silent. */
import type { CrashRecord } from './messages.ts'
import { CRASH_RETENTION_MILLISECONDS, MAX_CRASH_RECORDS } from './crashdefaults.ts'
import { CrashEvidence } from './messages.ts'

interface Remembered {
  task: string
  instance: string
  beside: number
  evidence: CrashEvidence
  at: number
}

export class CrashMemory {
  readonly #records = new Map<string, Remembered>()

  /** The life went down by itself; gives what entries are to be told, also of tasks that had lapsed while it was silent. */
  crashed (instance: string, tasks: readonly string[], now: number): CrashRecord[] {
    const silent = this.#settle(instance, CrashEvidence.Crashed, now)
    return [...silent, ...this.#note(instance, this.#unknown(instance, tasks), CrashEvidence.Crashed, now)]
  }

  /** The life is silent, and what runs there begins to lapse; what is known of it already stays as it is. */
  silent (instance: string, tasks: readonly string[], now: number): CrashRecord[] {
    return this.#note(instance, this.#unknown(instance, tasks), CrashEvidence.Silent, now)
  }

  /** The life answers again: it had not gone down. */
  answered (instance: string, now: number): CrashRecord[] {
    const records = this.#settle(instance, CrashEvidence.Answered, now)
    for (const { task } of records) this.#records.delete(keyOf(task, instance))
    return records
  }

  /** Lives of the target that went down under the task. */
  crashesOf (task: string, now: number): number {
    this.#forgetOld(now)
    let crashes = 0
    for (const record of this.#records.values()) if (record.task === task && record.evidence === CrashEvidence.Crashed) crashes += 1
    return crashes
  }

  /** All that is remembered, for an entry that has linked. */
  records (now: number): CrashRecord[] {
    this.#forgetOld(now)
    return [...this.#records.values()].map(record => told(record, now))
  }

  /** Tasks that nothing is known of in that life. */
  #unknown (instance: string, tasks: readonly string[]): string[] {
    return tasks.filter(task => !this.#records.has(keyOf(task, instance)))
  }

  #note (instance: string, tasks: readonly string[], evidence: CrashEvidence, now: number): CrashRecord[] {
    this.#forgetOld(now)
    return tasks.map(task => {
      const record = { task, instance, beside: tasks.length - 1, evidence, at: now }
      this.#records.set(keyOf(task, instance), record)
      if (this.#records.size > MAX_CRASH_RECORDS) this.#forgetOldest()
      return told(record, now)
    })
  }

  #settle (instance: string, evidence: CrashEvidence, now: number): CrashRecord[] {
    const settled: CrashRecord[] = []
    for (const record of this.#records.values()) {
      if (record.instance !== instance || record.evidence !== CrashEvidence.Silent) continue
      record.evidence = evidence
      settled.push(told(record, now))
    }
    return settled
  }

  /** Records stand in the order of their times. */
  #forgetOld (now: number): void {
    for (const [key, { at }] of this.#records) {
      if (now - at < CRASH_RETENTION_MILLISECONDS) return
      this.#records.delete(key)
    }
  }

  #forgetOldest (): void {
    const oldest = this.#records.keys().next().value
    if (oldest !== undefined) this.#records.delete(oldest)
  }
}

function keyOf (task: string, instance: string): string {
  return `${task}@${instance}`
}

function told ({ task, instance, beside, evidence, at }: Remembered, now: number): CrashRecord {
  return { task, instance, beside, evidence, ago: Math.max(0, Math.round(now - at)) }
}
