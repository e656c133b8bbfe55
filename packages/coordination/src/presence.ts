/** Which tenants are about: those whose jobs came lately share the slots. */
import type { TenantQuotas } from './quotas.ts'
import { TENANT_PRESENT_MILLISECONDS } from './schedulingdefaults.ts'

/** Tenants by their last job, with the sum of their weights. */
export class TenantPresence {
  /** By last job, the longest ago first. */
  readonly #seen = new Map<string, number>()

  note (tenant: string, now: number): void {
    this.#seen.delete(tenant)
    this.#seen.set(tenant, now)
    for (const [oldest, seenAt] of this.#seen) {
      if (now - seenAt <= TENANT_PRESENT_MILLISECONDS) return
      this.#seen.delete(oldest)
    }
  }

  /** The tenant's weight over the weights of all tenants that are about, itself among them. */
  part (tenant: string, quotas: TenantQuotas, now: number): number {
    const own = quotas.weight(tenant)
    let sum = own
    for (const [other, seenAt] of this.#seen) {
      if (other !== tenant && now - seenAt <= TENANT_PRESENT_MILLISECONDS) sum += quotas.weight(other)
    }
    return own / sum
  }
}
