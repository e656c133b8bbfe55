/**
 * The targets of one entry, grouped in indexed pools so that the cost of a choice does not depend on their
 * number.
 */
import type { DrainConfiguration } from './configuration.ts'
import { FleetHealth, TargetHealth, Trust } from './health.ts'
import { IndexedHeap } from './heap.ts'
import type { Instance, TargetDescription, TargetReport, TaskNeeds } from './messages.ts'
import type { Policy } from './policies.ts'
import { Target } from './target.ts'
import { MAX_CANDIDATES_FOR_NEEDS, QUEUE_PER_SLOT } from './schedulingdefaults.ts'

/** Targets with the same provider, services, accelerators and memory. */
export class Pool {
  readonly provider: string
  readonly services: ReadonlySet<string>
  readonly accelerators: number
  readonly memoryMegabytes: number
  /** Targets with free capacity, best first. */
  readonly available = new IndexedHeap<Target>()
  /** Number of targets that accept new work, now or as soon as they have free capacity. */
  usable = 0
  /** Slots of its targets that are usable, or paused for a moment. */
  expectedSlots = 0

  constructor (description: TargetDescription) {
    this.provider = description.provider
    this.services = new Set(description.services)
    this.accelerators = description.accelerators
    this.memoryMegabytes = description.memoryMegabytes
  }

  /** Whether an idle target of this pool could run the task. */
  couldRun (service: string, needs: TaskNeeds): boolean {
    return this.services.has(service) && needs.accelerators <= this.accelerators &&
      needs.memoryMegabytes <= this.memoryMegabytes
  }

  choose (needs: TaskNeeds, policy: Policy, random: () => number): Target | undefined {
    const target = policy.choose(this.available, random)
    if (target === undefined || target.fits(needs)) return target
    return this.#search(needs)
  }

  /** The best target that fits, among the first few, so that the cost of a choice is bounded. */
  #search (needs: TaskNeeds): Target | undefined {
    const examined: Array<{ target: Target, rank: number }> = []
    let found: Target | undefined
    while (found === undefined && examined.length < MAX_CANDIDATES_FOR_NEEDS) {
      const rank = this.available.peekKey()
      const target = this.available.pop()
      if (target === undefined || rank === undefined) break
      examined.push({ target, rank })
      if (target.fits(needs)) found = target
    }
    for (const { target, rank } of examined) this.available.set(target, rank)
    return found
  }
}

/** Adds the target to the set or deletes it; returns by how much the size of the set changes. */
function include (targets: Set<Target>, target: Target, isIncluded: boolean): number {
  const before = targets.size
  if (isIncluded) targets.add(target)
  else targets.delete(target)
  return targets.size - before
}

/** All targets with their pools, their health and their timers. */
export class Fleet {
  readonly #policy: Policy
  readonly #random: () => number
  readonly #targets = new Map<Instance, Target>()
  readonly #names = new Map<string, Target>()
  readonly #health = new Map<string, TargetHealth>()
  readonly #pools = new Map<string, Pool>()
  readonly #timers = new IndexedHeap<Target>()
  readonly #usable = new Set<Target>()
  readonly #expected = new Set<Target>()
  /** Ejected targets that are connected and neither leaving nor drained. */
  readonly #ejected = new Set<Target>()
  readonly #fleetHealth = new FleetHealth()
  #draining: DrainConfiguration = { targets: [], racks: [], dataCentres: [], providers: [] }
  #entries = 1
  /** Incremented when a pool is added, which makes earlier routes outdated. */
  generation = 0

  constructor (policy: Policy, random: () => number) {
    this.#policy = policy
    this.#random = random
  }

  /** Number of evacuated data centres. */
  get evacuated (): number {
    return this.#draining.dataCentres.length
  }

  configure (draining: DrainConfiguration, now: number): void {
    this.#draining = draining
    for (const target of this.#targets.values()) {
      target.drained = this.#isDrained(target.description)
      this.refresh(target, now)
    }
  }

  setEntryCount (entries: number, now: number): void {
    this.#entries = Math.max(1, entries)
    for (const target of this.#targets.values()) this.refresh(target, now)
  }

  get (agent: Instance): Target | undefined {
    return this.#targets.get(agent)
  }

  targets (): IterableIterator<Target> {
    return this.#targets.values()
  }

  pools (): IterableIterator<Pool> {
    return this.#pools.values()
  }

  up (agent: Instance, description: TargetDescription, report: TargetReport, now: number): void {
    const known = this.#targets.get(agent)
    if (known?.up === true) {
      known.noteReport(report, now)
      this.refresh(known, now)
      return
    }
    const earlier = this.#names.get(description.target)
    if (earlier !== undefined && earlier !== known) this.down(earlier.agent, now)
    const target = known ?? this.#create(agent, description, report, now)
    target.up = true
    target.noteReport(report, now)
    target.health.recordReturn(now)
    target.drained = this.#isDrained(description)
    this.#names.set(description.target, target)
    this.#fleetHealth.add(target.health)
    this.refresh(target, now)
  }

  down (agent: Instance, now: number): void {
    const target = this.#targets.get(agent)
    if (target === undefined || !target.up) return
    target.up = false
    this.#fleetHealth.remove(target.health)
    if (this.#names.get(target.description.target) === target) this.#names.delete(target.description.target)
    this.refresh(target, now)
    this.dropIfUnused(target)
  }

  /** Removes a disconnected target that has no outstanding tasks. */
  dropIfUnused (target: Target): void {
    if (!target.up && target.outstanding === 0) this.#targets.delete(target.agent)
  }

  /** Records an outcome at the target. `runRatio` is the run time divided by the expected one. */
  recordOutcome (target: Target, failed: boolean, runRatio: number, now: number): void {
    if (target.up) this.#fleetHealth.remove(target.health)
    if (failed) target.health.recordFailure()
    else target.health.recordSuccess(runRatio, now)
    if (!target.up) return
    this.#fleetHealth.add(target.health)
    if (!failed || !this.#fleetHealth.shouldEject(target.health) || !this.#othersTakeWork(target)) return
    this.#fleetHealth.remove(target.health)
    target.health.eject(now)
    this.#fleetHealth.add(target.health)
  }

  /**
   * Records that the target refused a task. An agent grants every entry an equal fraction of its slots and
   * queue, so a refusal below that is not due to a lack of capacity, and the target is ejected. If it were
   * treated as full, the provider's share would make tasks wait for it, and the next tasks would go to the
   * same target.
   */
  recordRefusal (target: Target, now: number): void {
    const capacity = Math.floor((1 + QUEUE_PER_SLOT) * target.description.slots / this.#entries)
    if (target.health.trust === Trust.Ejected) return
    if (!target.up || target.outstanding >= capacity || !this.#canSpare(target)) {
      target.noteFull(now)
      return
    }
    this.#fleetHealth.remove(target.health)
    target.health.close(now)
    this.#fleetHealth.add(target.health)
  }

  /** Updates the pool, the rank and the timer of a target after any change to it. */
  refresh (target: Target, now: number): void {
    const pool = this.#pool(target.description)
    this.#count(target, pool)
    const limit = this.#policy.limit(target, this.#entries, now)
    if (target.hasCapacity(limit, now)) pool.available.set(target, this.#policy.rank(target, now))
    else pool.available.delete(target)
    const nextChange = target.nextChange(now)
    if (nextChange === undefined) this.#timers.delete(target)
    else this.#timers.set(target, nextChange)
    if (this.#usable.size === 0) this.#probeEarliest(now)
  }

  /** Processes timers that are due: probes ejected targets, ejects unresponsive ones and updates ranks. */
  advance (now: number): void {
    while ((this.#timers.peekKey() ?? Infinity) <= now) {
      const target = this.#timers.pop() as Target
      if (target.health.trust === Trust.Ejected && target.health.probeAt <= now) this.#probe(target)
      else if (target.up && target.silent(now)) this.#ejectUnresponsive(target, now)
      this.refresh(target, now)
    }
  }

  nextChange (): number | undefined {
    return this.#timers.peekKey()
  }

  /**
   * Ejects a target that does not respond, so that it is probed with one task at a time. Otherwise a
   * hanging target would be fully trusted again as soon as its unfinished tasks are cancelled at their
   * deadlines.
   */
  #ejectUnresponsive (target: Target, now: number): void {
    if (!this.#canSpare(target)) return
    this.#fleetHealth.remove(target.health)
    target.health.ejectUnresponsive(now)
    this.#fleetHealth.add(target.health)
  }

  #canSpare (target: Target): boolean {
    return this.#fleetHealth.canSpare(target.health) && this.#othersTakeWork(target)
  }

  /**
   * Whether another target accepts work. Targets that are leaving do not count, although they are connected
   * and trusted.
   */
  #othersTakeWork (target: Target): boolean {
    return this.#usable.size > (this.#usable.has(target) ? 1 : 0)
  }

  #probe (target: Target): void {
    this.#fleetHealth.remove(target.health)
    target.health.probe()
    this.#fleetHealth.add(target.health)
  }

  /**
   * Probes the ejected target whose probe is due first, before it is due. A target is ejected while others take work,
   * and these may leave, disconnect or be drained before its ejection ends.
   */
  #probeEarliest (now: number): void {
    let earliest: Target | undefined
    for (const target of this.#ejected) {
      if (earliest === undefined || target.health.probeAt < earliest.health.probeAt) earliest = target
    }
    if (earliest === undefined) return
    this.#probe(earliest)
    this.refresh(earliest, now)
  }

  #create (agent: Instance, description: TargetDescription, report: TargetReport, now: number): Target {
    let health = this.#health.get(description.target)
    if (health === undefined) {
      health = new TargetHealth(description.slots)
      this.#health.set(description.target, health)
      this.#dropOldHealth()
    }
    const target = new Target(agent, description, report, health, this.#random(), now)
    this.#targets.set(agent, target)
    return target
  }

  /**
   * Removes the health of a disconnected target. Otherwise entries of targets that never return would
   * accumulate.
   */
  #dropOldHealth (): void {
    if (this.#health.size <= 2 * this.#names.size + 64) return
    for (const name of this.#health.keys()) {
      if (this.#names.has(name)) continue
      this.#health.delete(name)
      return
    }
  }

  #count (target: Target, pool: Pool): void {
    pool.usable += include(this.#usable, target, target.usable)
    pool.expectedSlots += include(this.#expected, target, target.expected) * target.description.slots
    include(this.#ejected, target, target.accepting && !target.usable)
  }

  #pool (description: TargetDescription): Pool {
    const { provider, services, accelerators, memoryMegabytes } = description
    const key = JSON.stringify([provider, [...services].sort(), accelerators, memoryMegabytes])
    let pool = this.#pools.get(key)
    if (pool === undefined) {
      pool = new Pool(description)
      this.#pools.set(key, pool)
      this.generation += 1
    }
    return pool
  }

  #isDrained (description: TargetDescription): boolean {
    const { targets, racks, dataCentres, providers } = this.#draining
    return targets.includes(description.target) || racks.includes(description.rack) ||
      dataCentres.includes(description.dataCentre) || providers.includes(description.provider)
  }
}
