/** What a target sees of those that start tasks there: starts over its capacity, and tasks begun while it leaves. */

export class CapacityCheck {
  readonly #grace: number
  /** Capacities in thousandths of a core, and until when each was in force. */
  #previous: Array<{ cpu: number, until: number }> = []
  #cpu: number
  #leavingSince = Infinity
  /** Starts that took it over what it had within that time. */
  startsOver = 0
  /** Tasks that began there after it had announced its end, and those of them that its end cut off. */
  begunLeaving = 0
  cutOff = 0

  /** @param grace time in milliseconds for which room that has shrunk still counts */
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

  /** @param usedCpu of all that runs there with the task that has begun */
  recordStart (usedCpu: number, now: number): void {
    if (now >= this.#leavingSince) this.begunLeaving += 1
    const recentCapacities = this.#previous.filter(({ until }) => now - until < this.#grace).map(({ cpu }) => cpu)
    if (usedCpu > Math.max(this.#cpu, ...recentCapacities)) this.startsOver += 1
  }

  /** @param startedAt when each of the tasks began that are cut off */
  recordEnd (startedAt: readonly number[]): void {
    this.cutOff += startedAt.filter(at => at >= this.#leavingSince).length
    this.#leavingSince = Infinity
  }
}
