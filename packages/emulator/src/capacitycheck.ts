/** What a target sees of those that start tasks there: starts over its capacity, and tasks begun while it leaves. */

/** Time in milliseconds, besides that between two heartbeats, for which room that has shrunk still counts. */
const NEWS_MILLISECONDS = 100

export class CapacityCheck {
  readonly #heartbeat: number
  /** Capacities in thousandths of a core, and until when each was in force. */
  #earlier: Array<{ cpu: number, until: number }> = []
  #cpu: number
  #leavingSince = Infinity
  /** Starts that took it over what it had within the last heartbeats. */
  startsOver = 0
  /** Tasks that began there after it had announced its end, and those of them that its end cut off. */
  begunLeaving = 0
  cutOff = 0

  constructor (cpu: number, heartbeat: number) {
    this.#cpu = cpu
    this.#heartbeat = heartbeat
  }

  noteCapacity (cpu: number, now: number): void {
    this.#earlier = this.#earlier.filter(({ until }) => now - until < this.#grace)
    this.#earlier.push({ cpu: this.#cpu, until: now })
    this.#cpu = cpu
  }

  noteLeaving (now: number): void {
    this.#leavingSince = now
  }

  /** @param used of all that runs there with the task that has begun */
  noteStart (used: number, now: number): void {
    if (now >= this.#leavingSince) this.begunLeaving += 1
    const counted = this.#earlier.filter(({ until }) => now - until < this.#grace).map(({ cpu }) => cpu)
    if (used > Math.max(this.#cpu, ...counted)) this.startsOver += 1
  }

  /** @param startedAt when each of the tasks began that are cut off */
  noteEnd (startedAt: readonly number[]): void {
    this.cutOff += startedAt.filter(at => at >= this.#leavingSince).length
    this.#leavingSince = Infinity
  }

  get #grace (): number {
    return this.#heartbeat + NEWS_MILLISECONDS
  }
}
