/**
 * Allocates the free capacity of the targets among the entries: one entry allocates that of a whole group of targets, or each
 * entry that of its own partition, and the others send it requests.
 *
 * Entries that choose targets independently all use the same load reports, which are up to half a second old: agents reject
 * many of their starts as full, each after a round trip, and the last tasks of wide jobs are late. An allocator accounts for
 * all starts in progress. It holds no state that has to survive it: agents still reject what does not fit, so two allocators
 * for one group, or none for a moment, only cost rejected starts.
 */
import type { EntryEffect } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Candidates } from './taskplacer.ts'
import type { Policy } from './policy.ts'
import type { AllocatorMap } from './allocatormap.ts'
import type { Grant, MemberFacts, AllocationMessage } from './peermessages.ts'
import type { AllocationStatus } from './allocationstatus.ts'
import { SETTLING_MILLISECONDS } from './defaults.ts'
import { TYPICAL_CPU_RATE } from './partitiondefaults.ts'
import { GroupMap } from './groupmap.ts'
import { TaskState } from './job.ts'
import { AllocationRole } from './messages.ts'
import { PartitionMap } from './partitionmap.ts'
import { Peers } from './peers.ts'
import { PeerWatch } from './peerwatch.ts'
import { TaskPlacer } from './taskplacer.ts'
import { EventLoopLag } from './eventlooplag.ts'
import { AllocationClient } from './allocationclient.ts'
import { AllocationUpdates } from './roomnews.ts'
import { AllocationRequest } from './allocationrequest.ts'
import { AllocationRequests } from './allocationrequests.ts'
import { allocationStatus } from './allocationstatus.ts'

export interface CapacityAllocationDependencies {
  /** Name of this entry. */
  name: string
  dataCentre: string
  /** Base-2 logarithm of the speed of its processor, relative to other entries. */
  strength: number
  policy: Policy
  fleet: Fleet
  /** Jobs of this entry with unplaced tasks, by service. */
  queues: ReadonlyMap<string, JobQueue>
  /** Finds an open job by its id. */
  jobOf: (id: string) => Job | undefined
  /** Whether this entry accepts requests of callers. */
  serving: () => boolean
  /** Whether this entry has jobs in progress. */
  busy: () => boolean
  /** Called for each job when its first task is placed. */
  begun: (now: number) => void
  emit: (effect: EntryEffect) => void
}

type Handlers = {
  [Type in AllocationMessage['type']]: (peer: string, message: Extract<AllocationMessage, { type: Type }>, now: number) => void
}

export class CapacityAllocation {
  readonly #dependencies: CapacityAllocationDependencies
  readonly #partitions: boolean
  readonly #peers: Peers
  readonly #allocators: AllocatorMap
  readonly #lag = new EventLoopLag()
  readonly #placer: TaskPlacer
  readonly #client: AllocationClient
  readonly #requests: AllocationRequests
  readonly #updates: AllocationUpdates
  readonly #watch: PeerWatch
  #linkedSince: number | undefined
  /** Moving average of the processor need of a task, in thousandths of a core. */
  #typicalCpu = 0

  readonly #handlers: Handlers = {
    member: (peer, message, now) => this.#memberReceived(peer, message, now),
    ask: (peer, message, now) => this.#requests.add(new AllocationRequest(peer, message, now)),
    unask: (peer, { job }) => this.#requests.remove(peer, job),
    grant: (peer, message, now) => this.#grantReceived(peer, message, now),
    declined: (peer, { job, group, free }, now) => this.#declined(peer, job, group, free, now),
    release: (_peer, { grants }) => this.#requests.release(grants),
    waiting: (peer, { jobs, crowded }, now) => this.#waitingReceived(peer, jobs, crowded, now),
    room: (peer, { group, free }, now) => this.#freeCapacityReceived(peer, group, free, now)
  }

  constructor (dependencies: CapacityAllocationDependencies) {
    const { name, dataCentre, policy, fleet, queues, begun, emit } = dependencies
    const tell = (peer: string, message: AllocationMessage): void => emit({ type: 'tell', peer, message })
    const note = (what: string, fields: Record<string, unknown>): void => emit({ type: 'note', what, fields })
    const peers = new Peers(name)
    this.#dependencies = dependencies
    this.#peers = peers
    this.#partitions = policy.partitions
    this.#allocators = this.#partitions
      ? new PartitionMap({ name, fleet, peers, lag: () => this.#lag.milliseconds, note })
      : new GroupMap({ dataCentre, fleet, peers, shares: policy.sharesRoom, note })
    this.#placer = new TaskPlacer({
      fleet,
      dataCentre,
      policy,
      begun,
      onGranted: (request, grants, now) => tell(request.peer, { type: 'grant', job: request.job, grants, waited: Math.round(now - request.arrivedAt) }),
      dataCentreOf: peer => peers.dataCentreOf(peer) ?? dataCentre,
      entries: () => peers.names.length + 1,
      note
    })
    this.#client = new AllocationClient({
      fleet,
      queues,
      home: () => this.#allocators.home,
      allocatorOf: group => this.#otherAllocatorOf(group),
      linked: peer => peers.has(peer),
      near: peer => peers.dataCentreOf(peer) === dataCentre,
      answers: (peer, now) => peers.answers(peer, now),
      holders: () => this.#allocators.groups,
      tell,
      note
    })
    this.#requests = new AllocationRequests({
      fleet,
      groupOf: agent => this.#allocators.groupOf(agent),
      allocates: group => !this.#partitions || this.#allocators.allocatorOf(group) === name,
      ownWaiting: () => this.#ownWaiting(),
      typicalCpu: () => this.#typicalCpu,
      tell
    })
    this.#updates = new AllocationUpdates({ name, dataCentre, partitions: this.#partitions, map: this.#allocators, peers, freeOf: group => this.#requests.freeOf(group), tell })
    this.#watch = new PeerWatch({ name, map: this.#allocators, peers, client: this.#client, lag: this.#lag, updates: this.#updates, note })
  }

  /** Whether this entry chooses targets for its own jobs, and so needs their load reports. */
  get placesDirectly (): boolean {
    if (this.#partitions) return this.#allocators.groups.length === 0
    return this.#client.slow || this.#otherAllocatorOf(this.#allocators.home) === undefined
  }

  /** Whether other jobs compete for the capacity that the job waits for; a request that merely awaits an answer is no reason to refuse the job. */
  isCrowded (job: Job): boolean {
    if (this.#partitions && this.#client.hasImmediateRequest(job)) return false
    return this.#partitions || this.placesDirectly ? this.#ownWaiting() + this.#requests.size > 1 : this.#client.isCrowded(job)
  }

  status (): AllocationStatus {
    return allocationStatus(this.#dependencies.name, this.#allocators, this.#lag, this.#client, this.#requests)
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.link(peer, now)
    this.#dependencies.emit({ type: 'tell', peer, message: { type: 'member', ...this.#ownFacts(now) } })
  }

  peerUnlinked (peer: string, now: number): void {
    this.#peers.unlink(peer)
    this.#requests.removeAllOf(peer)
    if (this.#partitions) this.#client.forgetFreeCapacity(peer)
    this.#updateAllocators(now)
  }

  received (peer: string, message: AllocationMessage, now: number): void {
    this.#peers.noteContact(peer, now)
    const handler = this.#handlers[message.type] as ((peer: string, message: AllocationMessage, now: number) => void) | undefined
    // While builds are mixed, another entry may send messages of a type that this build lacks.
    if (handler === undefined) return this.#dependencies.emit({ type: 'note', what: 'message of an unknown kind ignored', fields: { entry: peer, type: message.type } })
    handler(peer, message, now)
  }

  /** Records that the job has unplaced tasks; some may have been placed before. */
  noteQueued (job: Job): void {
    if (this.#partitions) this.#updateTypicalCpu(job)
    this.#client.noteQueued(job)
  }

  #updateTypicalCpu (job: Job): void {
    for (const { needs } of job.request.steps) this.#typicalCpu += (needs.cpu - this.#typicalCpu) * TYPICAL_CPU_RATE
  }

  /** Withdraws the job's request; nothing of it is left to place. */
  forget (job: Job): void {
    this.#client.forget(job)
  }

  /** Hands this entry's partition over at once, since the entry accepts no more callers. */
  stopping (now: number): void {
    if (!this.#partitions) return
    this.#updates.sendFacts(this.#ownFacts(now), now)
    this.#updateAllocators(now)
  }

  tick (now: number): void {
    this.#lag.tick(now, this.#dependencies.busy())
    this.#allocators.refreshTargets()
    if (this.#dependencies.fleet.linked === 0) this.#linkedSince = undefined
    else this.#linkedSince ??= now
    this.#updates.sendFacts(this.#ownFacts(now), now)
    if (this.#partitions) this.#watch.suspectUnresponsiveHolders(now)
    else if (this.#watch.suspectUnresponsiveAllocators(now)) this.#rolesChanged()
    this.#updateAllocators(now)
    this.#requests.sendWaiting()
    // A single group leaves no other one to request from, but a single partition may belong to another entry.
    if (this.#allocators.groups.length < 2 && !this.#partitions) return
    this.#updates.sendFreeCapacity(now)
    if (this.#partitions) this.#client.retryWaiting()
    else this.#client.retryElsewhere(!this.placesDirectly)
  }

  /** Places all queued tasks, or requests capacity for them from other entries. */
  placeOrRequest (now: number): void {
    if (this.#partitions) return this.#placeOrRequestInPartitions(now)
    const sendsRequests = !this.placesDirectly || (this.#client.slow && this.#otherAllocatorOf(this.#allocators.home) !== undefined && this.#client.shouldProbe(now))
    if (sendsRequests) this.#client.requestAll(now)
    this.#place(!sendsRequests, now)
    this.#requests.answer()
    if (!sendsRequests) this.#client.requestElsewhere(now)
  }

  #placeOrRequestInPartitions (now: number): void {
    this.#lag.noteEvent(now)
    this.#watch.abandonUnanswered(now)
    this.#place(true, now)
    this.#requests.answer()
    this.#client.withdrawFulfilled()
    this.#client.requestFromPartitions(now)
  }

  /** @param own whether to place jobs of this entry too, not only requests of others */
  #place (own: boolean, now: number): void {
    for (const service of new Set([...this.#dependencies.queues.keys(), ...this.#requests.services])) {
      const jobs = own ? this.#dependencies.queues.get(service) : undefined
      const requests = this.#requests.queueOf(service)
      if ((jobs?.size ?? 0) + (requests?.size ?? 0) > 0) this.#placer.place(this.#candidates(service, now), jobs, requests, now)
    }
  }

  // Allocators

  /** The other entry that allocates the capacity of the group; undefined when this entry or no entry does. */
  #otherAllocatorOf (group: string): string | undefined {
    const allocator = this.#allocators.allocatorOf(group)
    return allocator === this.#dependencies.name ? undefined : allocator
  }

  #ownFacts (now: number): MemberFacts {
    const { dataCentre, strength, serving } = this.#dependencies
    const settled = this.#linkedSince !== undefined && now - this.#linkedSince >= SETTLING_MILLISECONDS
    const facts = { dataCentre, able: settled && serving(), strength }
    if (!this.#partitions) return facts
    return { ...facts, able: facts.able && !this.#lag.lagging, lag: Math.round(this.#lag.milliseconds) }
  }

  #memberReceived (peer: string, { dataCentre, able, strength, lag }: MemberFacts, now: number): void {
    this.#peers.noteFacts(peer, { dataCentre, able, strength, lag })
    if (this.#partitions) this.#updateAllocators(now)
  }

  #freeCapacityReceived (peer: string, group: string, free: number, now: number): void {
    this.#client.noteFreeCapacity(group, free, now)
    if (!this.#partitions) return
    this.#peers.noteSendsUpdates(peer)
    if (free > 0) this.#client.retryWaiting()
  }

  #updateAllocators (now: number): void {
    if (!this.#allocators.update(this.#ownFacts(now))) return
    this.#watch.allocatorsChanged(now)
    this.#rolesChanged()
  }

  #rolesChanged (): void {
    this.#dependencies.fleet.setRoles(agent => this.#roleIn(this.#allocators.groupOf(agent)))
    this.#client.allocatorsChanged(!this.placesDirectly)
  }

  #roleIn (group: string): AllocationRole {
    const allocator = this.#allocators.allocatorOf(group)
    if (allocator === undefined || this.#peers.names.length === 0) return AllocationRole.Chooses
    if (allocator === this.#dependencies.name) return AllocationRole.Allocates
    return this.#client.slow && !this.#partitions ? AllocationRole.Chooses : AllocationRole.Asks
  }

  #candidates (service: string, now: number): Candidates {
    const byGroup = new Map<string, AgentView[]>()
    const reachable = this.#dependencies.fleet.reachable(service, now).filter(({ free }) => free.cpu > 0)
    for (const agent of reachable) {
      const group = this.#allocators.groupOf(agent)
      const known = byGroup.get(group)
      if (known === undefined) byGroup.set(group, [agent])
      else known.push(agent)
    }
    const usable = reachable.filter(agent => agent.usable(now))
    const allocatedHere = usable.filter(agent => this.#otherAllocatorOf(this.#allocators.groupOf(agent)) === undefined)
    const usesAll = this.#partitions ? false : this.#allocators.allocatorOf(this.#allocators.home) !== this.#dependencies.name
    return { own: job => usesAll || this.#client.isUnanswered(job) ? usable : allocatedHere, byGroup }
  }

  #ownWaiting (): number {
    let waiting = 0
    for (const queue of this.#dependencies.queues.values()) waiting += queue.size
    return waiting
  }

  // Answers of other entries

  #grantReceived (peer: string, { job: id, grants, waited }: Extract<AllocationMessage, { type: 'grant' }>, now: number): void {
    this.#peers.noteAnswered(peer)
    const job = this.#dependencies.jobOf(id)
    if (job !== undefined && this.#client.noteGranted(peer, job, waited, now) && !this.#partitions) this.#rolesChanged()
    const unused: Grant[] = []
    const places: Array<{ task: Task, agent: AgentView }> = []
    const planned = new Map<AgentView, number>()
    for (const grant of grants) {
      const task = job?.tasks.find(({ name }) => name === grant.task)
      const agent = this.#dependencies.fleet.agent(grant.agent)
      const placed = task?.state !== TaskState.Queued && this.#dependencies.fleet.guards.grantedOnce
      if (task === undefined || placed || agent?.usable(now) !== true || !agent.healthAllowsMore(planned.get(agent))) {
        unused.push(grant)
        continue
      }
      places.push({ task, agent })
      planned.set(agent, (planned.get(agent) ?? 0) + 1)
    }
    if (this.#partitions && job !== undefined) this.#client.noteGrants(peer, job, grants.length)
    if (unused.length > 0) this.#dependencies.emit({ type: 'tell', peer, message: { type: 'release', grants: unused } })
    if (job === undefined) return
    this.#placer.start(job, places, now)
    if (job.queued().length === 0) {
      this.#client.noteFulfilled(peer, job)
      this.#dependencies.queues.get(job.request.queue.service)?.remove(job)
    } else if (unused.length > 0) {
      this.#client.noteQueued(job)
    }
  }

  #declined (peer: string, id: string, group: string, free: number, now: number): void {
    this.#peers.noteAnswered(peer)
    this.#client.noteFreeCapacity(group, free, now)
    const job = this.#dependencies.jobOf(id)
    if (job !== undefined) this.#client.noteDeclined(peer, job, group)
  }

  #waitingReceived (peer: string, jobs: readonly string[], crowded: boolean, now: number): void {
    this.#peers.noteAnswered(peer)
    for (const id of jobs) {
      const job = this.#dependencies.jobOf(id)
      if (job !== undefined) this.#client.noteWaiting(peer, job, crowded, now)
    }
  }
}
