/** Shares of the kinds of job in the capacity of one service, from what all entries see. */
import type { QueueDemand } from './peermessages.ts'
import { maxMinShares } from './capacityshares.ts'
import { CALM_PART, EXCESS_TOLERATED, LARGEST_TRIM, SMALLEST_TRIM, TRIM_MILLISECONDS, WANTED_GAIN, WANTED_PART } from './admissiondefaults.ts'

/** In cores, except the threshold. */
export interface KindShare extends QueueDemand {
  /** Work of the kind that is admitted each second. */
  share: number
  /** Part of the share that is above what the kind's weight would give it if all wanted all. */
  borrowed: number
  /** Part of the kind's jobs that are admitted, 0 to 1. */
  threshold: number
}

/** In cores. */
export interface ServiceRoom {
  capacity: number
  /** Held or wanted at this time by tasks that were admitted. */
  wanted: number
  /** Admitted work over the capacity that has kept the cores busy so far: estimates of work may be off all in one way. */
  trim: number
  /** Whether jobs were refused for want of capacity up to now. */
  refuses: boolean
}

/** The trim some milliseconds later, while jobs are refused; it is forgotten when none are. */
export function trimAfter ({ capacity, wanted, trim, refuses }: ServiceRoom, milliseconds: number): number {
  const missing = capacity > 0 ? WANTED_PART - wanted / capacity : 0
  const step = Math.min(1, milliseconds / TRIM_MILLISECONDS) * (refuses || missing < 0 ? missing : 1 - trim)
  return Math.min(LARGEST_TRIM, Math.max(SMALLEST_TRIM, trim + step))
}

/**
 * A kind that wants no more than its fair share is admitted whole, or little more while another wants far more. What waits beyond the aim,
 * or is missing to it, falls to those that want more: they have caused it.
 * A demand that swings above the capacity for a moment refuses nobody.
 *
 * @param weightOf weight of the kinds of a priority
 */
export function planShares (room: ServiceRoom, kinds: readonly QueueDemand[], weightOf: (priority: number) => number): KindShare[] {
  const claims = kinds.map(({ offered, priority }) => ({ demand: offered, weight: weightOf(priority) }))
  const fair = maxMinShares(room.capacity, claims)
  const fairOf = (index: number): number => fair[index] ?? 0
  const above = (tolerated: number): boolean[] => kinds.map(({ offered }, index) => offered > fairOf(index) * (1 + tolerated))
  const bursting = above(EXCESS_TOLERATED)
  const calm = !room.refuses && room.wanted < CALM_PART * room.capacity
  const exceeds = calm ? kinds.map(() => false) : bursting.includes(true) ? bursting : above(0)
  const ofExceeding = total(kinds.map((_kind, index) => exceeds[index] === true ? fairOf(index) : 0))
  const ofOthers = total(kinds.map(({ offered }, index) => exceeds[index] === true ? 0 : offered))
  const left = room.trim * room.capacity + WANTED_GAIN * (WANTED_PART * room.capacity - room.wanted) - ofOthers
  const factor = ofExceeding === 0 ? 1 : Math.max(0, left / ofExceeding)
  const weights = total(claims.map(({ demand, weight }) => demand > 0 ? weight : 0))
  return kinds.map((kind, index) => {
    const share = exceeds[index] === true ? Math.min(kind.offered, fairOf(index) * factor) : kind.offered
    const own = weights === 0 ? 0 : room.capacity * (claims[index]?.weight ?? 1) / weights
    return { ...kind, share, borrowed: Math.max(0, share - own), threshold: kind.offered > share ? share / kind.offered : 1 }
  })
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

/** The figures of the same kinds added up. */
export function sumByKind (demands: readonly QueueDemand[]): QueueDemand[] {
  const kinds = new Map<string, QueueDemand>()
  for (const { name, service, priority, offered, running, waiting } of demands) {
    const key = JSON.stringify([service, name])
    const sum = kinds.get(key) ?? { name, service, priority, offered: 0, running: 0, waiting: 0 }
    sum.offered += offered
    sum.running += running
    sum.waiting += waiting
    kinds.set(key, sum)
  }
  return [...kinds.values()]
}
