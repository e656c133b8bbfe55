/** Seeded random number generator, so that runs can be reproduced. */

const INCREMENT = 0x6d2b79f5
const TWO_TO_32 = 4294967296

/** Mulberry32 generator with 32 bits of state. Suitable for loads and faults, not for cryptography. */
export class SeededRandom {
  #state: number

  constructor (seed: number) {
    this.#state = seed >>> 0
  }

  /** The next number in [0, 1). */
  next (): number {
    this.#state = (this.#state + INCREMENT) >>> 0
    let mixed = this.#state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / TWO_TO_32
  }

  /** An integer from `low` to `high`, both inclusive. */
  integer (low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1))
  }

  /** A number from `low` to `high` with a log-uniform distribution: mostly small, few large. */
  logarithmic (low: number, high: number): number {
    return low * Math.pow(high / low, this.next())
  }

  /** One of the items, chosen uniformly. Throws a `RangeError` when there are none. */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)]
    if (item === undefined) throw new RangeError('pick needs at least one item')
    return item
  }
}
