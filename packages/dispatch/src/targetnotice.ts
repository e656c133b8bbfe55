/** Leave notice of a target: when it was acknowledged, when the target ends, and which tasks may still start there. */
import { MIN_NOTICE_CHANGE_MILLISECONDS } from './capacitydefaults.ts'
import { MAX_START_TIMEOUT_MILLISECONDS } from './defaults.ts'

/** Fields of an announcement that concern the leave notice. */
export interface Notice {
  leaving: boolean
  /** Minimum time left, in milliseconds; undefined if not stated. */
  remaining?: number | undefined
}

export class TargetNotice {
  /** Time after a notice is acknowledged during which tasks may still start, in milliseconds. */
  readonly #drain: number
  /** Whether an earlier announcement had no notice. Only then is the first announcement with a notice known to be the first. */
  #announcedStaying = false
  #leaving = false
  #acknowledgedAt = Number.NEGATIVE_INFINITY
  #endsAt = Number.NEGATIVE_INFINITY

  constructor (drain: number) {
    this.#drain = drain
  }

  /** Records an announcement, which is acknowledged now. Returns whether the end has moved. */
  note ({ leaving, remaining }: Notice, now: number): boolean {
    const before = this.#endsAt
    if (leaving && !this.#leaving) this.#acknowledgedAt = this.#announcedStaying ? now : Number.NEGATIVE_INFINITY
    this.#announcedStaying ||= !leaving
    this.#leaving = leaving
    this.#endsAt = leaving && remaining !== undefined ? now + remaining : Number.NEGATIVE_INFINITY
    return before !== this.#endsAt && !(Math.abs(before - this.#endsAt) < MIN_NOTICE_CHANGE_MILLISECONDS)
  }

  /** Handles a suspension of the machine. Its clock stood still, so the time since the acknowledgement is no longer known. */
  noteSuspended (): void {
    this.#acknowledgedAt = Number.NEGATIVE_INFINITY
    this.#endsAt = Number.NEGATIVE_INFINITY
  }

  /** Whether a task with that expected run time may start now. A start can be carried out until it counts as unanswered, so that timeout is subtracted from the drain time. */
  admits (expected: number, now: number, enforcesDrain = true): boolean {
    const inTime = !enforcesDrain || now < this.#acknowledgedAt + this.#drain - MAX_START_TIMEOUT_MILLISECONDS
    return inTime && now + expected < this.#endsAt
  }

  /** Time left in milliseconds; undefined when no task may start any more. */
  remaining (now: number, enforcesDrain = true): number | undefined {
    return this.admits(0, now, enforcesDrain) ? Math.floor(this.#endsAt - now) : undefined
  }
}
