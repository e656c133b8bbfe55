/** Requests capacity for the jobs of this entry from the allocators, and tracks the answers. */
import type { Fleet } from './fleet.ts'
import type { Job, Step, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { AllocationMessage, RequestedStep } from './peermessages.ts'
import {
  ALLOCATOR_TIMEOUT_MILLISECONDS, ANSWER_PROBE_INTERVAL_MILLISECONDS, ANSWER_TIME_WEIGHT, REMOTE_CAPACITY_FACTOR,
  FAST_ANSWER_MILLISECONDS, SLOW_ANSWER_MILLISECONDS
} from './defaults.ts'
import { HOLDER_TIMEOUT_MILLISECONDS, REQUEST_TIMEOUT_MILLISECONDS } from './partitiondefaults.ts'
import { latestEndOfStep, JobState } from './job.ts'
import { Isolation } from './messages.ts'
import { choosePartition, UNKNOWN_CAPACITY } from './partitionchoice.ts'

export interface AllocationClientDependencies {
  fleet: Fleet
  /** Jobs of this entry with unplaced tasks, by service. */
  queues: ReadonlyMap<string, JobQueue>
  /** The group that this entry requests from first. */
  home: () => string
  /** The other entry that allocates the capacity of a group; undefined when this entry or no entry does. */
  allocatorOf: (group: string) => string | undefined
  linked: (peer: string) => boolean
  /** Whether an entry is in the same data centre as this one. */
  near: (peer: string) => boolean
  /** Whether an entry is expected to answer requests. */
  answers: (peer: string, now: number) => boolean
  /** Entries that hold a partition. */
  holders: () => readonly string[]
  tell: (peer: string, message: AllocationMessage) => void
  note: (what: string, fields: Record<string, unknown>) => void
}

/** A request that is not fulfilled yet. */
interface PendingRequest {
  peer: string
  group: string
  /** Requested tasks without a grant. */
  left: number
  /** Whether it stays at the allocator until it is fulfilled. */
  waits: boolean
  at: number
  /** When the allocator last confirmed that the request waits there. */
  heardAt: number
  /** Whether the allocator has reported that other jobs compete for the same capacity. */
  crowded: boolean
}

const NO_GROUPS: ReadonlySet<string> = new Set()

export class AllocationClient {
  readonly #dependencies: AllocationClientDependencies
  /** Jobs for which a request is to be sent, possibly in place of an earlier one. */
  readonly #toRequest = new Set<Job>()
  readonly #asked = new Map<Job, PendingRequest>()
  /** Groups that declined a request for a job. */
  readonly #tried = new Map<Job, Set<string>>()
  /** Free processors of groups as last reported by their allocators, less what was requested since, in thousandths of a core. */
  readonly #freeCapacity = new Map<string, number>()
  readonly #freeCapacityReceivedAt = new Map<string, number>()
  /** Jobs whose requests timed out: this entry chooses targets for them itself. */
  readonly #jobsWithoutAnswer = new Set<Job>()
  /** Moving average of the time to an answer, in milliseconds. */
  #answerTime = 0
  #slow = false
  /** Whether the last request timed out. */
  #unanswered = false
  #probedAt = Number.NEGATIVE_INFINITY

  constructor (dependencies: AllocationClientDependencies) {
    this.#dependencies = dependencies
  }

  /** Whether answers take so long that choosing targets directly is faster. */
  get slow (): boolean {
    return this.#slow
  }

  /** Whether the allocator has reported that other jobs compete for the capacity that the job waits for. */
  isCrowded (job: Job): boolean {
    return this.#asked.get(job)?.crowded === true
  }

  noteQueued (job: Job): void {
    this.#toRequest.add(job)
  }

  forget (job: Job): void {
    this.#toRequest.delete(job)
    this.#tried.delete(job)
    this.#jobsWithoutAnswer.delete(job)
    this.#withdraw(job)
  }

  /** Whether a request for the job timed out. */
  isUnanswered (job: Job): boolean {
    return this.#jobsWithoutAnswer.has(job)
  }

  /** Whether a request for the job is pending that the allocator grants or declines immediately. */
  hasImmediateRequest (job: Job): boolean {
    return this.#asked.get(job)?.waits === false
  }

  /** Whether to send a request while answers are slow, to measure whether they still are; at most once per probe interval. */
  shouldProbe (now: number): boolean {
    if (this.#toRequest.size === 0 || now - this.#probedAt < ANSWER_PROBE_INTERVAL_MILLISECONDS) return false
    this.#probedAt = now
    return true
  }

  /** Sends a request for each job that needs one. */
  requestAll (now: number): void {
    for (const job of this.#toRequest) this.#sendRequest(job, now)
    this.#toRequest.clear()
  }

  /** For an entry that chooses targets of its home group itself: requests what did not fit there from another group. */
  requestElsewhere (now: number): void {
    for (const job of this.#toRequest) {
      const tasks = job.queued()
      if (job.state !== JobState.Open || tasks.length === 0 || this.#asked.has(job)) continue
      const group = this.#groupWithCapacity(cpuOf(job, tasks), this.#tried.get(job) ?? NO_GROUPS)
      if (group !== undefined) this.#send(job, tasks, group, false, now)
    }
    this.#toRequest.clear()
  }

  /** For an entry with its own partition: requests what did not fit there from another holder. */
  requestFromPartitions (now: number): void {
    for (const job of this.#toRequest) {
      const tasks = job.queued()
      if (job.state === JobState.Open && tasks.length > 0 && this.#asked.get(job)?.waits !== false) this.#requestFromPartition(job, tasks, now)
    }
    this.#toRequest.clear()
  }

  #requestFromPartition (job: Job, tasks: readonly Task[], now: number): void {
    const { id, steps } = job.request
    const tried = this.#tried.get(job) ?? NO_GROUPS
    const holders = this.#dependencies.holders().filter(name => this.#dependencies.allocatorOf(name) !== undefined && this.#dependencies.answers(name, now))
    const partitions = holders.filter(name => !tried.has(name)).map(name => ({ name, free: this.#recentFreeCapacity(name, now) ?? UNKNOWN_CAPACITY, near: this.#dependencies.near(name) }))
    const minCpu = Math.min(...tasks.map(({ step }) => (steps[step] as Step).needs.cpu))
    const holder = choosePartition(id, cpuOf(job, tasks), minCpu, partitions)
    if (holder !== undefined) return this.#send(job, tasks, holder, false, now)
    if (this.#asked.has(job)) return
    const waitsAt = choosePartition(id, 0, 0, holders.map(name => ({ name, free: 1, near: this.#dependencies.near(name) })))
    if (waitsAt !== undefined) this.#send(job, tasks, waitsAt, true, now)
  }

  /** Schedules all waiting jobs to be requested again, from any group that has capacity now. */
  retryWaiting (): void {
    this.#tried.clear()
    for (const [job, { waits }] of this.#asked) if (waits) this.#toRequest.add(job)
    for (const queue of this.#dependencies.queues.values()) for (const job of queue.jobs()) if (!this.#asked.has(job)) this.#toRequest.add(job)
  }

  /** Free capacity of a partition, in thousandths of a core; undefined when the last report of its holder is too old. */
  #recentFreeCapacity (holder: string, now: number): number | undefined {
    return now - (this.#freeCapacityReceivedAt.get(holder) ?? Number.NEGATIVE_INFINITY) < HOLDER_TIMEOUT_MILLISECONDS ? this.#freeCapacity.get(holder) : undefined
  }

  /** Ends a request once each of its tasks has a grant; the job may have further tasks to place by then, or have released grants. */
  noteGrants (peer: string, job: Job, grants: number): void {
    const pending = this.#asked.get(job)
    if (pending?.peer !== peer) return
    pending.left -= grants
    if (pending.left > 0) return
    this.#asked.delete(job)
    this.#toRequest.add(job)
  }

  /** Withdraws waiting requests for jobs whose tasks are all placed by now. */
  withdrawFulfilled (): void {
    for (const [job, { waits }] of this.#asked) if (waits && job.queued().length === 0) this.#withdraw(job)
  }

  /**
   * Abandons requests that have timed out; this entry then chooses targets for their jobs itself.
   *
   * @param since earliest time from which the timeout is counted
   * @param allowance added to the timeout, in milliseconds
   * @returns the entries that have not answered, and how long each request was pending, in milliseconds
   */
  abandonUnanswered (since: number, allowance: number, now: number): Array<{ peer: string, asked: number }> {
    const unanswered: Array<{ peer: string, asked: number }> = []
    for (const [job, { peer, waits, heardAt }] of this.#asked) {
      const asked = now - Math.max(heardAt, since)
      if (asked < allowance + (waits ? ALLOCATOR_TIMEOUT_MILLISECONDS : REQUEST_TIMEOUT_MILLISECONDS)) continue
      this.#withdraw(job)
      this.#jobsWithoutAnswer.add(job)
      this.#toRequest.add(job)
      unanswered.push({ peer, asked })
    }
    return unanswered
  }

  /** Free capacity of a group as last reported, less what was requested since, in thousandths of a core. */
  freeCapacityOf (group: string): number | undefined {
    return this.#freeCapacity.get(group)
  }

  /** Requests and answer times for the status pages. */
  status (): { asked: number, waiting: number, answerMilliseconds: number } {
    const waiting = [...this.#asked.values()].filter(({ waits }) => waits).length
    return { asked: this.#asked.size, waiting, answerMilliseconds: Math.round(this.#answerTime) }
  }

  /**
   * Withdraws requests at entries that no longer allocate their group, and schedules them to be sent again.
   *
   * @param sendsRequests whether this entry now requests capacity for all of its jobs
   */
  allocatorsChanged (sendsRequests: boolean): void {
    for (const [job, { peer, group }] of this.#asked) {
      if (!this.#slow && this.#dependencies.allocatorOf(group) === peer && this.#dependencies.linked(peer)) continue
      this.#withdraw(job)
      this.#toRequest.add(job)
    }
    if (!sendsRequests) return
    for (const queue of this.#dependencies.queues.values()) for (const job of queue.jobs()) if (!this.#asked.has(job)) this.#toRequest.add(job)
  }

  /**
   * Schedules requests that wait in the home group to be moved to another group with capacity.
   *
   * @param sendsRequests whether this entry requests capacity for all of its jobs; else waiting jobs are scheduled too
   */
  retryElsewhere (sendsRequests: boolean): void {
    for (const [job, { waits }] of this.#asked) {
      if (!waits || this.#groupWithCapacity(cpuOf(job, job.queued()), NO_GROUPS) === undefined) continue
      this.#tried.set(job, new Set([this.#dependencies.home()]))
      this.#toRequest.add(job)
    }
    if (sendsRequests) return
    for (const queue of this.#dependencies.queues.values()) {
      for (const job of queue.jobs()) {
        if (this.#asked.has(job)) continue
        this.#tried.delete(job)
        this.#toRequest.add(job)
      }
    }
  }

  /** Entries with a pending request, and when it was sent. */
  * awaitingAnswer (): Generator<{ peer: string, at: number }> {
    yield * this.#asked.values()
  }

  noteFreeCapacity (group: string, free: number, now: number): void {
    this.#freeCapacity.set(group, free)
    this.#freeCapacityReceivedAt.set(group, now)
  }

  /** Drops what was reported for a group whose allocator is unlinked. */
  forgetFreeCapacity (group: string): void {
    this.#freeCapacity.delete(group)
    this.#freeCapacityReceivedAt.delete(group)
  }

  noteWaiting (peer: string, job: Job, crowded: boolean, now: number): void {
    const pending = this.#asked.get(job)
    if (pending?.peer !== peer) return
    pending.crowded = crowded
    pending.heardAt = now
  }

  /**
   * Records the time to a grant, without the time for which the request waited for free capacity: an entry that chooses
   * targets itself waits for that too.
   *
   * @returns whether the entry has to switch between choosing targets itself and sending requests
   */
  noteGranted (peer: string, job: Job, waited: number, now: number): boolean {
    const pending = this.#asked.get(job)
    if (pending?.peer !== peer) return false
    const took = Math.max(0, now - pending.at - waited)
    this.#answerTime = this.#unanswered ? took : this.#answerTime + (took - this.#answerTime) * ANSWER_TIME_WEIGHT
    this.#unanswered = false
    const slow = this.#answerTime > (this.#slow ? FAST_ANSWER_MILLISECONDS : SLOW_ANSWER_MILLISECONDS)
    if (slow === this.#slow) return false
    this.#slow = slow
    this.#dependencies.note(slow ? 'capacity requests are answered slowly' : 'capacity requests are answered quickly again', { milliseconds: Math.round(this.#answerTime) })
    return true
  }

  /**
   * Makes this entry choose targets itself until another entry answers a request, since one is unresponsive. Otherwise an
   * isolated entry would wait for each of the others in turn.
   */
  noteUnresponsive (): void {
    this.#unanswered = true
    this.#slow = true
  }

  /** All tasks of the job have capacity: a request that is pending at an entry other than the one that granted it is withdrawn. */
  noteFulfilled (peer: string, job: Job): void {
    if (this.#asked.get(job)?.peer === peer) this.#asked.delete(job)
    this.forget(job)
  }

  noteDeclined (peer: string, job: Job, group: string): void {
    const tried = this.#tried.get(job)
    if (tried === undefined) this.#tried.set(job, new Set([group]))
    else tried.add(group)
    if (this.#asked.get(job)?.peer !== peer) return
    this.#asked.delete(job)
    this.#toRequest.add(job)
  }

  #sendRequest (job: Job, now: number): void {
    const tasks = job.queued()
    if (job.state !== JobState.Open || tasks.length === 0) return this.#withdraw(job)
    const home = this.#dependencies.home()
    const neededCpu = cpuOf(job, tasks)
    const tried = this.#tried.get(job) ?? NO_GROUPS
    const elsewhere = this.#groupWithCapacity(neededCpu, tried)
    const homeHasCapacity = (this.#freeCapacity.get(home) ?? Infinity) >= neededCpu && !tried.has(home)
    if (homeHasCapacity || elsewhere === undefined) this.#send(job, tasks, home, elsewhere === undefined, now)
    else this.#send(job, tasks, elsewhere, false, now)
  }

  /** The group other than the home group with the most free capacity that another entry allocates; undefined when none has ample capacity. */
  #groupWithCapacity (need: number, tried: ReadonlySet<string>): string | undefined {
    let best: string | undefined
    let highest = need * REMOTE_CAPACITY_FACTOR
    for (const [group, free] of this.#freeCapacity) {
      if (group === this.#dependencies.home() || tried.has(group) || free < highest || this.#dependencies.allocatorOf(group) === undefined) continue
      best = group
      highest = free
    }
    return best
  }

  #send (job: Job, tasks: readonly Task[], group: string, waits: boolean, now: number): void {
    const peer = this.#dependencies.allocatorOf(group)
    if (peer === undefined) return
    if (this.#asked.get(job)?.peer !== peer) this.#withdraw(job)
    const { service } = job.request.queue
    const free = this.#freeCapacity.get(group)
    if (free !== undefined) this.#freeCapacity.set(group, free - cpuOf(job, tasks))
    this.#asked.set(job, { peer, group, left: tasks.length, waits, at: now, heardAt: now, crowded: false })
    this.#dependencies.tell(peer, {
      type: 'ask',
      group,
      service,
      job: job.request.id,
      within: Math.round((this.#dependencies.queues.get(service)?.orderOf(job) ?? now) - now),
      waits,
      steps: stepsOf(job, tasks, this.#dependencies.fleet, now),
      except: this.#dependencies.fleet.unusable(service, now).map(({ name }) => name)
    })
  }

  /** Withdraws the request for a job that is pending at another entry. */
  #withdraw (job: Job): void {
    const pending = this.#asked.get(job)
    if (pending === undefined) return
    this.#asked.delete(job)
    if (this.#dependencies.linked(pending.peer)) this.#dependencies.tell(pending.peer, { type: 'unask', job: job.request.id })
  }
}

function cpuOf (job: Job, tasks: readonly Task[]): number {
  return tasks.reduce((sum, task) => sum + (job.request.steps[task.step] as Step).needs.cpu, 0)
}

/** The tasks in the form of a request message. */
function stepsOf (job: Job, tasks: readonly Task[], fleet: Fleet, now: number): RequestedStep[] {
  return [...new Set(tasks.map(({ step }) => step))].map(index => {
    const { needs, label, rack, perTarget } = job.request.steps[index] as Step
    const queued = tasks.filter(({ step }) => step === index).map(({ name, avoid, isolation }) => ({ name, avoid, ...(isolation === Isolation.None ? {} : { isolation }) }))
    return { index, needs, label, rack, perTarget, expected: Math.round(job.expected[index] ?? 0), endBy: Math.round(latestEndOfStep(job, index) - now), tasks: queued, placed: fleet.agentsOf(job, index) }
  })
}
