/**
 * Decision logic of an entry: takes jobs, places their tasks at targets through the agents, and
 * answers each job once, whole.
 *
 * A job whose caller gets no answer is submitted again by its caller, through any entry. So an
 * entry keeps nothing that must survive it: agents stop the tasks of an entry that is gone before
 * the caller comes back.
 */
import type { Answer, EntryEffect, EntryEvent, EntryOptions, EntryStatus } from './entrytypes.ts'
import type { AdmissionStatus } from './fleetadmission.ts'
import type { AgentView, Placement } from './fleetview.ts'
import type { JobRequest, Step } from './job.ts'
import type { SlowTask, TaskEnd } from './messages.ts'
import type { DispatchConfiguration } from './queues.ts'
import type { Policy } from './policy.ts'
import { Admission } from './admission.ts'
import { AnsweredJobs } from './answeredjobs.ts'
import { refused, unknown } from './answers.ts'
import { ANSWER_MILLISECONDS, MOVE_GAIN_MILLISECONDS, REFUSALS_LIMIT, REVIEW_MILLISECONDS } from './defaults.ts'
import { Pressure } from './pressure.ts'
import { AnswerKind, Reason } from './entrytypes.ts'
import { EvacuationNews } from './evacuationnews.ts'
import { Fleet } from './fleet.ts'
import { FleetAdmission, rounded } from './fleetadmission.ts'
import { ALL_FLEET_GUARDS } from './fleetguards.ts'
import { Intake } from './intake.ts'
import { Job, JobState, TaskState } from './job.ts'
import { JobQueue } from './jobqueue.ts'
import { Cause, Outcome } from './messages.ts'
import { DEFAULT_POLICY } from './policy.ts'
import { NEVER } from './progress.ts'
import { Returns } from './returns.ts'
import { RoomSharing } from './roomsharing.ts'

type Handlers = {
  [Type in EntryEvent['type']]: (event: Extract<EntryEvent, { type: Type }>, now: number) => void
}

export class Entry {
  readonly #options: EntryOptions
  readonly #policy: Policy
  readonly #fleet: Fleet
  readonly #sharing: RoomSharing
  readonly #evacuations: EvacuationNews
  readonly #admission: Admission
  readonly #intake: Intake
  readonly #pressure = new Pressure()
  readonly #shares: FleetAdmission | undefined
  readonly #returns: Returns | undefined
  readonly #jobs = new Map<string, Job>()
  readonly #byRequest = new Map<number, Job>()
  readonly #queues = new Map<string, JobQueue>()
  readonly #answers = new AnsweredJobs()
  #configuration: DispatchConfiguration | undefined
  /** By when everything must be answered; undefined while no stop is ordered. */
  #endsAt: number | undefined
  #reviewedAt = Number.NEGATIVE_INFINITY
  #effects: EntryEffect[] = []

  readonly #handlers: Handlers = {
    submitted: ({ request, job }, now) => this.#submitted(request, job, now),
    requestGone: ({ request }, now) => this.#requestGone(request, now),
    cancelAsked: ({ request, id }, now) => this.#cancelAsked(request, id, now),
    stateAsked: ({ request, id }) => this.#answer(request, this.#stateOf(id)),
    agentLinked: ({ agent, incarnation }, now) => this.#fleet.agentLinked(agent, incarnation, now),
    agentUnlinked: ({ agent }, now) => this.#fleet.agentUnlinked(agent, now),
    agentMessage: ({ agent, message }, now) => this.#fleet.message(agent, message, now),
    peerLinked: ({ peer }, now) => {
      this.#evacuations.peerLinked(peer)
      this.#sharing.peerLinked(peer, now)
      this.#shares?.peerLinked(peer)
    },
    peerUnlinked: ({ peer }, now) => {
      this.#evacuations.peerUnlinked(peer)
      this.#sharing.peerUnlinked(peer, now)
      this.#shares?.peerUnlinked(peer)
    },
    peerMessage: ({ peer, message }, now) => {
      if (message.type === 'evacuations') this.#evacuations.heard(peer, message.state)
      else if (message.type === 'demand') this.#shares?.heard(peer, message, now)
      else this.#sharing.received(peer, message, now)
    },
    evacuationsRead: ({ state }, now) => this.#evacuations.read(state, now),
    configured: ({ configuration }) => this.#configured(configuration),
    tick: (_event, now) => this.#tick(now),
    stopOrdered: (_event, now) => {
      this.#endsAt ??= now + this.#options.grace
      this.#note('stop ordered', { open: this.#jobs.size })
    },
    ending: (_event, now) => this.#answerAll(now)
  }

  constructor (options: EntryOptions) {
    this.#options = options
    this.#policy = { ...DEFAULT_POLICY, ...options.policy }
    this.#admission = new Admission(this.#policy.fleetAdmission ? { ...this.#policy, refusalMargin: 0 } : this.#policy, this.#pressure)
    this.#fleet = new Fleet({
      timings: options.timings,
      guards: options.guards ?? ALL_FLEET_GUARDS,
      policy: this.#policy,
      emit: effect => this.#effects.push(effect),
      waiting: () => this.#sharing.choosesItself && this.#waiting(),
      ended: (agent, placement, end, now) => this.#taskEnded(agent, placement, end, now),
      slow: (agent, placement, slow, now) => this.#taskSlow(agent, placement, slow, now),
      opened: agent => this.#evacuations.tellAgent(agent),
      evacuationsHeard: (agent, state) => this.#evacuations.heardFromAgent(agent, state)
    })
    this.#intake = new Intake(this.#fleet, this.#admission)
    this.#evacuations = new EvacuationNews({ fleet: this.#fleet, emit: effect => this.#effects.push(effect) })
    if (this.#policy.reservesReturns) this.#returns = new Returns()
    const { dataCentre, weights = [] } = options
    const parts = { dataCentre, weights, fleet: this.#fleet, queues: this.#queues, admission: this.#admission, returns: this.#returns, emit: (effect: EntryEffect) => this.#effects.push(effect) }
    if (this.#policy.fleetAdmission) this.#shares = new FleetAdmission(parts)
    this.#sharing = new RoomSharing({
      name: options.name,
      dataCentre: options.dataCentre,
      strength: options.strength ?? 0,
      policy: this.#policy,
      fleet: this.#fleet,
      queues: this.#queues,
      jobOf: id => this.#openJob(id),
      serving: () => this.ready,
      begun: now => this.#pressure.noteBegun(now),
      emit: effect => this.#effects.push(effect)
    })
  }

  /** Takes one event in and returns what is to be done for it, in order. */
  handle (event: EntryEvent, now: number): EntryEffect[] {
    this.#effects = []
    const handler = this.#handlers[event.type] as (event: EntryEvent, now: number) => void
    handler(event, now)
    if (now - this.#reviewedAt >= REVIEW_MILLISECONDS) this.#review(now)
    this.#sharing.settle(now)
    return this.#effects
  }

  #waiting (): boolean {
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
    return { configuration: this.#configuration?.version ?? 0, evacuated: this.#evacuations.known.state?.dataCentres.length ?? 0, agents: this.#fleet.linked, open: this.#jobs.size, queued }
  }

  /** What becomes of each kind of job; empty unless admission goes by the whole fleet. */
  admissionStatus (now: number): AdmissionStatus[] {
    return this.#shares?.status(now) ?? []
  }

  /** Whether new callers may be sent here. */
  get ready (): boolean {
    return this.#configuration !== undefined && this.#fleet.linked > 0 && this.#endsAt === undefined
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
    const refusal = this.#intake.refusal(submitted, this.#endsAt, now)
    if (refusal !== undefined) return this.#refuse(request, submitted, refusal)
    const exceeded = known === undefined ? this.#shares?.refusal(submitted, now) : undefined
    if (exceeded !== undefined) {
      return this.#refuse(request, submitted, refused(Reason.Overload, this.#retryAfter(submitted, now)), rounded(exceeded))
    }
    const job = new Job(submitted, now)
    this.#attach(request, job)
    if (known === undefined) this.#open(job, now)
    else this.#supersede(known, job)
  }

  #refuse (request: number, { id, queue }: JobRequest, refusal: Answer, figures: Record<string, number> = {}): void {
    this.#note('job refused', { job: id, queue: queue.name, reason: refusal.reason, ...figures })
    this.#effects.push({ type: 'jobEnded', queue: queue.name, kind: refusal.kind, reason: refusal.reason, milliseconds: 0, waited: 0 })
    this.#shares?.noteRefused(queue.name, refusal.reason)
    this.#answer(request, refusal)
  }

  /** The id is submitted again while tasks of its earlier submission are stopping: they must be gone first. */
  #supersede (known: Job, job: Job): void {
    if (known.successor !== undefined) {
      for (const request of known.successor.waiting) this.#attach(request, job)
    }
    known.successor = job
  }

  #open (job: Job, now: number): void {
    this.#jobs.set(job.request.id, job)
    this.#admission.estimate(job, now)
    this.#enqueue(job)
    this.#note('job taken', { job: job.request.id, queue: job.request.queue.name, configuration: this.#configuration?.version, tasks: job.tasks.length, remaining: Math.round(job.deadline - now), chain: Math.round(job.chain), slack: Math.round(job.startBy - now), queued: this.#queueOf(job).size })
  }

  #attach (request: number, job: Job): void {
    job.waiting.add(request)
    this.#byRequest.set(request, job)
  }

  #requestGone (request: number, now: number): void {
    const job = this.#byRequest.get(request)
    this.#byRequest.delete(request)
    if (job === undefined || !job.waiting.delete(request) || job.waiting.size > 0) return
    if (job.state === JobState.Open) this.#close(job, { kind: AnswerKind.Cancelled, reason: Reason.CallerGone, retryAfter: 0 }, now)
  }

  #cancelAsked (request: number, id: string, now: number): void {
    const job = this.#jobs.get(id)
    if (job === undefined || job.state !== JobState.Open) return this.#answer(request, unknown())
    const answer = { kind: AnswerKind.Cancelled, reason: Reason.Cancelled, retryAfter: 0 }
    this.#close(job, answer, now)
    this.#answer(request, answer)
  }

  #stateOf (id: string): Answer {
    const job = this.#jobs.get(id)
    if (job?.state !== JobState.Open) return this.#answers.get(id) ?? unknown()
    return { kind: job.started ? AnswerKind.Running : AnswerKind.Pending, reason: Reason.None, retryAfter: 0 }
  }

  #answer (request: number, answer: Answer): void {
    this.#byRequest.delete(request)
    this.#effects.push({ type: 'answer', request, answer })
  }

  /** Ends a job: answers everyone who waits, and stops what still runs. */
  #close (job: Job, answer: Answer, now: number): void {
    job.state = JobState.Closed
    this.#queueOf(job).remove(job)
    this.#sharing.forget(job)
    for (const request of job.waiting) this.#answer(request, answer)
    job.waiting.clear()
    const { id, queue } = job.request
    const milliseconds = now - job.arrivedAt
    const waited = (job.offeredAt ?? now) - job.arrivedAt
    this.#shares?.noteEnded(queue.name, answer, now <= job.objectiveAt)
    if (answer.kind === AnswerKind.Completed && now > job.objectiveAt) this.#pressure.noteLate(now)
    this.#effects.push({ type: 'jobEnded', queue: queue.name, kind: answer.kind, reason: answer.reason, milliseconds, waited })
    this.#note('job ended', { job: id, queue: queue.name, kind: answer.kind, reason: answer.reason, age: Math.round(milliseconds), waited: Math.round(waited), tasks: job.tasks.length, placed: job.placed, chain: Math.round(job.chain), objective: Math.round(job.objectiveAt - job.arrivedAt) })
    if (answer.kind === AnswerKind.Completed || answer.kind === AnswerKind.Failed) this.#answers.remember(id, answer)
    this.#fleet.stopJob(job)
    this.#forgetIfGone(job, now)
  }

  #forgetIfGone (job: Job, now: number): void {
    if (job.state !== JobState.Closed || job.placed > 0) return
    if (this.#jobs.get(job.request.id) === job) this.#jobs.delete(job.request.id)
    const { successor } = job
    job.successor = undefined
    if (successor === undefined || successor.waiting.size === 0) return
    const answered = this.#answers.get(job.request.id)
    if (answered === undefined) return this.#open(successor, now)
    for (const request of successor.waiting) this.#answer(request, answered)
  }

  // Order

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

  // Ends

  #taskEnded (agent: AgentView, placement: Placement, end: TaskEnd, now: number): void {
    const { task } = placement
    const { job } = task
    job.placed -= 1
    if (job.state === JobState.Closed) return this.#forgetIfGone(job, now)
    if (end.outcome === Outcome.Done) return this.#taskDone(agent, placement, end, now)
    task.state = TaskState.Queued
    this.#note('task to be placed again', { job: job.request.id, task: task.name, attempt: end.attempt, agent: agent.name, outcome: end.outcome, cause: end.cause, ran: Math.round(end.ran) })
    if (end.outcome === Outcome.Failed) {
      task.failures += 1
      task.avoid = agent.name
      if (task.failures >= job.request.queue.attempts) return this.#close(job, { kind: AnswerKind.Failed, reason: Reason.TaskFailed, retryAfter: 0 }, now)
    } else if (end.cause !== Cause.Evacuated) {
      task.refusals += 1
      if (task.refusals > REFUSALS_LIMIT) return this.#giveUp(job, Reason.NoTarget, now)
    }
    this.#enqueue(job)
  }

  #taskDone (agent: AgentView, { task }: Placement, end: TaskEnd, now: number): void {
    const { job } = task
    const { queue, steps } = job.request
    this.#admission.learn(queue, steps[task.step] as Step, end.ran * agent.speed)
    const unblocked = job.finish(task)
    if (job.done) return this.#close(job, { kind: AnswerKind.Completed, reason: Reason.None, retryAfter: 0 }, now)
    if (!unblocked) return
    this.#admission.estimate(job, now)
    this.#enqueue(job)
  }

  /**
   * Moves a task that stands still, or crawls at a slow target, when it would end sooner elsewhere.
   * One that crawls is moved once: it may also have been estimated far too short.
   */
  #taskSlow (agent: AgentView, placement: Placement, slow: SlowTask, now: number): void {
    const { task } = placement
    if (!this.#policy.movesSlow || placement.stopping || task.state !== TaskState.Placed) return
    if (slow.remaining !== NEVER && (task.moved || slow.remaining < placement.expected + MOVE_GAIN_MILLISECONDS)) return
    task.moved = true
    this.#note('task moved', { job: task.job.request.id, task: task.name, agent: agent.name, remaining: Math.round(slow.remaining), expected: Math.round(placement.expected) })
    if (slow.remaining === NEVER) this.#fleet.noteStuck(agent, now)
    task.avoid = agent.name
    this.#fleet.stop(agent, [placement])
  }

  // Time

  #tick (now: number): void {
    this.#fleet.tick(now)
    this.#evacuations.tick(now)
    this.#sharing.tick(now)
    this.#shares?.tick(now)
    for (const job of this.#jobs.values()) {
      if (job.state === JobState.Open && now >= job.deadline - ANSWER_MILLISECONDS) this.#giveUp(job, Reason.Deadline, now)
    }
  }

  /** Refuses at once what is known not to be served in time; a caller that hears it late can do less with it. */
  #review (now: number): void {
    this.#reviewedAt = now
    for (const [service, queue] of this.#queues) {
      if (queue.size > 0) this.#giveUpHopeless(queue, now)
      for (const job of this.#shares?.hopeless(service, now) ?? []) this.#giveUp(job, Reason.Overload, now)
    }
  }

  #giveUpHopeless (queue: JobQueue, now: number): void {
    for (const job of [...queue.jobs()]) {
      if (job.started) continue
      const evacuated = this.#fleet.evacuatedWhole(job.request.queue.service)
      const reason = evacuated ? Reason.Evacuated : this.#admission.verdict(job, this.#sharing.isCrowded(job), now)
      if (reason !== Reason.None) this.#giveUp(job, reason, now)
    }
  }

  #answerAll (now: number): void {
    for (const job of [...this.#jobs.values()]) if (job.state === JobState.Open) this.#giveUp(job, Reason.Stopping, now)
  }

  /** A job of which no task was ever placed has provably not run. */
  #giveUp (job: Job, reason: Reason, now: number): void {
    const { service } = job.request.queue
    const known = this.#fleet.known(service)
    const usable = this.#fleet.usable(service, now)
    this.#note('job given up', { job: job.request.id, reason, targets: known.length, usable: usable.length, free: usable.filter(agent => agent.hasPlace()).map(agent => Math.round(agent.free.cpu)), needs: job.request.steps[0]?.needs.cpu, queued: this.#queueOf(job).size })
    if (job.started) return this.#close(job, { kind: AnswerKind.TimedOut, reason, retryAfter: 0 }, now)
    this.#close(job, refused(reason, this.#retryAfter(job.request, now)), now)
  }

  #retryAfter ({ id, queue }: JobRequest, now: number): number {
    this.#pressure.noteRefused(now)
    if (this.#returns === undefined) return this.#pressure.retryAfter(id, now)
    return this.#returns.refused(id, queue.name, this.#shares?.admittedPerSecond(queue.name, now) ?? this.#pressure.begunPerSecond(now), now)
  }

  #note (what: string, fields: Record<string, unknown>): void {
    this.#effects.push({ type: 'note', what, fields })
  }
}
