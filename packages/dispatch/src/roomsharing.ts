/**
 * How the entries share the room at the targets: one of them gives out that of a group, the others ask it.
 *
 * Entries that choose targets by themselves all see the same room, from load reports that are up to half a second old: a
 * third of their starts came back as full, each after a round trip, and the last tasks of wide jobs were late. The entry
 * that gives out the room knows of all that is under way. It keeps nothing that must survive it: agents still refuse what
 * does not fit, so two allocators at a time, or none for a moment, cost refused starts and nothing else.
 */
import type { EntryEffect } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Candidates } from './placing.ts'
import type { Policy } from './policy.ts'
import type { Grant, MemberFacts, RoomMessage } from './roommessages.ts'
import {
  ALLOCATOR_SILENCE_MILLISECONDS, MEMBER_INTERVAL_MILLISECONDS, PEER_SILENCE_MILLISECONDS, ROOM_CHANGE_PART,
  ROOM_INTERVAL_MILLISECONDS, SETTLING_MILLISECONDS
} from './defaults.ts'
import { TargetGroups } from './groups.ts'
import { TaskState } from './job.ts'
import { RoomRole } from './messages.ts'
import { Peers } from './peers.ts'
import { Placing } from './placing.ts'
import { RoomClient } from './roomclient.ts'
import { RoomRequest } from './roomrequest.ts'
import { RoomRequests } from './roomrequests.ts'

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
  /** Is told of each job of which the first task is placed. */
  begun: (now: number) => void
  emit: (effect: EntryEffect) => void
}

type Handlers = {
  [Type in RoomMessage['type']]: (peer: string, message: Extract<RoomMessage, { type: Type }>, now: number) => void
}

export class RoomSharing {
  readonly #parts: RoomSharingParts
  readonly #peers: Peers
  readonly #groups = new TargetGroups()
  readonly #placing: Placing
  readonly #client: RoomClient
  readonly #requests: RoomRequests
  /** Who gives out the room of each group. */
  #allocators = new Map<string, string | undefined>()
  /** When that last changed. */
  #allocatorsSince = Number.NEGATIVE_INFINITY
  #home = ''
  #linkedSince: number | undefined
  /** As the others were told last. */
  #toldAble = false
  #memberToldAt = Number.NEGATIVE_INFINITY
  readonly #toldRooms = new Map<string, number>()
  #roomToldAt = Number.NEGATIVE_INFINITY

  readonly #handlers: Handlers = {
    member: (peer, { dataCentre, able, strength }) => this.#peers.noteFacts(peer, { dataCentre, able, strength }),
    ask: (peer, message, now) => this.#requests.add(new RoomRequest(peer, message, now)),
    unask: (peer, { job }) => this.#requests.remove(peer, job),
    grant: (peer, message, now) => this.#granted(peer, message, now),
    declined: (peer, { job, group, free }) => this.#declined(peer, job, group, free),
    release: (_peer, { grants }) => this.#requests.release(grants),
    waiting: (peer, { jobs, crowded }) => this.#noteWaiting(peer, jobs, crowded),
    room: (_peer, { group, free }) => this.#client.noteRoom(group, free)
  }

  constructor (parts: RoomSharingParts) {
    const { name, dataCentre, policy, fleet, queues, begun, emit } = parts
    const tell = (peer: string, message: RoomMessage): void => emit({ type: 'tell', peer, message })
    const note = (what: string, fields: Record<string, unknown>): void => emit({ type: 'note', what, fields })
    this.#parts = parts
    this.#peers = new Peers(name)
    this.#placing = new Placing({
      fleet,
      dataCentre,
      policy,
      begun,
      granted: (request, grants, now) => tell(request.peer, { type: 'grant', job: request.job, grants, waited: Math.round(now - request.arrivedAt) }),
      dataCentreOf: peer => this.#peers.dataCentreOf(peer) ?? dataCentre,
      entries: () => this.#peers.names.length + 1,
      note
    })
    this.#client = new RoomClient({
      fleet,
      queues,
      home: () => this.#home,
      allocatorOf: group => this.#otherAllocatorOf(group),
      linked: peer => this.#peers.has(peer),
      tell,
      note
    })
    this.#requests = new RoomRequests({ fleet, groupOf: of => this.#groups.of(of), ownWaiting: () => this.#ownWaiting(), tell })
  }

  /** Whether this entry chooses targets for its own jobs, and so wants to hear of their load. */
  get choosesItself (): boolean {
    return this.#client.slow || this.#otherAllocatorOf(this.#home) === undefined
  }

  /** Whether the job waits for room that other jobs want as well: an answer that is merely under way is no reason to refuse it. */
  isCrowded (job: Job): boolean {
    return this.choosesItself ? this.#ownWaiting() + this.#requests.size > 1 : this.#client.isCrowded(job)
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.link(peer, now)
    this.#parts.emit({ type: 'tell', peer, message: { type: 'member', ...this.#ownFacts(now) } })
  }

  peerUnlinked (peer: string, now: number): void {
    this.#peers.unlink(peer)
    this.#requests.removeAllOf(peer)
    this.#renewAllocators(now)
  }

  received (peer: string, message: RoomMessage, now: number): void {
    this.#peers.noteHeard(peer, now)
    const handler = this.#handlers[message.type] as (peer: string, message: RoomMessage, now: number) => void
    handler(peer, message, now)
  }

  /** Tasks of the job wait for room, some of them perhaps anew. */
  noteQueued (job: Job): void {
    this.#client.noteQueued(job)
  }

  /** Nothing is to be placed for the job any more. */
  forget (job: Job): void {
    this.#client.forget(job)
  }

  tick (now: number): void {
    this.#groups.update(this.#parts.fleet.targetsByDataCentre())
    this.#home = this.#groups.home(this.#parts.dataCentre)
    if (this.#parts.fleet.linked === 0) this.#linkedSince = undefined
    else this.#linkedSince ??= now
    this.#tellAble(now)
    this.#suspectSilent(now)
    this.#renewAllocators(now)
    this.#requests.tellWaiting()
    if (this.#groups.names.length < 2) return
    this.#tellRoom(now)
    this.#client.lookFurther(!this.choosesItself)
  }

  /** Has all queued tasks placed or asked for. */
  settle (now: number): void {
    const asks = !this.choosesItself || (this.#client.slow && this.#otherAllocatorOf(this.#home) !== undefined && this.#client.probes(now))
    if (asks) this.#client.askAll(now)
    for (const service of new Set([...this.#parts.queues.keys(), ...this.#requests.services])) {
      const jobs = asks ? undefined : this.#parts.queues.get(service)
      const requests = this.#requests.queueOf(service)
      if ((jobs?.size ?? 0) + (requests?.size ?? 0) > 0) this.#placing.place(this.#candidates(service, now), jobs, requests, now)
    }
    this.#requests.answer()
    if (!asks) this.#client.askElsewhere(now)
  }

  // Who gives out what

  /** The entry that gives out the room of the group, unless it is this one or nobody does. */
  #otherAllocatorOf (group: string): string | undefined {
    const allocator = this.#allocators.get(group)
    return allocator === this.#parts.name ? undefined : allocator
  }

  #ownFacts (now: number): MemberFacts {
    const settled = this.#linkedSince !== undefined && now - this.#linkedSince >= SETTLING_MILLISECONDS
    return { dataCentre: this.#parts.dataCentre, able: settled && this.#parts.serving(), strength: this.#parts.strength }
  }

  #tellAble (now: number): void {
    const facts = this.#ownFacts(now)
    const allocates = [...this.#allocators.values()].includes(this.#parts.name)
    if (facts.able === this.#toldAble && (!allocates || now - this.#memberToldAt < MEMBER_INTERVAL_MILLISECONDS)) return
    this.#toldAble = facts.able
    this.#memberToldAt = now
    this.#tellAll({ type: 'member', ...facts })
  }

  /** An entry that owes an answer gives a sign of life with each tick; one that gives out room, each second. */
  #suspectSilent (now: number): void {
    for (const allocator of this.#allocators.values()) {
      if (allocator === undefined || allocator === this.#parts.name) continue
      if (now - Math.max(this.#peers.heardAt(allocator), this.#allocatorsSince) >= PEER_SILENCE_MILLISECONDS) this.#peers.suspect(allocator)
    }
    let silent = false
    for (const { peer, at } of this.#client.owing()) {
      if (now - Math.max(at, this.#peers.heardAt(peer)) < ALLOCATOR_SILENCE_MILLISECONDS) continue
      this.#note('allocator silent', { entry: peer, asked: Math.round(now - at) })
      this.#peers.suspect(peer)
      silent = true
    }
    if (!silent) return
    this.#client.noteSilent()
    this.#rolesChanged()
  }

  #renewAllocators (now: number): void {
    const own = this.#ownFacts(now)
    const allocators = new Map<string, string | undefined>()
    let changed = false
    for (const group of this.#groups.names) {
      const allocator = this.#parts.policy.sharesRoom ? this.#peers.allocatorOf(group, dataCentre => this.#groups.of(dataCentre) === group, own) : undefined
      allocators.set(group, allocator)
      if (allocator === this.#allocators.get(group)) continue
      changed = true
      this.#note('room given out by', { group, entry: allocator })
    }
    changed ||= allocators.size !== this.#allocators.size
    this.#allocators = allocators
    if (!changed) return
    this.#allocatorsSince = now
    this.#rolesChanged()
  }

  #rolesChanged (): void {
    this.#parts.fleet.setRoles(dataCentre => this.#roleFor(this.#groups.of(dataCentre)))
    this.#client.allocatorsChanged(!this.choosesItself)
  }

  #roleFor (group: string): RoomRole {
    const allocator = this.#allocators.get(group)
    if (allocator === undefined || this.#peers.names.length === 0) return RoomRole.Chooses
    if (allocator === this.#parts.name) return RoomRole.Allocates
    return this.#client.slow ? RoomRole.Chooses : RoomRole.Asks
  }

  #candidates (service: string, now: number): Candidates {
    const byGroup = new Map<string, AgentView[]>()
    const reachable = this.#parts.fleet.reachable(service, now).filter(({ free }) => free.cpu > 0)
    for (const agent of reachable) {
      const group = this.#groups.of(agent.dataCentre ?? '')
      const known = byGroup.get(group)
      if (known === undefined) byGroup.set(group, [agent])
      else known.push(agent)
    }
    const anywhere = this.#allocators.get(this.#home) !== this.#parts.name
    const own = reachable.filter(agent => agent.usable(now) && (anywhere || this.#otherAllocatorOf(this.#groups.of(agent.dataCentre ?? '')) === undefined))
    return { own, byGroup }
  }

  #ownWaiting (): number {
    let waiting = 0
    for (const queue of this.#parts.queues.values()) waiting += queue.size
    return waiting
  }

  // What others answer

  #granted (peer: string, { job: id, grants, waited }: Extract<RoomMessage, { type: 'grant' }>, now: number): void {
    const job = this.#parts.jobOf(id)
    if (job !== undefined && this.#client.noteGranted(peer, job, waited, now)) this.#rolesChanged()
    const unused: Grant[] = []
    const places: Array<{ task: Task, agent: AgentView }> = []
    const planned = new Map<AgentView, number>()
    for (const grant of grants) {
      const task = job?.tasks.find(({ name }) => name === grant.task)
      const agent = this.#parts.fleet.agent(grant.agent)
      if (task?.state !== TaskState.Queued || agent?.usable(now) !== true || !agent.hasPlace(planned.get(agent))) {
        unused.push(grant)
        continue
      }
      places.push({ task, agent })
      planned.set(agent, (planned.get(agent) ?? 0) + 1)
    }
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

  #declined (peer: string, id: string, group: string, free: number): void {
    this.#client.noteRoom(group, free)
    const job = this.#parts.jobOf(id)
    if (job !== undefined) this.#client.noteDeclined(peer, job, group)
  }

  #noteWaiting (peer: string, jobs: readonly string[], crowded: boolean): void {
    for (const id of jobs) {
      const job = this.#parts.jobOf(id)
      if (job !== undefined) this.#client.noteWaiting(peer, job, crowded)
    }
  }

  // What others are told

  #tellRoom (now: number): void {
    if (now - this.#roomToldAt < ROOM_INTERVAL_MILLISECONDS) return
    this.#roomToldAt = now
    for (const [group, allocator] of this.#allocators) {
      if (allocator !== this.#parts.name) continue
      const free = this.#requests.freeOf(group)
      const told = this.#toldRooms.get(group)
      if (told !== undefined && Math.abs(free - told) <= ROOM_CHANGE_PART * told) continue
      this.#toldRooms.set(group, free)
      this.#tellAll({ type: 'room', group, free })
    }
  }

  #tellAll (message: RoomMessage): void {
    for (const peer of this.#peers.names) this.#parts.emit({ type: 'tell', peer, message })
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#parts.emit({ type: 'note', what, fields })
  }
}
