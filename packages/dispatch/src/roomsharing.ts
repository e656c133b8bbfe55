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
import type { Job, Step, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Candidates } from './placing.ts'
import type { Policy } from './policy.ts'
import type { Grant, MemberFacts, PeerMessage, RoomStep } from './roommessages.ts'
import {
  ALLOCATOR_SILENCE_MILLISECONDS, ANSWER_PROBE_MILLISECONDS, ANSWER_TIME_RATE, FAR_ROOM_FACTOR, MEMBER_INTERVAL_MILLISECONDS, PEER_SILENCE_MILLISECONDS, QUICK_ANSWER_MILLISECONDS,
  ROOM_CHANGE_PART, ROOM_INTERVAL_MILLISECONDS, SETTLING_MILLISECONDS, SLOW_ANSWER_MILLISECONDS
} from './defaults.ts'
import { TargetGroups } from './groups.ts'
import { JobState, TaskState } from './job.ts'
import { RoomRole } from './messages.ts'
import { Peers } from './peers.ts'
import { Placing } from './placing.ts'
import { RequestQueue } from './requestqueue.ts'
import { RoomRequest } from './roomrequest.ts'

export interface RoomSharingParts {
  /** Name of this entry. */
  name: string
  dataCentre: string
  strength: number
  policy: Policy
  fleet: Fleet
  /** Own jobs with tasks to place, by service. */
  queues: ReadonlyMap<string, JobQueue>
  /** The open job with an id. */
  jobOf: (id: string) => Job | undefined
  /** Whether this entry takes callers. */
  serving: () => boolean
  begun: (now: number) => void
  emit: (effect: EntryEffect) => void
}

/** A request of this entry that another has not met in full. */
interface Asked {
  peer: string
  group: string
  waits: boolean
  at: number
  /** The other entry has said that it waits for room that others want as well. */
  crowded: boolean
}

/** What is known of the free room of a group that another entry gives out. */
interface GroupRoom {
  free: number
  at: number
}

type Handlers = {
  [Type in PeerMessage['type']]: (peer: string, message: Extract<PeerMessage, { type: Type }>, now: number) => void
}

export class RoomSharing {
  readonly #parts: RoomSharingParts
  readonly #peers: Peers
  readonly #groups = new TargetGroups()
  readonly #placing: Placing
  /** Who gives out the room of each group. */
  #allocators = new Map<string, string | undefined>()
  /** When that last changed. */
  #allocatorsSince = Number.NEGATIVE_INFINITY
  #home = ''
  #linkedSince: number | undefined
  /** As the others were told last. */
  #toldAble = false
  #memberToldAt = Number.NEGATIVE_INFINITY
  // As the entry that asks
  readonly #toAsk = new Set<Job>()
  readonly #asked = new Map<Job, Asked>()
  /** Groups that had no room for a job. */
  readonly #tried = new Map<Job, Set<string>>()
  readonly #rooms = new Map<string, GroupRoom>()
  /** Mean time of answers on room, in milliseconds. */
  #answerTime = 0
  /** Answers take so long that this entry chooses by itself. */
  #answersSlow = false
  #probedAt = Number.NEGATIVE_INFINITY
  // As the entry that is asked
  readonly #requests = new Map<string, RoomRequest>()
  readonly #requestQueues = new Map<string, RequestQueue>()
  /** Free room as the others were told last. */
  readonly #toldRooms = new Map<string, number>()
  #roomToldAt = Number.NEGATIVE_INFINITY

  readonly #handlers: Handlers = {
    member: (peer, { dataCentre, able, strength }) => this.#peers.noteFacts(peer, { dataCentre, able, strength }),
    ask: (peer, message, now) => this.#askedFor(new RoomRequest(peer, message, now)),
    unask: (peer, { job }) => this.#forgetRequest(`${peer}/${job}`),
    grant: (peer, { job, grants }, now) => this.#granted(peer, job, grants, now),
    declined: (_peer, { job, group, free }, now) => this.#declined(job, group, free, now),
    release: (_peer, { grants }) => { for (const { task, agent } of grants) this.#parts.fleet.agent(agent)?.takeBack(task) },
    waiting: (peer, { jobs, crowded }) => this.#noteWaiting(peer, jobs, crowded),
    room: (_peer, { group, free }, now) => { this.#rooms.set(group, { free, at: now }) }
  }

  constructor (parts: RoomSharingParts) {
    this.#parts = parts
    this.#peers = new Peers(parts.name)
    this.#placing = new Placing({
      fleet: parts.fleet,
      dataCentre: parts.dataCentre,
      policy: parts.policy,
      begun: parts.begun,
      granted: (request, grants) => this.#tell(request.peer, { type: 'grant', job: request.job, grants }),
      dataCentreOf: peer => this.#peers.dataCentreOf(peer) ?? parts.dataCentre,
      note: (what, fields) => parts.emit({ type: 'note', what, fields })
    })
  }

  /** Whether this entry chooses targets for its own jobs, and so wants to hear of their load. */
  get choosesItself (): boolean {
    return this.#answersSlow || !this.#asksFor(this.#home)
  }

  /** Whether the job waits for room that other jobs want as well: an answer that is merely under way is no reason to refuse it. */
  isCrowded (job: Job): boolean {
    if (this.choosesItself) return (this.#parts.queues.get(job.request.queue.service)?.size ?? 0) + this.#requests.size > 1
    return this.#asked.get(job)?.crowded === true
  }

  peerLinked (peer: string, now: number): void {
    this.#peers.link(peer, now)
    this.#tell(peer, { type: 'member', ...this.#ownFacts(now) })
  }

  peerUnlinked (peer: string, now: number): void {
    this.#peers.unlink(peer)
    for (const [key, request] of this.#requests) if (request.peer === peer) this.#forgetRequest(key)
    this.#renewAllocators(now)
  }

  received (peer: string, message: PeerMessage, now: number): void {
    this.#peers.noteHeard(peer, now)
    const handler = this.#handlers[message.type] as (peer: string, message: PeerMessage, now: number) => void
    handler(peer, message, now)
  }

  /** Tasks of the job wait for room, some of them perhaps anew. */
  noteQueued (job: Job): void {
    this.#toAsk.add(job)
  }

  /** Nothing is to be placed for the job any more. */
  forget (job: Job): void {
    this.#toAsk.delete(job)
    this.#tried.delete(job)
    this.#withdraw(job)
  }

  tick (now: number): void {
    this.#groups.update(this.#parts.fleet.targetsByDataCentre())
    this.#home = this.#groups.home(this.#parts.dataCentre)
    if (this.#parts.fleet.linked === 0) this.#linkedSince = undefined
    else this.#linkedSince ??= now
    this.#tellAble(now)
    this.#suspectSilent(now)
    this.#renewAllocators(now)
    this.#tellWaiting()
    this.#tellRoom(now)
    this.#lookFurther()
  }

  /** Has all queued tasks placed or asked for. */
  settle (now: number): void {
    const asks = this.#asksNow(now)
    if (asks) {
      for (const job of this.#toAsk) this.#ask(job, now)
      this.#toAsk.clear()
    }
    const candidates = this.#candidates(now)
    for (const service of new Set([...this.#parts.queues.keys(), ...this.#requestQueues.keys()])) {
      const jobs = asks ? undefined : this.#parts.queues.get(service)
      const requests = this.#requestQueues.get(service)
      if ((jobs?.size ?? 0) + (requests?.size ?? 0) > 0) this.#placing.place(candidates(service), jobs, requests, now)
    }
    this.#answerRequests()
    if (asks) return
    for (const job of this.#toAsk) this.#askElsewhere(job, now)
    this.#toAsk.clear()
  }

  /** While answers are slow, now and then a request measures whether they still are. */
  #asksNow (now: number): boolean {
    if (!this.#asksFor(this.#home)) return false
    if (!this.#answersSlow) return true
    if (this.#toAsk.size === 0 || now - this.#probedAt < ANSWER_PROBE_MILLISECONDS) return false
    this.#probedAt = now
    return true
  }

  #noteAnswered ({ at, crowded }: Asked, now: number): void {
    if (crowded) return
    this.#answerTime += (now - at - this.#answerTime) * ANSWER_TIME_RATE
    const slow = this.#answerTime > (this.#answersSlow ? QUICK_ANSWER_MILLISECONDS : SLOW_ANSWER_MILLISECONDS)
    if (slow === this.#answersSlow) return
    this.#answersSlow = slow
    this.#note(slow ? 'answers on room are slow' : 'answers on room are quick again', { milliseconds: Math.round(this.#answerTime) })
    this.#allocatorsChanged()
  }

  // Who gives out what

  /** Whether another entry gives out the room of the group. */
  #asksFor (group: string): boolean {
    const allocator = this.#allocators.get(group)
    return allocator !== undefined && allocator !== this.#parts.name
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

  #suspectSilent (now: number): void {
    for (const allocator of this.#allocators.values()) {
      if (allocator === undefined || allocator === this.#parts.name) continue
      if (now - Math.max(this.#peers.heardAt(allocator), this.#allocatorsSince) >= PEER_SILENCE_MILLISECONDS) this.#peers.suspect(allocator)
    }
    for (const { peer, at } of this.#asked.values()) {
      if (now - Math.max(at, this.#peers.heardAt(peer)) < ALLOCATOR_SILENCE_MILLISECONDS) continue
      this.#note('allocator silent', { entry: peer, asked: Math.round(now - at) })
      this.#peers.suspect(peer)
    }
  }

  #renewAllocators (now: number): void {
    const own = this.#ownFacts(now)
    let changed = false
    const allocators = new Map<string, string | undefined>()
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
    this.#allocatorsChanged()
  }

  #allocatorsChanged (): void {
    this.#parts.fleet.setRoles(dataCentre => this.#roleFor(this.#groups.of(dataCentre)))
    for (const [job, { peer, group }] of this.#asked) {
      if (!this.#answersSlow && this.#allocators.get(group) === peer && this.#peers.has(peer)) continue
      this.#withdraw(job)
      this.#toAsk.add(job)
    }
    if (this.choosesItself) return
    for (const queue of this.#parts.queues.values()) for (const job of queue.jobs()) if (!this.#asked.has(job)) this.#toAsk.add(job)
  }

  #roleFor (group: string): RoomRole {
    const allocator = this.#allocators.get(group)
    if (allocator === undefined || this.#peers.names.length === 0) return RoomRole.Chooses
    if (this.#answersSlow && allocator !== this.#parts.name) return RoomRole.Chooses
    return allocator === this.#parts.name ? RoomRole.Allocates : RoomRole.Asks
  }

  /** Targets that may be chosen now, each service's found when it is asked for. */
  #candidates (now: number): (service: string) => Candidates {
    const { fleet, name } = this.#parts
    return service => {
      const byGroup = new Map<string, AgentView[]>()
      const reachable = fleet.reachable(service, now).filter(({ free }) => free.cpu > 0)
      for (const agent of reachable) {
        const group = this.#groups.of(agent.dataCentre ?? '')
        const known = byGroup.get(group)
        if (known === undefined) byGroup.set(group, [agent])
        else known.push(agent)
      }
      const alone = this.#allocators.get(this.#home) === undefined || (this.#answersSlow && this.#asksFor(this.#home))
      const own = reachable.filter(agent => agent.usable(now) && (alone || this.#allocators.get(this.#groups.of(agent.dataCentre ?? '')) === name))
      return { own, byGroup }
    }
  }

  // As the entry that asks

  #ask (job: Job, now: number): void {
    const tasks = job.queued()
    if (job.state !== JobState.Open || tasks.length === 0) return this.#withdraw(job)
    const need = cpuOf(job, tasks)
    const tried = this.#tried.get(job) ?? new Set()
    const elsewhere = this.#groupWithRoom(need, tried)
    const homeHasRoom = (this.#rooms.get(this.#home)?.free ?? Infinity) >= need && !tried.has(this.#home)
    if (homeHasRoom || elsewhere === undefined) this.#send(job, tasks, this.#home, elsewhere === undefined, now)
    else this.#send(job, tasks, elsewhere, false, now)
  }

  /** For an entry that gives out the room of its own group: what has found none there is asked for in another. */
  #askElsewhere (job: Job, now: number): void {
    const tasks = job.queued()
    if (job.state !== JobState.Open || tasks.length === 0 || this.#asked.has(job)) return
    const group = this.#groupWithRoom(cpuOf(job, tasks), this.#tried.get(job) ?? new Set())
    if (group !== undefined) this.#send(job, tasks, group, false, now)
  }

  /** The group with the most free room among those that other entries give out, if it is enough. */
  #groupWithRoom (need: number, tried: ReadonlySet<string>): string | undefined {
    let best: string | undefined
    let most = need * FAR_ROOM_FACTOR
    for (const [group, { free }] of this.#rooms) {
      if (group === this.#home || tried.has(group) || free < most || !this.#asksFor(group)) continue
      best = group
      most = free
    }
    return best
  }

  #send (job: Job, tasks: readonly Task[], group: string, waits: boolean, now: number): void {
    const peer = this.#allocators.get(group)
    if (peer === undefined) return
    if (this.#asked.has(job) && this.#asked.get(job)?.peer !== peer) this.#withdraw(job)
    const { service } = job.request.queue
    const queue = this.#parts.queues.get(service)
    const room = this.#rooms.get(group)
    if (room !== undefined) room.free -= cpuOf(job, tasks)
    this.#asked.set(job, { peer, group, waits, at: now, crowded: false })
    this.#tell(peer, {
      type: 'ask',
      group,
      service,
      job: job.request.id,
      within: Math.round((queue?.orderOf(job) ?? now) - now),
      waits,
      steps: stepsOf(job, tasks, this.#parts.fleet),
      except: this.#parts.fleet.unusable(service, now).map(({ name }) => name)
    })
  }

  /** Takes a request back that stands at another entry. */
  #withdraw (job: Job): void {
    const asked = this.#asked.get(job)
    if (asked === undefined) return
    this.#asked.delete(job)
    if (this.#peers.has(asked.peer)) this.#tell(asked.peer, { type: 'unask', job: job.request.id })
  }

  #granted (peer: string, id: string, grants: readonly Grant[], now: number): void {
    const job = this.#parts.jobOf(id)
    const asked = job === undefined ? undefined : this.#asked.get(job)
    if (asked?.peer === peer) this.#noteAnswered(asked, now)
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
    if (unused.length > 0) this.#tell(peer, { type: 'release', grants: unused })
    if (job === undefined) return
    this.#placing.start(job, places, now)
    if (job.queued().length === 0) {
      this.#asked.delete(job)
      this.#tried.delete(job)
      this.#parts.queues.get(job.request.queue.service)?.remove(job)
    } else if (unused.length > 0) {
      this.#toAsk.add(job)
    }
  }

  #declined (id: string, group: string, free: number, now: number): void {
    this.#rooms.set(group, { free, at: now })
    const job = this.#parts.jobOf(id)
    if (job === undefined) return
    const tried = this.#tried.get(job)
    if (tried === undefined) this.#tried.set(job, new Set([group]))
    else tried.add(group)
    this.#asked.delete(job)
    this.#toAsk.add(job)
  }

  #noteWaiting (peer: string, jobs: readonly string[], crowded: boolean): void {
    for (const id of jobs) {
      const job = this.#parts.jobOf(id)
      const asked = job === undefined ? undefined : this.#asked.get(job)
      if (asked?.peer === peer) asked.crowded = crowded
    }
  }

  /** Requests that wait at home are taken elsewhere when there is room by now. */
  #lookFurther (): void {
    for (const [job, { waits }] of this.#asked) {
      if (!waits || this.#groupWithRoom(cpuOf(job, job.queued()), NOTHING_TRIED) === undefined) continue
      this.#tried.set(job, new Set([this.#home]))
      this.#toAsk.add(job)
    }
    if (!this.choosesItself || this.#groups.names.length < 2) return
    for (const queue of this.#parts.queues.values()) {
      for (const job of queue.jobs()) {
        if (this.#asked.has(job)) continue
        this.#tried.delete(job)
        this.#toAsk.add(job)
      }
    }
  }

  // As the entry that is asked

  #askedFor (request: RoomRequest): void {
    const key = `${request.peer}/${request.job}`
    this.#forgetRequest(key)
    this.#requests.set(key, request)
    let queue = this.#requestQueues.get(request.service)
    if (queue === undefined) {
      queue = new RequestQueue()
      this.#requestQueues.set(request.service, queue)
    }
    queue.add(request)
  }

  #forgetRequest (key: string): void {
    const request = this.#requests.get(key)
    if (request === undefined) return
    this.#requests.delete(key)
    this.#requestQueues.get(request.service)?.remove(request)
  }

  /** Ends requests that are met, or that do not want to wait. */
  #answerRequests (): void {
    for (const [key, request] of this.#requests) {
      if (!request.done && request.waits) continue
      this.#forgetRequest(key)
      if (request.done) continue
      this.#tell(request.peer, { type: 'declined', job: request.job, group: request.group, free: this.#freeOf(request.group) })
    }
  }

  #freeOf (group: string): number {
    for (const request of this.#requests.values()) if (request.group === group && request.waits) return 0
    return this.#parts.fleet.freeCpu(dataCentre => this.#groups.of(dataCentre) === group)
  }

  #tellWaiting (): void {
    if (this.#requests.size === 0) return
    const own = [...this.#parts.queues.values()].reduce((sum, queue) => sum + queue.size, 0)
    const crowded = this.#requests.size + own > 1
    const waiting = new Map<string, string[]>()
    for (const { peer, job } of this.#requests.values()) {
      const jobs = waiting.get(peer)
      if (jobs === undefined) waiting.set(peer, [job])
      else jobs.push(job)
    }
    for (const [peer, jobs] of waiting) this.#tell(peer, { type: 'waiting', jobs, crowded })
  }

  #tellRoom (now: number): void {
    if (this.#groups.names.length < 2 || now - this.#roomToldAt < ROOM_INTERVAL_MILLISECONDS) return
    this.#roomToldAt = now
    for (const [group, allocator] of this.#allocators) {
      if (allocator !== this.#parts.name) continue
      const free = this.#freeOf(group)
      const told = this.#toldRooms.get(group) ?? Infinity
      if (Math.abs(free - told) <= ROOM_CHANGE_PART * told) continue
      this.#toldRooms.set(group, free)
      this.#tellAll({ type: 'room', group, free })
    }
  }

  #tell (peer: string, message: PeerMessage): void {
    this.#parts.emit({ type: 'tell', peer, message })
  }

  #tellAll (message: PeerMessage): void {
    for (const peer of this.#peers.names) this.#tell(peer, message)
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#parts.emit({ type: 'note', what, fields })
  }
}

const NOTHING_TRIED: ReadonlySet<string> = new Set()

function cpuOf (job: Job, tasks: readonly Task[]): number {
  return tasks.reduce((sum, task) => sum + (job.request.steps[task.step] as Step).needs.cpu, 0)
}

/** The tasks as an entry that gives out room is told of them. */
function stepsOf (job: Job, tasks: readonly Task[], fleet: Fleet): RoomStep[] {
  return [...new Set(tasks.map(({ step }) => step))].map(index => {
    const { needs, label, rack, perTarget } = job.request.steps[index] as Step
    const queued = tasks.filter(({ step }) => step === index).map(({ name, avoid }) => ({ name, avoid }))
    return { index, needs, label, rack, perTarget, expected: Math.round(job.expected[index] ?? 0), tasks: queued, placed: job.placed > 0 ? fleet.agentsOf(job, index) : [] }
  })
}
