/** What a target sees of those that start tasks there: starts over its capacity, and tasks begun while it leaves. */

export class CapacityCheck {
  readonly #news: number
  /** Capacities in thousandths of a core, and until when each was in force. */
  #earlier: Array<{ cpu: number, until: number }> = []
  #cpu: number
  #leavingSince = Infinity
  /** Starts that took it over what it had within that time. */
  startsOver = 0
  /** Tasks that began there after it had announced its end, and those of them that its end cut off. */
  begunLeaving = 0
  cutOff = 0

  /** @param news time in milliseconds for which room that has shrunk still counts */
  constructor (cpu: number, news: number) {
    this.#cpu = cpu
    this.#news = news
  }

  noteCapacity (cpu: number, now: number): void {
    this.#earlier = this.#earlier.filter(({ until }) => now - until < this.#news)
    this.#earlier.push({ cpu: this.#cpu, until: now })
    this.#cpu = cpu
  }

  noteLeaving (now: number): void {
    this.#leavingSince = now
  }

  /** @param used of all that runs there with the task that has begun */
  noteStart (used: number, now: number): void {
    if (now >= this.#leavingSince) this.begunLeaving += 1
    const counted = this.#earlier.filter(({ until }) => now - until < this.#news).map(({ cpu }) => cpu)
    if (used > Math.max(this.#cpu, ...counted)) this.startsOver += 1
  }

  /** @param startedAt when each of the tasks began that are cut off */
  noteEnd (startedAt: readonly number[]): void {
    this.cutOff += startedAt.filter(at => at >= this.#leavingSince).length
    this.#leavingSince = Infinity
  }
}
