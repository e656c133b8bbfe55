/** Receipts of jobs that other entries run: that each job exists, and which entry runs it. */
import type { Answer, Instance, JobKey, Receipt } from './messages.ts'

interface HeldReceipt extends Receipt {
  keptAt: number
}

/** Holds receipts for the retention time. */
export class Receipts {
  readonly #held = new Map<JobKey, HeldReceipt>()
  readonly #retention: number

  constructor (retention: number) {
    this.#retention = retention
  }

  get size (): number {
    return this.#held.size
  }

  get (job: JobKey): Receipt | undefined {
    return this.#held.get(job)
  }

  keep (receipt: Receipt, now: number): void {
    this.#held.delete(receipt.job)
    this.#held.set(receipt.job, { ...receipt, keptAt: now })
  }

  /** Removes the receipt of a job that provably did not run, if it still names `executor`. */
  drop (job: JobKey, executor: Instance): void {
    if (this.#held.get(job)?.executor === executor) this.#held.delete(job)
  }

  /** Removes the receipts that name `executor` and for which `stale` returns true. */
  dropStale (executor: Instance, stale: (job: JobKey) => boolean): void {
    for (const [job, receipt] of this.#held) {
      if (receipt.executor === executor && stale(job)) this.#held.delete(job)
    }
  }

  delete (job: JobKey): void {
    this.#held.delete(job)
  }

  /** All receipts in unspecified order, each with the answer if one was handed over. */
  * values (): IterableIterator<Receipt & { answer?: Answer }> {
    yield * this.#held.values()
  }

  expire (now: number): void {
    for (const [job, receipt] of this.#held) {
      if (now - receipt.keptAt <= this.#retention) return
      this.#held.delete(job)
    }
  }
}
