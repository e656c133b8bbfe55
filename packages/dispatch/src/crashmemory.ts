/** Records of the tasks that were on a target when it crashed or stopped responding, kept by its agent. */
import type { CrashRecord } from './messages.ts'
import { CRASH_RETENTION_MILLISECONDS, MAX_CRASH_RECORDS } from './crashdefaults.ts'
import { CrashEvidence } from './messages.ts'

/** A task that its agent holds at a target that is lost. */
export interface LostTask {
  task: string
  /** Whether the target has confirmed that it started the task. */
  confirmed: boolean
}

interface RememberedCrash {
  task: string
  instance: string
  beside: number
  evidence: CrashEvidence
  at: number
}

export class CrashMemory {
  readonly #records = new Map<string, RememberedCrash>()

  /**
   * Records the crash of an incarnation. Returns the records to send to entries, including those of tasks that had expired
   * while the incarnation did not respond.
   */
  crashed (instance: string, tasks: readonly LostTask[], now: number): CrashRecord[] {
    const unresponsive = this.#settle(instance, [CrashEvidence.Unresponsive], CrashEvidence.Crashed, now)
    return [...unresponsive, ...this.#note(instance, this.#unknown(instance, tasks), CrashEvidence.Crashed, now)]
  }

  /** Records that an incarnation does not respond and its tasks begin to expire. Existing records are not changed. */
  silent (instance: string, tasks: readonly LostTask[], now: number): CrashRecord[] {
    return this.#note(instance, this.#unknown(instance, tasks), CrashEvidence.Unresponsive, now)
  }

  /** Drops the records of an incarnation that answers again, so that it had not crashed. Returns them for the entries. */
  answered (instance: string, now: number): CrashRecord[] {
    const records = this.#settle(instance, [CrashEvidence.Unresponsive, CrashEvidence.Unconfirmed], CrashEvidence.Answered, now)
    for (const { task } of records) this.#records.delete(keyOf(task, instance))
    return records
  }

  /** Number of incarnations of the target that crashed while the task was there. */
  crashesOf (task: string, now: number): number {
    this.#forgetOld(now)
    let crashes = 0
    for (const record of this.#records.values()) if (record.task === task && record.evidence === CrashEvidence.Crashed) crashes += 1
    return crashes
  }

  /** All current records, for an entry that has connected. */
  records (now: number): CrashRecord[] {
    this.#forgetOld(now)
    return [...this.#records.values()].map(record => crashRecordOf(record, now))
  }

  /** Tasks without a record for that incarnation. */
  #unknown (instance: string, tasks: readonly LostTask[]): LostTask[] {
    return tasks.filter(({ task }) => !this.#records.has(keyOf(task, instance)))
  }

  /** @param evidence for the tasks that the target has confirmed */
  #note (instance: string, tasks: readonly LostTask[], evidence: CrashEvidence, now: number): CrashRecord[] {
    this.#forgetOld(now)
    return tasks.map(({ task, confirmed }) => {
      const record = { task, instance, beside: tasks.length - 1, evidence: confirmed ? evidence : CrashEvidence.Unconfirmed, at: now }
      this.#records.set(keyOf(task, instance), record)
      if (this.#records.size > MAX_CRASH_RECORDS) this.#forgetOldest()
      return crashRecordOf(record, now)
    })
  }

  /** Replaces the evidence of an incarnation's records where it is one of `open`. Returns these records. */
  #settle (instance: string, open: readonly CrashEvidence[], evidence: CrashEvidence, now: number): CrashRecord[] {
    const settled: CrashRecord[] = []
    for (const record of this.#records.values()) {
      if (record.instance !== instance || !open.includes(record.evidence)) continue
      record.evidence = evidence
      settled.push(crashRecordOf(record, now))
    }
    return settled
  }

  /** Drops expired records. The map is in order of time. */
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

function crashRecordOf ({ task, instance, beside, evidence, at }: RememberedCrash, now: number): CrashRecord {
  return { task, instance, beside, evidence, ago: Math.max(0, Math.round(now - at)) }
}
