/** Seeded random numbers, so that every run of the bench with the same seed does the same work. */

/** Returns a generator of numbers in [0, 1) with 32 bits of state (mulberry32). */
export function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Draws a number in [low, high) whose logarithm is uniformly distributed. */
export function logUniform (random: () => number, low: number, high: number): number {
  return low * (high / low) ** random()
}

/** Draws an exponentially distributed interval with the given mean, as between independent arrivals. */
export function exponential (random: () => number, mean: number): number {
  return -Math.log(1 - random()) * mean
}
