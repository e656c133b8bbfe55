/**
 * How the entries share the room at the targets: one of them gives out that of a group, or each that of its own partition, and
 * the others ask it.
 *
 * Entries that choose targets by themselves all see the same room, from load reports that are up to half a second old: many
 * of their starts come back as full, each after a round trip, and the last tasks of wide jobs are late. The entry that
 * gives out the room knows of all that is under way. It keeps nothing that must survive it: agents still refuse what does
 * not fit, so two allocators at a time, or none for a moment, cost refused starts and nothing else.
 */
import type { EntryEffect } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Candidates } from './placing.ts'
import type { Policy } from './policy.ts'
import type { RoomMap } from './roommap.ts'
import type { Grant, MemberFacts, RoomMessage } from './roommessages.ts'
import type { SharingStatus } from './sharingstatus.ts'
import { SETTLING_MILLISECONDS } from './defaults.ts'
import { TYPICAL_RATE } from './partitiondefaults.ts'
import { GroupMap } from './groupmap.ts'
import { TaskState } from './job.ts'
import { RoomRole } from './messages.ts'
import { PartitionMap } from './partitionmap.ts'
import { Peers } from './peers.ts'
import { PeerWatch } from './peerwatch.ts'
import { Placing } from './placing.ts'
import { ProcessorLag } from './processorlag.ts'
import { RoomClient } from './roomclient.ts'
import { RoomNews } from './roomnews.ts'
import { RoomRequest } from './roomrequest.ts'
import { RoomRequests } from './roomrequests.ts'
import { sharingStatus } from './sharingstatus.ts'

export interface RoomSharingParts {
  /** Name of this entry. */
  name: string
  dataCentre: string
  /** Speed of its processor against the other entries', in doublings. */
  strength: number
  policy: Policy
  fleet: Fleet
  /** Own jobs with tasks to place, by service. */
  queues: ReadonlyMap<string, JobQueue>
  /** The open job with an id. */
  jobOf: (id: string) => Job | undefined
  /** Whether this entry takes callers. */
  serving: () => boolean
  /** Whether it has jobs in progress. */
  busy: () => boolean
  /** Is told of each job of which the first task is placed. */
  begun: (now: number) => void
  emit: (effect: EntryEffect) => void
}

type Handlers = {
  [Type in RoomMessage['type']]: (peer: string, message: Extract<RoomMessage, { type: Type }>, now: number) => void
}

export class RoomSharing {
  readonly #parts: RoomSharingParts
  readonly #partitions: boolean
  readonly #peers: Peers
  readonly #map: RoomMap
  readonly #lag = new ProcessorLag()
  readonly #placing: Placing
  readonly #client: RoomClient
  readonly #requests: RoomRequests
  readonly #news: RoomNews
  readonly #watch: PeerWatch
  #linkedSince: number | undefined
  /** Processors of a usual task, in thousandths of a core. */
  #typicalCpu = 0

  readonly #handlers: Handlers = {
    member: (peer, message, now) => this.#memberHeard(peer, message, now),
    ask: (peer, message, now) => this.#requests.add(new RoomRequest(peer, message, now)),
    unask: (peer, { job }) => this.#requests.remove(peer, job),
    grant: (peer, message, now) => this.#granted(peer, message, now),
    declined: (peer, { job, group, free }, now) => this.#declined(peer, job, group, free, now),
    release: (_peer, { grants }) => this.#requests.release(grants),
    waiting: (peer, { jobs, crowded }, now) => this.#noteWaiting(peer, jobs, crowded, now),
    room: (peer, { group, free }, now) => this.#roomHeard(peer, group, free, now)
  }

  constructor (parts: RoomSharingParts) {
    const { name, dataCentre, policy, fleet, queues, begun, emit } = parts
    const tell = (peer: string, message: RoomMessage): void => emit({ type: 'tell', peer, message })
    const note = (what: string, fields: Record<string, unknown>): void => emit({ type: 'note', what, fields })
    const peers = new Peers(name)
    this.#parts = parts
    this.#peers = peers
    this.#partitions = policy.partitions
    this.#map = this.#partitions
      ? new PartitionMap({ name, fleet, peers, lag: () => this.#lag.milliseconds, note })
      : new GroupMap({ dataCentre, fleet, peers, shares: policy.sharesRoom, note })
    this.#placing = new Placing({
      fleet,
      dataCentre,
      policy,
      begun,
      granted: (request, grants, now) => tell(request.peer, { type: 'grant', job: request.job, grants, waited: Math.round(now - request.arrivedAt) }),
      dataCentreOf: peer => peers.dataCentreOf(peer) ?? dataCentre,
      entries: () => peers.names.length + 1,
      note
    })
    this.#client = new RoomClient({
      fleet,
      queues,
      home: () => this.#map.home,
      allocatorOf: group => this.#otherAllocatorOf(group),
      linked: peer => peers.has(peer),
      near: peer => peers.dataCentreOf(peer) === dataCentre,
      answers: (peer, now) => peers.answers(peer, now),
      holders: () => this.#map.groups,
      tell,
      note
    })
    this.#requests = new RoomRequests({
      fleet,
      groupOf: agent => this.#map.groupOf(agent),
      gives: group => !this.#partitions || this.#map.allocatorOf(group) === name,
      ownWaiting: () => this.#ownWaiting(),
      typicalCpu: () => this.#typicalCpu,
      tell
    })
    this.#news = new RoomNews({ name, dataCentre, partitions: this.#partitions, map: this.#map, peers, freeOf: group => this.#requests.freeOf(group), tell })
    this.#watch = new PeerWatch({ name, map: this.#map, peers, client: this.#client, lag: this.#lag, news: this.#news, note })
  }

  /** Whether this entry chooses targets for its own jobs, and so wants to hear of their load. */
  get choosesItself (): boolean {
    if (this.#partitions) return this.#map.groups.length === 0
    return this.#client.slow || this.#otherAllocatorOf(this.#map.home) === undefined
  }

  /** Whether the job waits for room that other jobs want as well: an answer that is merely under way is no reason to refuse it. */
  isCrowded (job: Job): boolean {
    if (this.#partitions && this.#client.isUnderWay(job)) return false
    return this.#partitions || this.choosesItself ? this.#ownWaiting() + this.#requests.size > 1 : this.#client.isCrowded(job)
  }

  status (): SharingStatus {
    return sharingStatus(this.#parts.name, this.#map, this.#lag, this.#client, this.#requests)
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.link(peer, now)
    this.#parts.emit({ type: 'tell', peer, message: { type: 'member', ...this.#ownFacts(now) } })
  }

  peerUnlinked (peer: string, now: number): void {
    this.#peers.unlink(peer)
    this.#requests.removeAllOf(peer)
    if (this.#partitions) this.#client.forgetRoom(peer)
    this.#renew(now)
  }

  received (peer: string, message: RoomMessage, now: number): void {
    this.#peers.noteHeard(peer, now)
    const handler = this.#handlers[message.type] as ((peer: string, message: RoomMessage, now: number) => void) | undefined
    // While builds are mixed, another entry may speak of what this one does not know.
    if (handler === undefined) return this.#parts.emit({ type: 'note', what: 'message of an unknown kind ignored', fields: { entry: peer, type: message.type } })
    handler(peer, message, now)
  }

  /** Tasks of the job wait for room, some of them perhaps anew. */
  noteQueued (job: Job): void {
    if (this.#partitions) this.#noteNeeds(job)
    this.#client.noteQueued(job)
  }

  #noteNeeds (job: Job): void {
    for (const { needs } of job.request.steps) this.#typicalCpu += (needs.cpu - this.#typicalCpu) * TYPICAL_RATE
  }

  /** Nothing is to be placed for the job any more. */
  forget (job: Job): void {
    this.#client.forget(job)
  }

  /** This entry takes no more callers: what it gives out goes to others at once. */
  stopping (now: number): void {
    if (!this.#partitions) return
    this.#news.tellFacts(this.#ownFacts(now), now)
    this.#renew(now)
  }

  tick (now: number): void {
    this.#lag.tick(now, this.#parts.busy())
    this.#map.observe()
    if (this.#parts.fleet.linked === 0) this.#linkedSince = undefined
    else this.#linkedSince ??= now
    this.#news.tellFacts(this.#ownFacts(now), now)
    if (this.#partitions) this.#watch.suspectSilentHolders(now)
    else if (this.#watch.suspectSilentAllocators(now)) this.#rolesChanged()
    this.#renew(now)
    this.#requests.tellWaiting()
    // Beside one group there is no other to look in; one partition may be another entry's.
    if (this.#map.groups.length < 2 && !this.#partitions) return
    this.#news.tellRooms(now)
    if (this.#partitions) this.#client.lookAgain()
    else this.#client.lookFurther(!this.choosesItself)
  }

  /** Has all queued tasks placed or asked for. */
  settle (now: number): void {
    if (this.#partitions) return this.#settlePartition(now)
    const asks = !this.choosesItself || (this.#client.slow && this.#otherAllocatorOf(this.#map.home) !== undefined && this.#client.probes(now))
    if (asks) this.#client.askAll(now)
    this.#place(!asks, now)
    this.#requests.answer()
    if (!asks) this.#client.askElsewhere(now)
  }

  #settlePartition (now: number): void {
    this.#lag.noteEvent(now)
    this.#watch.giveUpUnanswered(now)
    this.#place(true, now)
    this.#requests.answer()
    this.#client.withdrawMet()
    this.#client.askPartitions(now)
  }

  /** @param own whether own jobs are placed here as well */
  #place (own: boolean, now: number): void {
    for (const service of new Set([...this.#parts.queues.keys(), ...this.#requests.services])) {
      const jobs = own ? this.#parts.queues.get(service) : undefined
      const requests = this.#requests.queueOf(service)
      if ((jobs?.size ?? 0) + (requests?.size ?? 0) > 0) this.#placing.place(this.#candidates(service, now), jobs, requests, now)
    }
  }

  // Who gives out what

  /** The entry that gives out the room of the group, unless it is this one or nobody does. */
  #otherAllocatorOf (group: string): string | undefined {
    const allocator = this.#map.allocatorOf(group)
    return allocator === this.#parts.name ? undefined : allocator
  }

  #ownFacts (now: number): MemberFacts {
    const { dataCentre, strength, serving } = this.#parts
    const settled = this.#linkedSince !== undefined && now - this.#linkedSince >= SETTLING_MILLISECONDS
    const facts = { dataCentre, able: settled && serving(), strength }
    if (!this.#partitions) return facts
    return { ...facts, able: facts.able && !this.#lag.lagging, lag: Math.round(this.#lag.milliseconds) }
  }

  #memberHeard (peer: string, { dataCentre, able, strength, lag }: MemberFacts, now: number): void {
    this.#peers.noteFacts(peer, { dataCentre, able, strength, lag })
    if (this.#partitions) this.#renew(now)
  }

  #roomHeard (peer: string, group: string, free: number, now: number): void {
    this.#client.noteRoom(group, free, now)
    if (!this.#partitions) return
    this.#peers.noteTells(peer)
    if (free > 0) this.#client.lookAgain()
  }

  #renew (now: number): void {
    if (!this.#map.renew(this.#ownFacts(now))) return
    this.#watch.allocatorsChanged(now)
    this.#rolesChanged()
  }

  #rolesChanged (): void {
    this.#parts.fleet.setRoles(agent => this.#roleFor(this.#map.groupOf(agent)))
    this.#client.allocatorsChanged(!this.choosesItself)
  }

  #roleFor (group: string): RoomRole {
    const allocator = this.#map.allocatorOf(group)
    if (allocator === undefined || this.#peers.names.length === 0) return RoomRole.Chooses
    if (allocator === this.#parts.name) return RoomRole.Allocates
    return this.#client.slow && !this.#partitions ? RoomRole.Chooses : RoomRole.Asks
  }

  #candidates (service: string, now: number): Candidates {
    const byGroup = new Map<string, AgentView[]>()
    const reachable = this.#parts.fleet.reachable(service, now).filter(({ free }) => free.cpu > 0)
    for (const agent of reachable) {
      const group = this.#map.groupOf(agent)
      const known = byGroup.get(group)
      if (known === undefined) byGroup.set(group, [agent])
      else known.push(agent)
    }
    const usable = reachable.filter(agent => agent.usable(now))
    const given = usable.filter(agent => this.#otherAllocatorOf(this.#map.groupOf(agent)) === undefined)
    const anywhere = this.#partitions ? false : this.#map.allocatorOf(this.#map.home) !== this.#parts.name
    return { own: job => anywhere || this.#client.isUnanswered(job) ? usable : given, byGroup }
  }

  #ownWaiting (): number {
    let waiting = 0
    for (const queue of this.#parts.queues.values()) waiting += queue.size
    return waiting
  }

  // What others answer

  #granted (peer: string, { job: id, grants, waited }: Extract<RoomMessage, { type: 'grant' }>, now: number): void {
    this.#peers.noteAnswered(peer)
    const job = this.#parts.jobOf(id)
    if (job !== undefined && this.#client.noteGranted(peer, job, waited, now) && !this.#partitions) this.#rolesChanged()
    const unused: Grant[] = []
    const places: Array<{ task: Task, agent: AgentView }> = []
    const planned = new Map<AgentView, number>()
    for (const grant of grants) {
      const task = job?.tasks.find(({ name }) => name === grant.task)
      const agent = this.#parts.fleet.agent(grant.agent)
      const placed = task?.state !== TaskState.Queued && this.#parts.fleet.guards.grantedOnce
      if (task === undefined || placed || agent?.usable(now) !== true || !agent.healthAllowsMore(planned.get(agent))) {
        unused.push(grant)
        continue
      }
      places.push({ task, agent })
      planned.set(agent, (planned.get(agent) ?? 0) + 1)
    }
    if (this.#partitions && job !== undefined) this.#client.noteGrants(peer, job, grants.length)
    if (unused.length > 0) this.#parts.emit({ type: 'tell', peer, message: { type: 'release', grants: unused } })
    if (job === undefined) return
    this.#placing.start(job, places, now)
    if (job.queued().length === 0) {
      this.#client.noteMet(peer, job)
      this.#parts.queues.get(job.request.queue.service)?.remove(job)
    } else if (unused.length > 0) {
      this.#client.noteQueued(job)
    }
  }

  #declined (peer: string, id: string, group: string, free: number, now: number): void {
    this.#peers.noteAnswered(peer)
    this.#client.noteRoom(group, free, now)
    const job = this.#parts.jobOf(id)
    if (job !== undefined) this.#client.noteDeclined(peer, job, group)
  }

  #noteWaiting (peer: string, jobs: readonly string[], crowded: boolean, now: number): void {
    this.#peers.noteAnswered(peer)
    for (const id of jobs) {
      const job = this.#parts.jobOf(id)
      if (job !== undefined) this.#client.noteWaiting(peer, job, crowded, now)
    }
  }
}
