/** One target as one entry knows it: what it reported, what is outstanding there, and how far it is trusted. */
import type { Instance, TargetDescription, TargetReport, TaskNeeds } from './messages.ts'
import { TargetHealth, Trust } from './health.ts'
import { FULL_MILLISECONDS, HANG_MILLISECONDS, HANG_RUNS, REPORT_HALF_LIFE_MILLISECONDS, SLOWNESS_REVIEW_MILLISECONDS } from './schedulingdefaults.ts'

/** One target, reached through one run of its agent. */
export class Target {
  readonly agent: Instance
  readonly description: TargetDescription
  readonly health: TargetHealth
  /** In [0, 1): sends the odd tasks of different entries to different targets. */
  readonly tieBreaker: number
  report: TargetReport
  up = true
  drained = false
  /** Tasks dispatched there and not settled. */
  outstanding = 0
  accelerators = 0
  memoryMegabytes = 0
  #fullUntil = -Infinity
  /** Tasks of ours that it held when it refused a further one. */
  #outstandingWhenFull = Infinity
  #reportedAt: number
  #outstandingWhenReported = 0
  #changeSinceReport = 0
  /** Last sign of life while it had tasks of ours. */
  #lastActiveAt: number
  /** Expected run time of what is outstanding. */
  #work = 0

  constructor (agent: Instance, description: TargetDescription, report: TargetReport, health: TargetHealth, tieBreaker: number, now: number) {
    this.agent = agent
    this.description = description
    this.report = report
    this.health = health
    this.tieBreaker = tieBreaker
    this.#reportedAt = now
    this.#lastActiveAt = now
  }

  noteReport (report: TargetReport, now: number): void {
    this.report = report
    this.#reportedAt = now
    this.#outstandingWhenReported = this.outstanding
    this.#changeSinceReport = 0
    this.#fullUntil = -Infinity
  }

  /** It refused a task for want of room: it gets no more than it holds for a while, or until it reports. */
  noteFull (now: number): void {
    this.#fullUntil = now + FULL_MILLISECONDS
    this.#outstandingWhenFull = this.outstanding
  }

  noteDispatch (needs: TaskNeeds, estimate: number, now: number): void {
    if (this.outstanding === 0) this.#lastActiveAt = now
    this.outstanding += 1
    this.#changeSinceReport += 1
    this.accelerators += needs.accelerators
    this.memoryMegabytes += needs.memoryMegabytes
    this.#work += estimate
  }

  /** `alive` tells whether the target itself gave a sign of life with it. */
  noteSettled (needs: TaskNeeds, estimate: number, active: boolean, now: number): void {
    this.#work -= estimate
    this.outstanding -= 1
    this.#changeSinceReport -= 1
    this.accelerators -= needs.accelerators
    this.memoryMegabytes -= needs.memoryMegabytes
    if (active) this.#lastActiveAt = now
  }

  /** Load as last reported and what this entry did since, per slot. */
  reportedLoad (): number {
    const { running, queued } = this.report
    return (running + queued + this.#changeSinceReport) / this.description.slots
  }

  /** What other entries hold here, as last reported; the older the report, the less it counts. */
  othersLoad (now: number): number {
    const { running, queued } = this.report
    const others = Math.max(0, running + queued - this.#outstandingWhenReported)
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
    return this.outstanding > (this.health.onProbation ? 0 : 1) && now >= this.#unresponsiveAt()
  }

  hasCapacity (limit: number, now: number): boolean {
    if (!this.usable || this.silent(now)) return false
    const held = now < this.#fullUntil ? this.#outstandingWhenFull : Infinity
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
    const unresponsiveAt = this.outstanding > 0 && this.#unresponsiveAt() > now ? this.#unresponsiveAt() : Infinity
    const reviewAt = this.health.slowness(now) > 1 ? now + SLOWNESS_REVIEW_MILLISECONDS : Infinity
    const next = Math.min(unresponsiveAt, reviewAt)
    return next === Infinity ? undefined : next
  }

  #unresponsiveAt (): number {
    return this.#lastActiveAt + Math.max(HANG_MILLISECONDS, HANG_RUNS * this.#work / Math.max(1, this.outstanding))
  }
}
