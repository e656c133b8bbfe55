/** Where a task goes: the provider whose turn it is, and the best of its targets that have room. */
import type { ProviderConfiguration, ServiceConfiguration } from './configuration.ts'
import type { TaskNeeds } from './messages.ts'
import type { Policy } from './policies.ts'
import type { SchedulableTask } from './scheduling.ts'
import { SHARE_PATIENCE_PART } from './schedulingdefaults.ts'
import { ShareSequence } from './shares.ts'
import type { Target } from './target.ts'
import type { Fleet, Pool } from './targets.ts'
import type { Lane, QueuedTask } from './taskqueue.ts'

interface Route {
  generation: number
  /** Pools that could run the tasks, by provider. */
  pools: Map<string, Pool[]>
}

/** Until when the task waits for the provider whose turn it is. */
function patienceEnd (item: QueuedTask): number {
  return item.enqueuedAt + (item.task.deadline - item.enqueuedAt) * SHARE_PATIENCE_PART
}

/** Places tasks by shares, health and policy. */
export class Placement {
  readonly #fleet: Fleet
  readonly #policy: Policy
  readonly #random: () => number
  readonly #shares = new Map<string, ShareSequence>()
  readonly #routes = new WeakMap<Lane, Route>()
  #services: Readonly<Record<string, ServiceConfiguration>> = {}
  /** When the first task that waits for its provider's turn loses patience; infinite when none does. */
  patienceEnds = Infinity

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

  /** A round of decisions begins. */
  begin (): void {
    this.patienceEnds = Infinity
  }

  /** The target for the task; `room` is the part of an agent's credit that its tenant may fill. */
  place (item: QueuedTask, room: number, now: number): Target | undefined {
    const { lane } = item
    const shares = this.#shares.get(lane.service)
    if (shares === undefined) return undefined
    const pools = this.#route(lane)
    const present = shares.providers().filter(provider => pools.get(provider)?.some(pool => pool.usable > 0) === true)
    let candidates = present
    while (candidates.length > 0) {
      const provider = shares.next(candidates, present) as string
      const target = this.#choose(pools.get(provider) as Pool[], lane.needs)
      if (target !== undefined && target.outstanding < room * target.report.credit) {
        shares.take(provider, present)
        return target
      }
      if (candidates.length > 1 && this.#waits(item, now)) return undefined
      candidates = candidates.filter(other => other !== provider)
    }
    return undefined
  }

  /** Tells whether some target, live or known before, could run the task. */
  couldRun (task: SchedulableTask): boolean {
    const pools = this.#poolsFor(task.service, task.needs)
    return this.#providers(task.service).some(provider => pools.has(provider))
  }

  /** Tells whether a provider of the service has fewer targets than operators expect of it. */
  awaitsTargets (service: string, expected: Readonly<Record<string, ProviderConfiguration>>): boolean {
    return this.#providers(service).some(provider => {
      let usable = 0
      for (const pool of this.#fleet.pools()) {
        if (pool.provider === provider) usable += pool.usable
      }
      return usable < (expected[provider]?.expectedTargets ?? 0)
    })
  }

  /** Slots of all targets that take work now, or of those that take the service's. */
  usableSlots (service?: string): number {
    const providers = service === undefined ? undefined : this.#providers(service)
    let slots = 0
    for (const pool of this.#fleet.pools()) {
      if (service !== undefined && !pool.services.has(service)) continue
      if (providers?.includes(pool.provider) !== false) slots += pool.usableSlots
    }
    return slots
  }

  #waits (item: QueuedTask, now: number): boolean {
    const end = patienceEnd(item)
    if (now >= end) return false
    this.patienceEnds = Math.min(this.patienceEnds, end)
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
      const same = pools.get(pool.provider)
      if (same === undefined) pools.set(pool.provider, [pool])
      else same.push(pool)
    }
    return pools
  }
}
