/** Checks the starts at a target: counts starts over its capacity and tasks that start while it is leaving. */

/** Counters of one target. Capacities in thousandths of a core, times in milliseconds. */
export class CapacityCheck {
  readonly #grace: number
  /** Earlier capacities in thousandths of a core, and when each of them ended. */
  #previous: Array<{ cpu: number, until: number }> = []
  #cpu: number
  #leavingSince = Infinity
  /** Starts that exceeded every capacity the target had within the grace period. */
  startsOver = 0
  /** Tasks that started after the target had announced its end, and those of them that were still running when it ended. */
  begunLeaving = 0
  cutOff = 0

  /** @param grace how long a capacity still counts after it has shrunk, in milliseconds */
  constructor (cpu: number, grace: number) {
    this.#cpu = cpu
    this.#grace = grace
  }

  recordCapacity (cpu: number, now: number): void {
    this.#previous = this.#previous.filter(({ until }) => now - until < this.#grace)
    this.#previous.push({ cpu: this.#cpu, until: now })
    this.#cpu = cpu
  }

  recordLeaving (now: number): void {
    this.#leavingSince = now
  }

  /** @param usedCpu thousandths of a core that all running tasks use, including the started one */
  recordStart (usedCpu: number, now: number): void {
    if (now >= this.#leavingSince) this.begunLeaving += 1
    const recentCapacities = this.#previous.filter(({ until }) => now - until < this.#grace).map(({ cpu }) => cpu)
    if (usedCpu > Math.max(this.#cpu, ...recentCapacities)) this.startsOver += 1
  }

  /** @param startedAt start times of the tasks that are still running */
  recordEnd (startedAt: readonly number[]): void {
    this.cutOff += startedAt.filter(at => at >= this.#leavingSince).length
    this.#leavingSince = Infinity
  }
}
