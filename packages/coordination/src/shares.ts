/**
 * Selects the provider of the next task of a service.
 *
 * Each entry follows its own low-discrepancy sequence: every task adds its share to each provider's
 * balance, and the provider with the highest balance gets the task, which costs it 1. After any number of tasks
 * each provider is within one task of its share, so a window over a few entries is within a few tasks,
 * without messages between them. Entries start at different offsets, so that they do not all select the
 * same provider at the same time.
 *
 * When the selected provider cannot take the task:
 * - If it is leaving, draining or disconnected, or all its targets are ejected, the others take its share
 *   in proportion to theirs, at once. Its balance does not grow in that time, so it gets no extra tasks
 *   when it returns.
 * - If it is full, the task waits for it, for a quarter of the time between its arrival and its deadline.
 *   After that the task goes to another provider of the service with free capacity. The missed tasks are
 *   made up for, up to two of them, so that a provider that was full for long gets no burst.
 * - A provider without a share of the service never gets any of its tasks.
 */
import { MAX_SHARE_BALANCE } from './schedulingdefaults.ts'

/** The sequence of providers of one service, at one entry. */
export class ShareSequence {
  readonly #shares: ReadonlyMap<string, number>
  readonly #balances = new Map<string, number>()

  /** `offset` in [0, 1) is the position in the sequence at which this entry starts. */
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
   * The provider to select among `candidates`, where `present` are the providers that can currently take
   * tasks; undefined when no candidate has a share.
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

  /**
   * Updates the balances after a task went to `provider`, where `present` are the providers that can
   * currently take tasks.
   */
  recordDispatch (provider: string, present: readonly string[]): void {
    const sum = this.#sum(present)
    if (sum === 0) return
    for (const other of present) {
      const share = this.#shares.get(other)
      if (share === undefined) continue
      const spent = other === provider ? 1 : 0
      const balance = (this.#balances.get(other) as number) + share / sum - spent
      this.#balances.set(other, Math.max(-MAX_SHARE_BALANCE, Math.min(MAX_SHARE_BALANCE, balance)))
    }
  }

  /** Clears the balance of a provider that has left or returned. */
  resetBalance (provider: string): void {
    if (this.#balances.has(provider)) this.#balances.set(provider, 0)
  }

  #sum (providers: readonly string[]): number {
    let sum = 0
    for (const provider of providers) sum += this.#shares.get(provider) ?? 0
    return sum
  }
}
