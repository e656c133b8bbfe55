/**
 * Rate and slot quotas of each tenant at one entry.
 *
 * A quota is divided by the number of entries, so that it holds across them without messages: job ids are
 * spread evenly over the entries by their hash. A tenant whose few large jobs are spread unevenly gets less
 * than its quota for that time, never more.
 */
import type { TenantConfiguration } from './configuration.ts'

interface Account {
  tokens: number
  refilledAt: number
  held: number
}

/** Tracks the starts and the outstanding tasks of every tenant against its quotas. */
export class TenantQuotas {
  #tenants: Readonly<Record<string, TenantConfiguration>> = {}
  #entries = 1
  readonly #accounts = new Map<string, Account>()

  configure (tenants: Readonly<Record<string, TenantConfiguration>>): void {
    this.#tenants = tenants
    for (const [tenant, account] of this.#accounts) {
      if (tenants[tenant] === undefined && account.held === 0) this.#accounts.delete(tenant)
    }
  }

  /** Sets the number of entries that share the quotas. */
  setEntryCount (entries: number): void {
    this.#entries = Math.max(1, entries)
  }

  /** Whether the tenant may start one more task now. */
  mayStart (tenant: string, now: number): boolean {
    const slots = this.slots(tenant)
    const account = this.#refilled(tenant, now)
    if (account.held >= slots) return false
    return this.#rate(tenant) === 0 || account.tokens >= 1
  }

  start (tenant: string, now: number): void {
    const account = this.#refilled(tenant, now)
    account.held += 1
    if (this.#rate(tenant) > 0) account.tokens -= 1
  }

  /** Releases the slot of a task. If the task was never started, its token is returned. */
  end (tenant: string, started: boolean, now: number): void {
    const account = this.#refilled(tenant, now)
    account.held -= 1
    if (!started) account.tokens += 1
  }

  /**
   * Instant at which the rate allows the next task; undefined when all slots are taken and only the end of
   * a task allows it.
   */
  nextStart (tenant: string, now: number): number | undefined {
    const account = this.#refilled(tenant, now)
    if (account.held >= this.slots(tenant)) return undefined
    const rate = this.#rate(tenant)
    if (rate === 0 || account.tokens >= 1) return now
    return now + (1 - account.tokens) * 1000 / rate
  }

  /** Time in milliseconds until the rate allows `tasks` further tasks. */
  rateWait (tenant: string, tasks: number, now: number): number {
    const rate = this.#rate(tenant)
    if (rate === 0) return 0
    return Math.max(0, tasks - this.#refilled(tenant, now).tokens) * 1000 / rate
  }

  /** Slots that the tenant may use through this entry; infinite without a slot quota. */
  slots (tenant: string): number {
    const slots = this.#tenants[tenant]?.slots ?? 0
    return slots === 0 ? Infinity : Math.max(1, Math.floor(slots / this.#entries))
  }

  /** Tasks of the tenant that are dispatched and not settled. */
  held (tenant: string): number {
    return this.#accounts.get(tenant)?.held ?? 0
  }

  weight (tenant: string): number {
    const weight = this.#tenants[tenant]?.weight ?? 1
    return weight > 0 ? weight : 1
  }

  #rate (tenant: string): number {
    return (this.#tenants[tenant]?.tasksPerSecond ?? 0) / this.#entries
  }

  #burst (tenant: string): number {
    return Math.max(1, (this.#tenants[tenant]?.burst ?? 0) / this.#entries)
  }

  #refilled (tenant: string, now: number): Account {
    let account = this.#accounts.get(tenant)
    if (account === undefined) {
      account = { tokens: this.#burst(tenant), refilledAt: now, held: 0 }
      this.#accounts.set(tenant, account)
    }
    const elapsed = Math.max(0, now - account.refilledAt)
    account.tokens = Math.min(this.#burst(tenant), account.tokens + elapsed * this.#rate(tenant) / 1000)
    account.refilledAt = now
    return account
  }
}
