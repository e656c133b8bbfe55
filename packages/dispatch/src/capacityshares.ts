/** Division of a capacity among those that want a part of it. */

export interface Claim {
  /** In any unit, the same for all claims and the capacity. */
  demand: number
  /** Above 0. */
  weight: number
}

/**
 * Weighted max-min fair parts, in the order of the claims: nobody gets more than he wants, and what one leaves goes to the
 * others by their weights. All of the capacity is given away as long as somebody wants it.
 */
export function maxMinShares (capacity: number, claims: readonly Claim[]): number[] {
  const shares = claims.map(() => 0)
  const order = [...claims.entries()].sort(([, one], [, other]) => one.demand / one.weight - other.demand / other.weight)
  let left = Math.max(0, capacity)
  let weights = claims.reduce((sum, { weight }) => sum + weight, 0)
  for (const [index, { demand, weight }] of order) {
    const share = Math.min(Math.max(0, demand), left * weight / weights)
    shares[index] = share
    left -= share
    weights -= weight
  }
  return shares
}
