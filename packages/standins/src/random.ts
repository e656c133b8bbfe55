/** A small seeded generator of random numbers, so that a run can be repeated. */

const INCREMENT = 0x6d2b79f5
const TWO_TO_32 = 4294967296

/** Mulberry32: one 32-bit state, numbers in [0, 1). Good enough for load and faults, not for secrets. */
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

  /** A whole number from `low` to `high`, both included. */
  integer (low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1))
  }

  /** A number from `low` to `high` whose logarithm is spread evenly: mostly small, few large. */
  logarithmic (low: number, high: number): number {
    return low * Math.pow(high / low, this.next())
  }

  /** One of the items, each as likely as the others. */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)]
    if (item === undefined) throw new RangeError('pick needs at least one item')
    return item
  }
}
