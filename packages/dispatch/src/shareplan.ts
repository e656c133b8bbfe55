/** Computes the shares of the queues in the capacity of one service from the demand at all entries. */
import type { QueueDemand } from './peermessages.ts'
import { maxMinShares } from './capacityshares.ts'
import { REFUSAL_START_FRACTION, TOLERATED_EXCESS, MAX_TRIM, MIN_TRIM, TRIM_MILLISECONDS, WANTED_GAIN, WANTED_FRACTION } from './admissiondefaults.ts'

/** Figures in cores, except the threshold. */
export interface QueueShare extends QueueDemand {
  /** Work of the queue admitted each second. */
  share: number
  /** The part of the share above what the queue's weight would give it if all queues had unlimited demand. */
  borrowed: number
  /** Fraction of the queue's jobs that is admitted, 0 to 1. */
  threshold: number
}

/** Capacity and load of one service, in cores. */
export interface ServiceCapacity {
  capacity: number
  /** Cores held or waited for by admitted tasks. */
  wanted: number
  /**
   * Ratio of admitted work to capacity that has kept the cores busy so far: estimates of work may all be off in the
   * same direction.
   */
  trim: number
  /** Whether jobs were refused for lack of capacity up to now. */
  refuses: boolean
}

/** Returns the trim some milliseconds later. It adapts while jobs are refused, and returns to 1 while none are. */
export function trimAfter ({ capacity, wanted, trim, refuses }: ServiceCapacity, milliseconds: number): number {
  const missing = capacity > 0 ? WANTED_FRACTION - wanted / capacity : 0
  const step = Math.min(1, milliseconds / TRIM_MILLISECONDS) * (refuses || missing < 0 ? missing : 1 - trim)
  return Math.min(MAX_TRIM, Math.max(MIN_TRIM, trim + step))
}

/**
 * Computes the share of each queue. A queue with a demand up to its fair share is admitted whole, also slightly above
 * it while another queue is far above its own. The difference between the cores wanted at one time and the aim is
 * charged to the queues above their share, which have caused it. A short swing of the demand above the capacity causes
 * no refusals.
 *
 * @param weightOf weight of the queues of a priority
 */
export function planShares (service: ServiceCapacity, demands: readonly QueueDemand[], weightOf: (priority: number) => number): QueueShare[] {
  const claims = demands.map(({ offered, priority }) => ({ demand: offered, weight: weightOf(priority) }))
  const fair = maxMinShares(service.capacity, claims)
  const fairOf = (index: number): number => fair[index] ?? 0
  const above = (tolerance: number): boolean[] => demands.map(({ offered }, index) => offered > fairOf(index) * (1 + tolerance))
  const farAbove = above(TOLERATED_EXCESS)
  const admitsAll = !service.refuses && service.wanted < REFUSAL_START_FRACTION * service.capacity
  const exceeds = admitsAll ? demands.map(() => false) : farAbove.includes(true) ? farAbove : above(0)
  const ofExceeding = total(demands.map((_demand, index) => exceeds[index] === true ? fairOf(index) : 0))
  const ofOthers = total(demands.map(({ offered }, index) => exceeds[index] === true ? 0 : offered))
  const available = service.trim * service.capacity + WANTED_GAIN * (WANTED_FRACTION * service.capacity - service.wanted) - ofOthers
  const factor = ofExceeding === 0 ? 1 : Math.max(0, available / ofExceeding)
  const weights = total(claims.map(({ demand, weight }) => demand > 0 ? weight : 0))
  return demands.map((demand, index) => {
    const share = exceeds[index] === true ? Math.min(demand.offered, fairOf(index) * factor) : demand.offered
    const entitled = weights === 0 ? 0 : service.capacity * (claims[index]?.weight ?? 1) / weights
    return { ...demand, share, borrowed: Math.max(0, share - entitled), threshold: demand.offered > share ? share / demand.offered : 1 }
  })
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

/** Adds up the figures of each queue. */
export function sumByQueue (demands: readonly QueueDemand[]): QueueDemand[] {
  const sums = new Map<string, QueueDemand>()
  for (const { name, service, priority, offered, running, waiting } of demands) {
    const key = JSON.stringify([service, name])
    const sum = sums.get(key) ?? { name, service, priority, offered: 0, running: 0, waiting: 0 }
    sum.offered += offered
    sum.running += running
    sum.waiting += waiting
    sums.set(key, sum)
  }
  return [...sums.values()]
}
