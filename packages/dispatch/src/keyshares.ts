/** Limits each key of a queue to its fair share while other keys of the queue have demand. */
import type { JobRequest } from './job.ts'
import { maxMinShares } from './capacityshares.ts'
import { DemandMeter } from './demandmeter.ts'

/** What a job's work is bound to: the rack of its data, or else its label; empty if neither. */
export function keyOf ({ steps }: Pick<JobRequest, 'steps'>): string {
  const bound = steps.find(({ rack, label }) => rack !== '' || label !== '')
  return bound === undefined ? '' : bound.rack === '' ? bound.label : bound.rack
}

export class KeyShares {
  readonly #meters = new Map<string, DemandMeter>()

  /** Counts work that arrives, in cores times milliseconds. */
  note (queue: string, key: string, work: number, now: number): void {
    if (key === '') return
    let meter = this.#meters.get(queue)
    if (meter === undefined) {
      meter = new DemandMeter()
      this.#meters.set(queue, meter)
    }
    meter.note(key, work, now)
  }

  /** Fraction of the key's jobs that may pass, 0 to 1, if the fraction `threshold` of the queue's jobs may. */
  part (queue: string, key: string, threshold: number, now: number): number {
    const meter = this.#meters.get(queue)
    if (key === '' || threshold >= 1 || meter === undefined) return threshold
    const names = meter.names()
    const claims = names.map(name => ({ demand: meter.rate(name, now), weight: 1 }))
    const demand = claims.reduce((sum, claim) => sum + claim.demand, 0)
    const index = names.indexOf(key)
    const own = claims[index]?.demand ?? 0
    return own === 0 ? threshold : (maxMinShares(threshold * demand, claims)[index] ?? 0) / own
  }
}
