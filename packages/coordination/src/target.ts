/** One target as seen by one entry: what it reported, what is outstanding there, and its health. */
import type { Instance, TargetDescription, TargetReport, TaskNeeds } from './messages.ts'
import { TargetHealth, Trust } from './health.ts'
import { FULL_TARGET_MILLISECONDS, HANG_MILLISECONDS, HANG_RUN_TIMES, REPORT_HALF_LIFE_MILLISECONDS, SLOWNESS_REVIEW_MILLISECONDS } from './schedulingdefaults.ts'

/** One target, reached through one incarnation of its agent. */
export class Target {
  readonly agent: Instance
  readonly description: TargetDescription
  readonly health: TargetHealth
  /** In [0, 1): makes different entries send their remaining tasks to different targets. */
  readonly tieBreaker: number
  report: TargetReport
  up = true
  drained = false
  /** Tasks dispatched to the target and not finished. */
  outstanding = 0
  accelerators = 0
  memoryMegabytes = 0
  #fullUntil = -Infinity
  /** Outstanding tasks of this entry when the target refused a further one. */
  #outstandingWhenFull = Infinity
  #reportedAt: number
  #outstandingWhenReported = 0
  #changeSinceReport = 0
  /** Time of the last activity while tasks of this entry were outstanding. */
  #lastActiveAt: number
  /** Total expected run time of the outstanding tasks. */
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

  /**
   * The target refused a task for lack of capacity: for a while, or until its next report, it gets no more tasks than
   * it holds now.
   */
  noteFull (now: number): void {
    this.#fullUntil = now + FULL_TARGET_MILLISECONDS
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

  /** @param active whether the outcome shows activity of the target itself */
  noteSettled (needs: TaskNeeds, estimate: number, active: boolean, now: number): void {
    this.#work -= estimate
    this.outstanding -= 1
    this.#changeSinceReport -= 1
    this.accelerators -= needs.accelerators
    this.memoryMegabytes -= needs.memoryMegabytes
    if (active) this.#lastActiveAt = now
  }

  /** Load per slot: as last reported, adjusted by what this entry did since. */
  reportedLoad (): number {
    const { running, queued } = this.report
    return (running + queued + this.#changeSinceReport) / this.description.slots
  }

  /** Tasks of other entries as last reported; the older the report, the less they count. */
  othersLoad (now: number): number {
    const { running, queued } = this.report
    const others = Math.max(0, running + queued - this.#outstandingWhenReported)
    return others * 2 ** (-(now - this.#reportedAt) / REPORT_HALF_LIFE_MILLISECONDS)
  }

  /** Whether the target is connected and is to get new work, whatever its health. */
  get accepting (): boolean {
    return this.up && !this.drained && !this.report.leaving
  }

  /** Whether the target accepts new work, now or as soon as it has free capacity. */
  get usable (): boolean {
    return this.accepting && this.health.trust !== Trust.Ejected
  }

  /** Whether its slots count for the work that is to be done soon: it is usable, or paused for a moment. */
  get expected (): boolean {
    return this.usable || (this.accepting && this.health.paused)
  }

  /**
   * Whether the target appears to hang while its agent's stream is up. A hanging target returns no outcome, so no
   * failure is ever counted. Several outstanding tasks of this entry without any activity for many run times count as
   * a hang; the next outcome ends it.
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

  /** When the state of this target next changes by the passing of time alone; undefined when it does not. */
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
    return this.#lastActiveAt + Math.max(HANG_MILLISECONDS, HANG_RUN_TIMES * this.#work / Math.max(1, this.outstanding))
  }
}
