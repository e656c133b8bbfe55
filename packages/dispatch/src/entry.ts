/**
 * Decision logic of an entry: accepts jobs, places their tasks at targets through the agents, and answers each job
 * exactly once.
 *
 * A caller that gets no answer submits its job again, through any entry. An entry therefore stores no jobs: agents stop
 * the tasks of a lost entry before the caller retries. It stores the cancellations that it acknowledges.
 */
import type { Answer, EntryEffect, EntryEvent, EntryOptions, EntryStatus } from './entrytypes.ts'
import type { JobRequest } from './job.ts'
import type { JobName } from './jobname.ts'
import type { DispatchConfiguration } from './queues.ts'
import type { Policy } from './policy.ts'
import type { SchedulingStatus } from './schedulingstatus.ts'
import { Admission } from './admission.ts'
import { AnsweredJobs } from './answeredjobs.ts'
import { Attempts } from './attempts.ts'
import { refused, unknown } from './answers.ts'
import { Cancellations } from './cancellations.ts'
import { RECOVERY_RETRY_MILLISECONDS } from './cancellationdefaults.ts'
import { CrashSuspects } from './crashsuspects.ts'
import { REVIEW_INTERVAL_MILLISECONDS } from './defaults.ts'
import { Pressure } from './pressure.ts'
import { AnswerKind, Reason } from './entrytypes.ts'
import { EvacuationUpdates } from './evacuationupdates.ts'
import { Fleet } from './fleet.ts'
import { FleetAdmission, rounded } from './fleetadmission.ts'
import { ALL_FLEET_GUARDS } from './fleetguards.ts'
import { Intake } from './intake.ts'
import { Job, JobState } from './job.ts'
import { isNamed, nameOf } from './jobname.ts'
import { JobDeadlines } from './jobdeadlines.ts'
import { JobQueue } from './jobqueue.ts'
import { DEFAULT_POLICY } from './policy.ts'
import { Returns } from './returns.ts'
import { CapacityAllocation } from './capacityallocation.ts'
import { TaskEnds } from './taskends.ts'

type Handlers = {
  [Type in EntryEvent['type']]: (event: Extract<EntryEvent, { type: Type }>, now: number) => void
}

const CANCELLED: Readonly<Answer> = { kind: AnswerKind.Cancelled, reason: Reason.Cancelled, retryAfter: 0 }

export class Entry {
  readonly #options: EntryOptions
  readonly #policy: Policy
  readonly #fleet: Fleet
  readonly #sharing: CapacityAllocation
  readonly #evacuations: EvacuationUpdates
  readonly #admission: Admission
  readonly #intake: Intake
  readonly #pressure = new Pressure()
  readonly #cancellations: Cancellations
  readonly #suspects: CrashSuspects
  readonly #ends: TaskEnds
  readonly #fleetAdmission: FleetAdmission | undefined
  readonly #returns: Returns | undefined
  readonly #jobs = new Map<string, Job>()
  readonly #byRequest = new Map<number, Job>()
  readonly #queues = new Map<string, JobQueue>()
  readonly #answers = new AnsweredJobs()
  readonly #attempts = new Attempts()
  readonly #deadlines = new JobDeadlines()
  #configuration: DispatchConfiguration | undefined
  /** Time by which every job must be answered; undefined until a stop is ordered. */
  #endsAt: number | undefined
  #reviewedAt = Number.NEGATIVE_INFINITY
  #effects: EntryEffect[] = []

  readonly #handlers: Handlers = {
    submitted: ({ request, job }, now) => this.#submitted(request, job, now),
    requestGone: ({ request }, now) => this.#callerGone(request, now),
    cancelAsked: ({ request, job, remaining }, now) => this.#cancelRequested(request, job, remaining, now),
    stateAsked: ({ request, id }) => this.#answer(request, this.#stateOf(id)),
    agentLinked: ({ agent, incarnation }, now) => this.#fleet.agentLinked(agent, incarnation, now),
    agentUnlinked: ({ agent }, now) => this.#fleet.agentUnlinked(agent, now),
    agentMessage: ({ agent, message }, now) => this.#fleet.message(agent, message, now),
    peerLinked: ({ peer }, now) => {
      this.#evacuations.peerLinked(peer)
      this.#cancellations.peerLinked(peer, now)
      this.#sharing.peerLinked(peer, now)
      this.#fleetAdmission?.peerLinked(peer)
    },
    peerUnlinked: ({ peer }, now) => {
      this.#evacuations.peerUnlinked(peer)
      this.#cancellations.peerUnlinked(peer)
      this.#sharing.peerUnlinked(peer, now)
      this.#fleetAdmission?.peerUnlinked(peer)
    },
    peerMessage: ({ peer, message }, now) => {
      if (message.type === 'evacuations') this.#evacuations.receive(peer, message.state)
      else if (message.type === 'cancel') this.#cancelAll(this.#cancellations.receive(peer, message, now), now)
      else if (message.type === 'demand') this.#fleetAdmission?.receive(peer, message, now)
      else this.#sharing.received(peer, message, now)
    },
    cancellationsRead: ({ jobs }, now) => this.#cancelAll(this.#cancellations.read(jobs, now), now),
    cancellationsStored: (_event, now) => this.#cancellations.written(now),
    evacuationsRead: ({ state }, now) => this.#evacuations.read(state, now),
    configured: ({ configuration }) => this.#configured(configuration),
    tick: (_event, now) => this.#tick(now),
    stopOrdered: (_event, now) => {
      this.#endsAt ??= now + this.#options.grace
      this.#note('stop ordered', { open: this.#jobs.size })
      this.#sharing.stopping(now)
    },
    ending: (_event, now) => {
      this.#answerAllOpenJobs(now)
      this.#cancellations.end()
    }
  }

  constructor (options: EntryOptions) {
    this.#options = options
    this.#policy = { ...DEFAULT_POLICY, ...options.policy }
    this.#admission = new Admission(this.#policy.fleetAdmission ? { ...this.#policy, refusalMargin: 0 } : this.#policy, this.#pressure)
    this.#fleet = new Fleet({
      timings: options.timings,
      dataCentre: options.dataCentre,
      guards: options.guards ?? ALL_FLEET_GUARDS,
      policy: this.#policy,
      emit: effect => this.#effects.push(effect),
      waiting: () => this.#sharing.placesDirectly && this.#hasQueuedJobs(),
      ended: (agent, placement, end, now) => this.#ends.ended(agent, placement, end, now),
      slow: (agent, placement, slow, now) => this.#ends.slow(agent, placement, slow, now),
      crashed: (agent, records, now) => { if (this.#policy.isolatesSuspects) this.#suspects.note(agent, records, now) },
      opened: agent => this.#evacuations.sendToAgent(agent),
      evacuationsReceived: (agent, state) => this.#evacuations.receiveFromAgent(agent, state)
    })
    const { cancelMemory: remembers, cancelNews: sendsToPeers, cancelStored: stores } = options.guards ?? ALL_FLEET_GUARDS
    this.#cancellations = new Cancellations({ remembers, sendsToPeers, stores, emit: effect => this.#effects.push(effect) })
    this.#suspects = new CrashSuspects()
    this.#ends = new TaskEnds({
      policy: this.#policy,
      fleet: this.#fleet,
      admission: this.#admission,
      suspects: this.#suspects,
      enqueue: job => this.#enqueue(job),
      close: (job, answer, now) => this.#close(job, answer, now),
      giveUp: (job, reason, now, retryAfter) => this.#abandon(job, reason, now, retryAfter),
      gone: (job, now) => this.#removeIfStopped(job, now),
      note: (what, fields) => this.#note(what, fields)
    })
    this.#intake = new Intake(this.#fleet, this.#admission)
    this.#evacuations = new EvacuationUpdates({ fleet: this.#fleet, emit: effect => this.#effects.push(effect) })
    if (this.#policy.reservesReturns) this.#returns = new Returns()
    const { dataCentre, weights = [] } = options
    const dependencies = { dataCentre, weights, fleet: this.#fleet, queues: this.#queues, admission: this.#admission, returns: this.#returns, emit: (effect: EntryEffect) => this.#effects.push(effect) }
    if (this.#policy.fleetAdmission) this.#fleetAdmission = new FleetAdmission(dependencies)
    this.#sharing = new CapacityAllocation({
      name: options.name,
      dataCentre: options.dataCentre,
      strength: options.strength ?? 0,
      policy: this.#policy,
      fleet: this.#fleet,
      queues: this.#queues,
      jobOf: id => this.#openJob(id),
      serving: () => this.ready,
      busy: () => this.busy,
      begun: now => this.#pressure.noteBegun(now),
      emit: effect => this.#effects.push(effect)
    })
  }

  /** Processes one event and returns the resulting effects, in order. */
  handle (event: EntryEvent, now: number): EntryEffect[] {
    this.#effects = []
    const handler = this.#handlers[event.type] as (event: EntryEvent, now: number) => void
    // An agent's message may complete a job whose deadline has just passed, so it is handled before deadlines expire.
    // For all other events deadlines come first, since this process may handle them late.
    if (event.type !== 'agentMessage') this.#expire(now)
    handler(event, now)
    this.#expire(now)
    if (now - this.#reviewedAt >= REVIEW_INTERVAL_MILLISECONDS) this.#review(now)
    this.#sharing.placeOrRequest(now)
    return this.#effects
  }

  #hasQueuedJobs (): boolean {
    for (const queue of this.#queues.values()) if (queue.size > 0) return true
    return false
  }

  /** Whether jobs are in progress. */
  get busy (): boolean {
    return this.#jobs.size > 0
  }

  status (): EntryStatus {
    let queued = 0
    for (const queue of this.#queues.values()) queued += queue.size
    return { configuration: this.#configuration?.version ?? 0, evacuated: this.#evacuations.known.state?.dataCentres.length ?? 0, agents: this.#fleet.linked, open: this.#jobs.size, queued, cancelled: this.#cancellations.size, unstored: this.#cancellations.unstored, ...this.#suspects.status() }
  }

  /** Status of this entry's part in sharing the capacity of the fleet. */
  scheduling (now: number): SchedulingStatus {
    const capacity = this.#fleet.services().map(service => ({ service, ...this.#fleet.capacityStatus(service, now), ahead: this.#fleet.capacityAhead(service, now) }))
    return { room: this.#sharing.status(), admission: this.#fleetAdmission?.status(now) ?? [], speeds: this.#fleet.speeds.status(), capacity }
  }

  /** Whether the load balancer may send new callers to this entry. */
  get ready (): boolean {
    return this.#configuration !== undefined && this.#fleet.linked > 0 && this.#cancellations.complete && this.#endsAt === undefined
  }

  // Callers

  #configured (configuration: DispatchConfiguration): void {
    if (configuration.version <= (this.#configuration?.version ?? 0)) return
    this.#configuration = configuration
    this.#note('configuration in force', { version: configuration.version, queues: configuration.queues.length })
  }

  #submitted (request: number, submitted: JobRequest, now: number): void {
    const known = this.#jobs.get(submitted.id)
    if (known?.state === JobState.Open) return this.#attach(request, known)
    const answered = this.#answers.get(submitted.id)
    if (answered !== undefined) return this.#answer(request, answered)
    if (this.#cancellations.has(nameOf(submitted.id, submitted.queue))) return this.#answer(request, CANCELLED)
    const refusal = this.#cancellations.complete ? this.#intake.refusal(submitted, this.#endsAt, now) : refused(Reason.Recovering, RECOVERY_RETRY_MILLISECONDS)
    if (refusal !== undefined) return this.#refuse(request, submitted, refusal)
    const exceeded = known === undefined ? this.#fleetAdmission?.refusal(submitted, now) : undefined
    if (exceeded !== undefined) {
      return this.#refuse(request, submitted, refused(Reason.Overload, this.#retryAfter(submitted, now)), rounded(exceeded))
    }
    const job = new Job(submitted, now, this.#attempts.of(submitted.id))
    this.#attach(request, job)
    if (known === undefined) this.#open(job, now)
    else this.#supersede(known, job, now)
  }

  #refuse (request: number, { id, queue }: JobRequest, refusal: Answer, figures: Record<string, number> = {}): void {
    this.#note('job refused', { job: id, queue: queue.name, reason: refusal.reason, ...figures })
    this.#effects.push({ type: 'jobEnded', queue: queue.name, kind: refusal.kind, reason: refusal.reason, milliseconds: 0, waited: 0 })
    this.#fleetAdmission?.noteRefused(queue.name, refusal.reason)
    this.#answer(request, refusal)
  }

  /**
   * Handles a job that is submitted again while tasks of its earlier submission are stopping: it starts once they have
   * ended, and is refused at once if one of its tasks is blocked.
   */
  #supersede (known: Job, job: Job, now: number): void {
    if (known.successor !== undefined) {
      for (const request of known.successor.waiting) this.#attach(request, job)
    }
    known.successor = job
    this.#deadlines.opened(job)
    this.#ends.giveUpIfBlocked(job, now)
  }

  #open (job: Job, now: number): void {
    this.#jobs.set(job.request.id, job)
    this.#deadlines.opened(job)
    this.#admission.estimate(job, now)
    this.#note('job taken', { job: job.request.id, queue: job.request.queue.name, configuration: this.#configuration?.version, tasks: job.tasks.length, remaining: Math.round(job.deadline - now), chain: Math.round(job.chain), slack: Math.round(job.startBy - now), queued: this.#queueOf(job).size + 1 })
    this.#ends.place(job, now)
  }

  #attach (request: number, job: Job): void {
    job.waiting.add(request)
    this.#byRequest.set(request, job)
  }

  #callerGone (request: number, now: number): void {
    const job = this.#byRequest.get(request)
    this.#byRequest.delete(request)
    if (job === undefined || !job.waiting.delete(request) || job.waiting.size > 0) return
    if (job.state === JobState.Open) this.#close(job, { kind: AnswerKind.Cancelled, reason: Reason.CallerGone, retryAfter: 0 }, now)
  }

  #cancelRequested (request: number, name: JobName, remaining: number, now: number): void {
    const answer = this.#cancel(name, now) ? CANCELLED : unknown()
    // An answer that this entry gave doesn't show that the job has ended: it may run again at another entry.
    this.#cancellations.add(name, { request, answer, remaining }, now)
  }

  #cancelAll (names: readonly JobName[], now: number): void {
    for (const name of names) this.#cancel(name, now)
  }

  /** Returns whether there was anything to cancel: an open job, or a repeated submission that waits for earlier tasks to stop. */
  #cancel (name: JobName, now: number): boolean {
    const job = this.#jobs.get(name.id)
    if (job === undefined || !isNamed(job.request, name)) return false
    const { successor } = job
    if (job.state === JobState.Open) {
      this.#close(job, CANCELLED, now)
      return true
    }
    if (successor?.state !== JobState.Open) return false
    job.successor = undefined
    for (const request of successor.waiting) this.#answer(request, CANCELLED)
    this.#note('further submission cancelled', { job: name.id })
    return true
  }

  #stateOf (id: string): Answer {
    const known = this.#jobs.get(id)
    const job = known?.successor ?? known
    if (job?.state !== JobState.Open) return this.#answers.get(id) ?? unknown()
    return { kind: job.started ? AnswerKind.Running : AnswerKind.Pending, reason: Reason.None, retryAfter: 0 }
  }

  #answer (request: number, answer: Answer): void {
    this.#byRequest.delete(request)
    this.#effects.push({ type: 'answer', request, answer })
  }

  /** Closes a job: stops its running tasks and answers every waiting caller. */
  #close (job: Job, answer: Answer, now: number): void {
    job.state = JobState.Closed
    this.#queueOf(job).remove(job)
    this.#sharing.forget(job)
    // Tasks are stopped before callers are answered, since a caller may submit the job again as soon as it has the
    // answer.
    this.#fleet.stopJob(job)
    if (job.started) this.#attempts.remember(job.request.id, job.lastAttempt)
    for (const request of job.waiting) this.#answer(request, answer)
    job.waiting.clear()
    const { id, queue } = job.request
    const milliseconds = now - job.arrivedAt
    const waited = (job.offeredAt ?? now) - job.arrivedAt
    this.#fleetAdmission?.noteEnded(queue.name, answer, now <= job.objectiveAt)
    if (answer.kind === AnswerKind.Completed && now > job.objectiveAt) this.#pressure.noteLate(now)
    this.#effects.push({ type: 'jobEnded', queue: queue.name, kind: answer.kind, reason: answer.reason, milliseconds, waited })
    this.#note('job ended', { job: id, queue: queue.name, kind: answer.kind, reason: answer.reason, age: Math.round(milliseconds), waited: Math.round(waited), tasks: job.tasks.length, placed: job.placed, chain: Math.round(job.chain), objective: Math.round(job.objectiveAt - job.arrivedAt) })
    if (answer.kind === AnswerKind.Completed || answer.kind === AnswerKind.Failed) this.#answers.remember(id, answer)
    this.#removeIfStopped(job, now)
  }

  #removeIfStopped (job: Job, now: number): void {
    if (job.state !== JobState.Closed || job.placed > 0) return
    if (this.#jobs.get(job.request.id) === job) this.#jobs.delete(job.request.id)
    const { successor } = job
    job.successor = undefined
    if (successor === undefined || successor.waiting.size === 0) return
    const answered = this.#answers.get(job.request.id)
    if (answered === undefined) return this.#open(successor, now)
    for (const request of successor.waiting) this.#answer(request, answered)
  }

  // Queues

  #queueOf (job: Job): JobQueue {
    const { service } = job.request.queue
    let queue = this.#queues.get(service)
    if (queue === undefined) {
      queue = new JobQueue(this.#policy)
      this.#queues.set(service, queue)
    }
    return queue
  }

  #enqueue (job: Job): void {
    this.#queueOf(job).add(job)
    this.#sharing.noteQueued(job)
  }

  #openJob (id: string): Job | undefined {
    const job = this.#jobs.get(id)
    return job?.state === JobState.Open ? job : undefined
  }

  // Time

  #tick (now: number): void {
    this.#fleet.tick(now)
    this.#ends.tick(now)
    this.#cancellations.tick(now)
    this.#evacuations.tick(now)
    this.#sharing.tick(now)
    this.#fleetAdmission?.tick(now)
  }

  #expire (now: number): void {
    for (const job of this.#deadlines.due(this.#unanswered(), now)) this.#abandon(job, Reason.Deadline, now)
  }

  /** Refuses queued jobs that cannot be served in time as soon as this is known, so that callers can still react. */
  #review (now: number): void {
    this.#reviewedAt = now
    for (const [service, queue] of this.#queues) {
      if (queue.size > 0) this.#abandonUnservable(queue, now)
      for (const job of this.#fleetAdmission?.unservable(service, now) ?? []) this.#abandon(job, Reason.Overload, now)
    }
  }

  #abandonUnservable (queue: JobQueue, now: number): void {
    for (const job of [...queue.jobs()]) {
      if (job.started) continue
      const evacuated = this.#fleet.isFullyEvacuated(job.request.queue.service)
      const reason = evacuated ? Reason.Evacuated : this.#admission.refusalReason(job, this.#sharing.isCrowded(job), now)
      if (reason !== Reason.None) this.#abandon(job, reason, now)
    }
  }

  #answerAllOpenJobs (now: number): void {
    for (const job of [...this.#unanswered()]) this.#abandon(job, Reason.Stopping, now)
  }

  /** Open jobs, and repeated submissions that wait for earlier tasks to stop. */
  * #unanswered (): IterableIterator<Job> {
    for (const job of this.#jobs.values()) {
      const latest = job.successor ?? job
      if (latest.state === JobState.Open) yield latest
    }
  }

  /**
   * Ends a job without completing it. It is refused if none of its tasks was ever placed, since it has then certainly
   * not run; otherwise it is answered as timed out.
   */
  #abandon (job: Job, reason: Reason, now: number, retryAfter?: number): void {
    const { service } = job.request.queue
    const known = this.#fleet.known(service)
    const usable = this.#fleet.usable(service, now)
    this.#note('job given up', { job: job.request.id, reason, targets: known.length, usable: usable.length, free: usable.filter(agent => agent.healthAllowsMore()).map(agent => Math.round(agent.free.cpu)), needs: job.request.steps[0]?.needs.cpu, queued: this.#queueOf(job).size })
    if (job.started) return this.#close(job, { kind: AnswerKind.TimedOut, reason, retryAfter: 0 }, now)
    this.#close(job, refused(reason, retryAfter ?? this.#retryAfter(job.request, now)), now)
  }

  #retryAfter ({ id, queue }: JobRequest, now: number): number {
    this.#pressure.noteRefused(now)
    if (this.#returns === undefined) return this.#pressure.retryAfter(id, now)
    return this.#returns.refused(id, queue.name, this.#fleetAdmission?.admittedPerSecond(queue.name, now) ?? this.#pressure.begunPerSecond(now), now)
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#effects.push({ type: 'note', what, fields })
  }
}
