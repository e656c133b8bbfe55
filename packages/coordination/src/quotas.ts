/**
 * Rate and slots of each tenant at one entry.
 *
 * A quota is divided by the number of entries, so that it holds over all of them with no message:
 * the job ids of a tenant fall evenly over the entries by their hash. A tenant whose few large jobs
 * fall unevenly gets less than its quota for as long, never more.
 */
import type { TenantConfiguration } from './configuration.ts'

interface Account {
  tokens: number
  refilledAt: number
  held: number
}

/** Keeps every tenant within its quotas. */
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

  /** Number of entries that share the quotas. */
  setEntryCount (entries: number): void {
    this.#entries = Math.max(1, entries)
  }

  /** Tells whether the tenant may start one more task now. */
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

  /** A task of the tenant no longer holds a slot. When it was never started its token is returned. */
  end (tenant: string, started: boolean, now: number): void {
    const account = this.#refilled(tenant, now)
    account.held -= 1
    if (!started) account.tokens += 1
  }

  /** When the rate allows the next task; undefined when only the end of a task does. */
  nextStart (tenant: string, now: number): number | undefined {
    const account = this.#refilled(tenant, now)
    if (account.held >= this.slots(tenant)) return undefined
    const rate = this.#rate(tenant)
    if (rate === 0 || account.tokens >= 1) return now
    return now + (1 - account.tokens) * 1000 / rate
  }

  /** Time in milliseconds that the rate needs for `tasks` further tasks. */
  rateWait (tenant: string, tasks: number, now: number): number {
    const rate = this.#rate(tenant)
    if (rate === 0) return 0
    return Math.max(0, tasks - this.#refilled(tenant, now).tokens) * 1000 / rate
  }

  /** Slots that the tenant may hold through this entry; infinite when it has no such quota. */
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
