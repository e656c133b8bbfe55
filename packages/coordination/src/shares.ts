/**
 * Which provider receives the next task of a service.
 *
 * Each entry walks its own low-discrepancy sequence: every task adds its share to each provider's
 * balance and the provider with the highest balance pays one. After any number of tasks each
 * provider is within one task of its share, so that a window over a few entries is within a few
 * tasks, with no message between them. Entries start at different offsets, so that they do not all
 * turn to the same provider at the same time.
 *
 * What wins when a provider cannot take its turn:
 * - It is leaving, draining, gone, or all its targets are ejected: the others take its share in
 *   proportion to theirs, at once. Nothing is owed to it when it returns.
 * - It is full: the share wins and the task waits, for a quarter of the time between its coming and
 *   its deadline. Then the deadline wins and the task goes to another provider of the service that
 *   has room. What is owed is paid back, up to two tasks: a provider that was full for long gets no
 *   storm afterwards.
 * - A provider without a share of the service gets none of it, whatever happens.
 */
import { SHARE_DEBT_LIMIT } from './schedulingdefaults.ts'

/** The turns of the providers of one service, at one entry. */
export class ShareSequence {
  readonly #shares: ReadonlyMap<string, number>
  readonly #balances = new Map<string, number>()

  /** `offset` in [0, 1) sets where in the sequence this entry begins. */
  constructor (shares: Readonly<Record<string, number>>, offset: number) {
    this.#shares = new Map(Object.entries(shares).filter(([, share]) => share > 0))
    let sum = 0
    for (const share of this.#shares.values()) sum += share
    let position = offset
    for (const [provider, share] of this.#shares) {
      this.#balances.set(provider, position * (share / sum))
      position = (position + 0.618) % 1
    }
  }

  providers (): string[] {
    return [...this.#shares.keys()]
  }

  /**
   * The provider whose turn it is among `candidates`, while `present` are the providers that take
   * part; undefined when no candidate has a share.
   */
  next (candidates: readonly string[], present: readonly string[]): string | undefined {
    const sum = this.#sum(present)
    let best: string | undefined
    let highest = -Infinity
    for (const provider of candidates) {
      const share = this.#shares.get(provider)
      if (share === undefined) continue
      const balance = (this.#balances.get(provider) as number) + share / sum
      if (balance <= highest) continue
      best = provider
      highest = balance
    }
    return best
  }

  /** A task went to `provider` while `present` were the providers that could take part. */
  take (provider: string, present: readonly string[]): void {
    const sum = this.#sum(present)
    if (sum === 0) return
    for (const other of present) {
      const share = this.#shares.get(other)
      if (share === undefined) continue
      const paid = other === provider ? 1 : 0
      const balance = (this.#balances.get(other) as number) + share / sum - paid
      this.#balances.set(other, Math.max(-SHARE_DEBT_LIMIT, Math.min(SHARE_DEBT_LIMIT, balance)))
    }
  }

  /** Forgets what is owed to or by a provider that has left or returned. */
  forgive (provider: string): void {
    if (this.#balances.has(provider)) this.#balances.set(provider, 0)
  }

  #sum (providers: readonly string[]): number {
    let sum = 0
    for (const provider of providers) sum += this.#shares.get(provider) ?? 0
    return sum
  }
}
