/** Weighted max-min fair division of a capacity. */

export interface Claim {
  /** In any unit; the same for all claims and the capacity. */
  demand: number
  /** Above 0. */
  weight: number
}

/**
 * Returns weighted max-min fair shares in the order of the claims: none exceeds its demand, and what one claim leaves
 * is divided among the others by weight. The whole capacity is given out while there is demand for it.
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
