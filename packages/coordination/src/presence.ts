/** Tracks the active tenants. Tenants with recent jobs share the slots. */
import type { TenantQuotas } from './quotas.ts'
import { TENANT_ACTIVE_MILLISECONDS } from './schedulingdefaults.ts'

/** Last job of each tenant, from which the fair shares of the active tenants are computed. */
export class TenantActivity {
  /** Instant of the last job by tenant, oldest first. */
  readonly #lastJobAt = new Map<string, number>()

  note (tenant: string, now: number): void {
    this.#lastJobAt.delete(tenant)
    this.#lastJobAt.set(tenant, now)
    for (const [oldest, lastAt] of this.#lastJobAt) {
      if (now - lastAt <= TENANT_ACTIVE_MILLISECONDS) return
      this.#lastJobAt.delete(oldest)
    }
  }

  /** Fair share of the tenant: its weight divided by the weights of all active tenants including itself. */
  part (tenant: string, quotas: TenantQuotas, now: number): number {
    const own = quotas.weight(tenant)
    let sum = own
    for (const [other, lastAt] of this.#lastJobAt) {
      if (other !== tenant && now - lastAt <= TENANT_ACTIVE_MILLISECONDS) sum += quotas.weight(other)
    }
    return own / sum
  }
}
