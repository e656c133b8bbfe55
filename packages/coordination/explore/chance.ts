/** The world's own random choices, all drawn from one seed, so that a schedule always runs the same. */
export class Chance {
  #state: number

  constructor (seed: number) {
    this.#state = seed >>> 0
  }

  /** A number in [0, 1), by the mulberry32 generator. */
  next (): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0
    let mixed = this.#state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }

  between (low: number, high: number): number {
    return low + this.next() * (high - low)
  }

  whole (low: number, high: number): number {
    return Math.floor(this.between(low, high + 1))
  }

  happens (probability: number): boolean {
    return this.next() < probability
  }

  pick<Item> (items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.next() * items.length)]
  }
}
