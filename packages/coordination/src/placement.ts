/** Places tasks: selects the provider by its share, and the best of its targets with free capacity. */
import type { ProviderConfiguration, ServiceConfiguration } from './configuration.ts'
import type { TaskNeeds } from './messages.ts'
import type { Policy } from './policies.ts'
import type { SchedulableTask } from './scheduling.ts'
import { SHARE_WAIT_FRACTION } from './schedulingdefaults.ts'
import { ShareSequence } from './shares.ts'
import type { Target } from './target.ts'
import type { Fleet, Pool } from './fleet.ts'
import type { Lane, QueuedTask } from './taskqueue.ts'

interface Route {
  generation: number
  /** Pools that could run the tasks of the lane, by provider. */
  pools: Map<string, Pool[]>
}

/** Until when the task waits for the provider selected by the shares. */
function shareWaitEnd (item: QueuedTask): number {
  return item.enqueuedAt + (item.task.deadline - item.enqueuedAt) * SHARE_WAIT_FRACTION
}

/** Places tasks by provider shares, target health and policy. */
export class Placement {
  readonly #fleet: Fleet
  readonly #policy: Policy
  readonly #random: () => number
  readonly #shares = new Map<string, ShareSequence>()
  readonly #routes = new WeakMap<Lane, Route>()
  #services: Readonly<Record<string, ServiceConfiguration>> = {}
  /** Instant at which the first task stops waiting for its provider; infinite when none waits. */
  nextShareWaitEnd = Infinity

  constructor (fleet: Fleet, policy: Policy, random: () => number) {
    this.#fleet = fleet
    this.#policy = policy
    this.#random = random
  }

  configure (services: Readonly<Record<string, ServiceConfiguration>>): void {
    for (const [service, { shares }] of Object.entries(services)) {
      if (JSON.stringify(this.#services[service]?.shares) === JSON.stringify(shares)) continue
      this.#shares.set(service, new ShareSequence(shares, this.#random()))
    }
    for (const service of this.#shares.keys()) {
      if (services[service] === undefined) this.#shares.delete(service)
    }
    this.#services = services
  }

  /** Starts a round of decisions. */
  beginRound (): void {
    this.nextShareWaitEnd = Infinity
  }

  /**
   * Returns the target for the task; undefined when none can take it now. `creditFraction` is the fraction
   * of an agent's credit that its tenant may fill.
   */
  place (item: QueuedTask, creditFraction: number, now: number): Target | undefined {
    const { lane } = item
    const shares = this.#shares.get(lane.service)
    if (shares === undefined) return undefined
    const pools = this.#route(lane)
    const participating = shares.providers().filter(provider => pools.get(provider)?.some(pool => pool.usable > 0) === true)
    let candidates = participating
    while (candidates.length > 0) {
      const provider = shares.next(candidates, participating) as string
      const target = this.#choose(pools.get(provider) as Pool[], lane.needs)
      if (target !== undefined && target.outstanding < creditFraction * target.report.credit) {
        shares.recordDispatch(provider, participating)
        return target
      }
      if (candidates.length > 1 && this.#waits(item, now)) return undefined
      candidates = candidates.filter(other => other !== provider)
    }
    return undefined
  }

  /** Whether some target, connected or seen before, could run the task. */
  couldRun (task: SchedulableTask): boolean {
    const pools = this.#poolsFor(task.service, task.needs)
    return this.#providers(task.service).some(provider => pools.has(provider))
  }

  /** Whether a provider of the service has fewer usable targets than configured as expected. */
  lacksExpectedTargets (service: string, expected: Readonly<Record<string, ProviderConfiguration>>): boolean {
    return this.#providers(service).some(provider => {
      let usable = 0
      for (const pool of this.#fleet.pools()) {
        if (pool.provider === provider) usable += pool.usable
      }
      return usable < (expected[provider]?.expectedTargets ?? 0)
    })
  }

  /** Slots of all targets that are usable or paused for a moment, or of those that serve `service` when it is given. */
  expectedSlots (service?: string): number {
    const providers = service === undefined ? undefined : this.#providers(service)
    let slots = 0
    for (const pool of this.#fleet.pools()) {
      if (service !== undefined && !pool.services.has(service)) continue
      if (providers?.includes(pool.provider) !== false) slots += pool.expectedSlots
    }
    return slots
  }

  #waits (item: QueuedTask, now: number): boolean {
    const end = shareWaitEnd(item)
    if (now >= end) return false
    this.nextShareWaitEnd = Math.min(this.nextShareWaitEnd, end)
    return true
  }

  #providers (service: string): string[] {
    return this.#shares.get(service)?.providers() ?? []
  }

  #choose (pools: readonly Pool[], needs: TaskNeeds): Target | undefined {
    let best: Target | undefined
    let lowest = Infinity
    for (const pool of pools) {
      const rank = pool.available.peekKey()
      if (rank === undefined || rank >= lowest) continue
      const target = pool.choose(needs, this.#policy, this.#random)
      if (target === undefined) continue
      best = target
      lowest = rank
    }
    return best
  }

  #route (lane: Lane): Map<string, Pool[]> {
    const known = this.#routes.get(lane)
    if (known?.generation === this.#fleet.generation) return known.pools
    const pools = this.#poolsFor(lane.service, lane.needs)
    this.#routes.set(lane, { generation: this.#fleet.generation, pools })
    return pools
  }

  #poolsFor (service: string, needs: TaskNeeds): Map<string, Pool[]> {
    const pools = new Map<string, Pool[]>()
    for (const pool of this.#fleet.pools()) {
      if (!pool.couldRun(service, needs)) continue
      const existing = pools.get(pool.provider)
      if (existing === undefined) pools.set(pool.provider, [pool])
      else existing.push(pool)
    }
    return pools
  }
}
