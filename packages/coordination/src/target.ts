/** One target as one entry knows it: what it reported, what is outstanding there, and how far it is trusted. */
import type { Instance, TargetDescription, TargetReport, TaskNeeds } from './messages.ts'
import { TargetHealth, Trust } from './health.ts'
import { FULL_TARGET_MILLISECONDS, HANG_MILLISECONDS, HANG_RUN_TIMES, REPORT_HALF_LIFE_MILLISECONDS, SLOWNESS_REVIEW_MILLISECONDS } from './schedulingdefaults.ts'

/** One target, reached through one run of its agent. */
export class Target {
  readonly agent: Instance
  readonly description: TargetDescription
  readonly health: TargetHealth
  /** In [0, 1): sends the odd tasks of different entries to different targets. */
  readonly tie: number
  report: TargetReport
  up = true
  drained = false
  /** Tasks dispatched there and not settled. */
  outstanding = 0
  accelerators = 0
  memoryMegabytes = 0
  #fullUntil = -Infinity
  /** Tasks of ours that it held when it refused a further one. */
  #heldWhenFull = Infinity
  #reportedAt: number
  #ownWhenReported = 0
  #sinceReport = 0
  /** Last sign of life while it had tasks of ours. */
  #activeAt: number
  /** Expected run time of what is outstanding. */
  #work = 0

  constructor (agent: Instance, description: TargetDescription, report: TargetReport, health: TargetHealth, tie: number, now: number) {
    this.agent = agent
    this.description = description
    this.report = report
    this.health = health
    this.tie = tie
    this.#reportedAt = now
    this.#activeAt = now
  }

  noteReport (report: TargetReport, now: number): void {
    this.report = report
    this.#reportedAt = now
    this.#ownWhenReported = this.outstanding
    this.#sinceReport = 0
    this.#fullUntil = -Infinity
  }

  /** It refused a task for want of room: it gets no more than it holds for a while, or until it reports. */
  noteFull (now: number): void {
    this.#fullUntil = now + FULL_TARGET_MILLISECONDS
    this.#heldWhenFull = this.outstanding
  }

  noteDispatch (needs: TaskNeeds, estimate: number, now: number): void {
    if (this.outstanding === 0) this.#activeAt = now
    this.outstanding += 1
    this.#sinceReport += 1
    this.accelerators += needs.accelerators
    this.memoryMegabytes += needs.memoryMegabytes
    this.#work += estimate
  }

  /** `alive` tells whether the target itself gave a sign of life with it. */
  noteSettled (needs: TaskNeeds, estimate: number, alive: boolean, now: number): void {
    this.#work -= estimate
    this.outstanding -= 1
    this.#sinceReport -= 1
    this.accelerators -= needs.accelerators
    this.memoryMegabytes -= needs.memoryMegabytes
    if (alive) this.#activeAt = now
  }

  /** Load as last reported and what this entry did since, per slot. */
  reportedLoad (): number {
    const { running, queued } = this.report
    return (running + queued + this.#sinceReport) / this.description.slots
  }

  /** What other entries hold here, as last reported; the older the report, the less it counts. */
  othersLoad (now: number): number {
    const { running, queued } = this.report
    const others = Math.max(0, running + queued - this.#ownWhenReported)
    return others * 2 ** (-(now - this.#reportedAt) / REPORT_HALF_LIFE_MILLISECONDS)
  }

  /** Takes new work, now or as soon as it has room. */
  get usable (): boolean {
    return this.up && !this.drained && !this.report.leaving && this.health.trust !== Trust.Ejected
  }

  /**
   * Guards against a target that hangs while its agent's stream is up: no outcome comes, so that no
   * failure is ever counted. Several tasks of ours and no sign of life for many run times is taken
   * for a hang; the next outcome ends it.
   */
  silent (now: number): boolean {
    return this.outstanding > (this.health.onProbation ? 0 : 1) && now >= this.#silentAt()
  }

  hasRoom (limit: number, now: number): boolean {
    if (!this.usable || this.silent(now)) return false
    const held = now < this.#fullUntil ? this.#heldWhenFull : Infinity
    return this.outstanding < Math.min(limit, held, this.health.limit())
  }

  fits (needs: TaskNeeds): boolean {
    const { accelerators, memoryMegabytes } = this.description
    if (needs.accelerators > 0 && this.accelerators + needs.accelerators > accelerators) return false
    return needs.memoryMegabytes === 0 || this.memoryMegabytes + needs.memoryMegabytes <= memoryMegabytes
  }

  /** When something changes here by the passing of time alone; undefined when nothing does. */
  nextChange (now: number): number | undefined {
    if (!this.up) return undefined
    if (this.health.trust === Trust.Ejected) return this.health.probeAt
    if (this.#fullUntil > now) return this.#fullUntil
    const silentAt = this.outstanding > 0 && this.#silentAt() > now ? this.#silentAt() : Infinity
    const reviewAt = this.health.slowness(now) > 1 ? now + SLOWNESS_REVIEW_MILLISECONDS : Infinity
    const next = Math.min(silentAt, reviewAt)
    return next === Infinity ? undefined : next
  }

  #silentAt (): number {
    return this.#activeAt + Math.max(HANG_MILLISECONDS, HANG_RUN_TIMES * this.#work / Math.max(1, this.outstanding))
  }
}
