/** Holds one key of a kind to its part while others of the kind want theirs. */
import type { JobRequest } from './job.ts'
import { maxMinShares } from './capacityshares.ts'
import { DemandMeter } from './demandmeter.ts'

/** What a job's work is bound to, the rack of its data or else its label; empty for nothing. */
export function keyOf ({ steps }: Pick<JobRequest, 'steps'>): string {
  const bound = steps.find(({ rack, label }) => rack !== '' || label !== '')
  return bound === undefined ? '' : bound.rack === '' ? bound.label : bound.rack
}

export class KeyShares {
  readonly #meters = new Map<string, DemandMeter>()

  /** Work arrives, in cores times milliseconds. */
  note (kind: string, key: string, work: number, now: number): void {
    if (key === '') return
    let meter = this.#meters.get(kind)
    if (meter === undefined) {
      meter = new DemandMeter()
      this.#meters.set(kind, meter)
    }
    meter.note(key, work, now)
  }

  /** Part of the key's jobs that may pass, 0 to 1, of a kind of which the part `threshold` may. */
  part (kind: string, key: string, threshold: number, now: number): number {
    const meter = this.#meters.get(kind)
    if (key === '' || threshold >= 1 || meter === undefined) return threshold
    const names = meter.names()
    const claims = names.map(name => ({ demand: meter.rate(name, now), weight: 1 }))
    const demand = claims.reduce((sum, claim) => sum + claim.demand, 0)
    const index = names.indexOf(key)
    const own = claims[index]?.demand ?? 0
    return own === 0 ? threshold : (maxMinShares(threshold * demand, claims)[index] ?? 0) / own
  }
}
