/** A target's notice that it leaves: since when it is known, when the target is gone, and what may still start there. */
import { MIN_NOTICE_CHANGE_MILLISECONDS } from './capacitydefaults.ts'
import { START_TIMEOUT_MILLISECONDS } from './defaults.ts'

/** What an announcement says of it. */
export interface Notice {
  leaving: boolean
  /** Time left at least, in milliseconds; undefined when it is not stated. */
  remaining?: number | undefined
}

export class TargetNotice {
  /** Time after the acknowledgement of a notice within which tasks may start, in milliseconds. */
  readonly #drain: number
  /** An announcement has said that it stays: only then is the first that says otherwise known to be the first. */
  #stayed = false
  #leaving = false
  #acknowledgedAt = Number.NEGATIVE_INFINITY
  #goneAt = Number.NEGATIVE_INFINITY

  constructor (drain: number) {
    this.#drain = drain
  }

  /** Takes an announcement in that is acknowledged now; tells whether the end has moved. */
  note ({ leaving, remaining }: Notice, now: number): boolean {
    const before = this.#goneAt
    if (leaving && !this.#leaving) this.#acknowledgedAt = this.#stayed ? now : Number.NEGATIVE_INFINITY
    this.#stayed ||= !leaving
    this.#leaving = leaving
    this.#goneAt = leaving && remaining !== undefined ? now + remaining : Number.NEGATIVE_INFINITY
    return before !== this.#goneAt && !(Math.abs(before - this.#goneAt) < MIN_NOTICE_CHANGE_MILLISECONDS)
  }

  /** The process was suspended, and its clock with it: how long ago the notice was acknowledged is not known any more. */
  noteSuspended (): void {
    this.#acknowledgedAt = Number.NEGATIVE_INFINITY
    this.#goneAt = Number.NEGATIVE_INFINITY
  }

  /** Whether a task may start now that runs for so long. An order that counts as unanswered may be carried out until then. */
  admits (expected: number, now: number, guarded = true): boolean {
    const inTime = !guarded || now < this.#acknowledgedAt + this.#drain - START_TIMEOUT_MILLISECONDS
    return inTime && now + expected < this.#goneAt
  }

  /** Time left, in milliseconds, while tasks may still start; undefined when none may. */
  remaining (now: number, guarded = true): number | undefined {
    return this.admits(0, now, guarded) ? Math.floor(this.#goneAt - now) : undefined
  }
}
