/** Stand-in for the platform's load balancer. */
import { request } from 'undici'
import type { Dispatcher } from 'undici'

import { READINESS_INTERVAL, READINESS_TIMEOUT } from './defaults.ts'

/** Round robin over the entries whose `/readyz` answers 200. The caller removes an entry that refuses a connection. */
export class Balancer {
  readonly #entries: readonly string[]
  readonly #dispatcher: Dispatcher
  readonly #ready = new Set<string>()
  readonly #checking = new Set<string>()
  #timer: NodeJS.Timeout | undefined
  /** Increases with each call of {@link next}; its remainder selects the entry. */
  #nextIndex = 0

  /** `entries` are base URLs without a final slash. */
  constructor (entries: readonly string[], dispatcher: Dispatcher) {
    this.#entries = entries
    this.#dispatcher = dispatcher
  }

  /** Starts the readiness checks. Resolves after the first round. */
  async start (): Promise<void> {
    this.#timer = setInterval(() => { this.#checkAll() }, READINESS_INTERVAL)
    this.#timer.unref()
    await this.#checkAll()
  }

  /** Stops the readiness checks. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Entries that are currently ready. */
  ready (): string[] {
    return this.#entries.filter(entry => this.#ready.has(entry))
  }

  /** The next ready entry, preferably not `previous`; undefined when none is ready. */
  next (previous?: string): string | undefined {
    const ready = this.ready()
    const others = ready.filter(entry => entry !== previous)
    const candidates = others.length > 0 ? others : ready
    return candidates[this.#nextIndex++ % candidates.length]
  }

  /** Removes an entry until a check finds it ready again. */
  drop (entry: string): void {
    this.#ready.delete(entry)
  }

  async #checkAll (): Promise<void> {
    await Promise.all(this.#entries.map(entry => this.#check(entry)))
  }

  async #check (entry: string): Promise<void> {
    if (this.#checking.has(entry)) return
    this.#checking.add(entry)
    const ready = await this.#isEntryReady(entry)
    this.#checking.delete(entry)
    if (ready) this.#ready.add(entry)
    else this.#ready.delete(entry)
  }

  async #isEntryReady (entry: string): Promise<boolean> {
    try {
      const response = await request(`${entry}/readyz`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(READINESS_TIMEOUT)
      })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }
}
