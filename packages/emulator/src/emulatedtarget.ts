/** A target next to an agent, under virtual time. Calls to it can be delayed, lost or left without an answer, and it can crash, hang and slow down. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { Resources } from '@amaranthmast/dispatch/resources'
import type { RunEnd as WorkerRunEnd, RunPlan, WorkerRun } from '@amaranthmast/standins/leasedworker'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Timeline } from './timeline.ts'
import { PollFailure, RunEnd, StartAnswer } from '@amaranthmast/dispatch/agenttypes'
import { CallTroubles } from './calltroubles.ts'
import { CapacityCheck } from './capacitycheck.ts'
import { LeasedWorker } from '@amaranthmast/standins/leasedworker'

type EffectOf<Type extends AgentEffect['type']> = Extract<AgentEffect, { type: Type }>

/** The process that calls a target. */
export interface Caller {
  /** Number of its current incarnation. */
  readonly incarnation: number
  /** Starts a timer of the process, in milliseconds. */
  after: (milliseconds: number, run: () => void) => void
}

/** Properties of an emulated target. Durations in milliseconds. */
export interface TargetOptions {
  service: string
  dataCentre: string
  labels: string[]
  capacity: Resources
  /** Rate of its monotonic clock against the timeline; 1 for the same rate. */
  clockRate: number
  longestLease: number
  /** Whether it refuses tasks over its capacity; otherwise only its agent prevents overload. @default true */
  rejectsOverload?: boolean
  /** Whether it refuses calls that name another incarnation. A new incarnation must then not keep the name. @default false */
  refusesOtherLives?: boolean
  heartbeat: number
  /** How long its own check of starts still accepts a capacity after it has shrunk. */
  capacityGrace: number
  /** Whether a poll waits for the end of a run (long polling) or is answered at once. */
  pollsWait: boolean
  /** The process that calls it. Its timers may be delayed, and a new incarnation receives no answers to earlier calls. @default a caller that is never delayed */
  caller?: Caller
  plan: (task: string) => RunPlan
  cpuOf: (task: string) => number
  /** Called once for each run whose end it lists as failed in the answer to a poll. */
  failureListed?: (task: string) => void
}

/** Minimum time to the next end of a run, in milliseconds. If rounding made it 0, the wake-up would repeat at the same instant forever. */
const MIN_DELAY_TO_END = 1e-6

const START_ANSWERS = {
  started: StartAnswer.Started,
  fence: StartAnswer.Fenced,
  old: StartAnswer.OldRun,
  late: StartAnswer.Late,
  room: StartAnswer.Full
} as const

/** What the caller receives, by the result of its call. */
interface CallAnswers<Answer> {
  /** No response before the timeout, or the connection broke. */
  silent: Answer
  /** The connection was refused. */
  refused: Answer
  otherInstance: Answer
  execute: () => Answer
}

/** A call in progress. */
interface OpenCall {
  /** Whether its connection broke, so that it may not have arrived. */
  broken: boolean
  disconnect: () => void
}

/** A poll that waits for the end of a run. */
interface WaitingPoll {
  instance: string
  acknowledged: number
  answer: () => void
}

/** Answers the calls of one agent, runs tasks on a leased worker, and announces itself with heartbeats. */
export class EmulatedTarget {
  readonly #timeline: Timeline
  readonly #options: TargetOptions
  readonly #post: (event: AgentEvent) => void
  readonly check: CapacityCheck
  readonly #troubles: CallTroubles
  #worker: LeasedWorker
  /** Name by which calls address it, and the instance id of its current incarnation. */
  #name = ''
  #instance = ''
  #incarnation = 0
  /** Number of the last end that its current incarnation has listed. */
  #lastListed = 0
  /** When its clock was at 0, on the timeline. */
  #clockStart = 0
  #sequence = 0
  #up = true
  #refuses = false
  #leaving = false
  /** Whether it has deregistered; it may run on for a while. */
  #deregistered = false
  /** When it ends, on the timeline, if it announces that. */
  #endsAt = Infinity
  /** Current fraction of its full capacity. */
  #capacityFraction = 1
  #rate = 1
  readonly #openCalls = new Set<OpenCall>()
  #waitingPolls: WaitingPoll[] = []
  #wakeAt = Infinity

  constructor (timeline: Timeline, random: SeededRandom, options: TargetOptions, post: (event: AgentEvent) => void) {
    this.#timeline = timeline
    this.#troubles = new CallTroubles(timeline, random)
    this.#options = options
    this.#post = post
    this.check = new CapacityCheck(options.capacity.cpu, options.capacityGrace)
    this.#worker = this.#startIncarnation()
    this.#heartbeat(this.#incarnation)
  }

  get up (): boolean {
    return this.#up
  }

  /** Current runs; none while it is down. */
  running (): readonly WorkerRun[] {
    if (!this.#up) return []
    this.#worker.advance(this.#clock)
    return this.#worker.running
  }

  /**
   * @param milliseconds how long it is down; Infinity if it does not restart
   * @param keepsName whether it restarts under the same name, with its clock and counters reset
   * @param refuses whether its machine stays up and refuses connections meanwhile
   */
  crash (milliseconds: number, keepsName = false, refuses = false): void {
    if (!this.#up) return
    this.#up = false
    this.#refuses = refuses
    this.#troubles.acceptCalls()
    this.#waitingPolls = []
    if (milliseconds === Infinity) return
    this.#timeline.after(milliseconds, () => {
      this.#up = true
      this.#leaving = false
      this.#deregistered = false
      this.#endsAt = Infinity
      this.#worker = this.#startIncarnation(keepsName)
      this.#heartbeat(this.#incarnation)
    })
  }

  /** Breaks open connections and refuses new ones for a while. Its tasks continue. */
  refuse (milliseconds: number): void {
    if (!this.#up) return
    this.#troubles.refuse(milliseconds)
    this.#waitingPolls = []
    for (const call of this.#openCalls) call.disconnect()
    this.#openCalls.clear()
  }

  /** For a while it neither executes nor answers stop calls; all other calls are answered. */
  loseStops (milliseconds: number): void {
    this.#troubles.loseStops(milliseconds)
  }

  /** For a while all its answers are delayed. */
  answerSlowly (milliseconds: number): void {
    this.#troubles.answerSlowly(milliseconds)
  }

  executeLate (milliseconds: number, share: number): void {
    this.#troubles.executeLate(milliseconds, share)
  }

  loseAnswers (milliseconds: number, share = 1): void {
    this.#troubles.loseAnswers(milliseconds, share)
  }

  /** Sets the speed of its tasks: 1 is normal, 0 hangs. */
  setRate (rate: number): void {
    this.#rate = rate
    this.#worker.setRate(rate, this.#clock)
    this.#scheduleWakeUp()
  }

  /**
   * Announces that it is leaving, and ends after a time.
   *
   * @param options
   * @param options.announcesEnd whether its heartbeats state the remaining time
   * @param options.restartsAfter milliseconds until a new incarnation starts; Infinity if none does
   * @param options.lingers how long it runs on after it has deregistered, in milliseconds
   * @param options.refuses whether it refuses connections while it lingers
   */
  leave (milliseconds: number, { announcesEnd = false, restartsAfter = Infinity, lingers = 0, refuses = false } = {}): void {
    if (!this.#up || this.#leaving) return
    const incarnation = this.#incarnation
    this.#leaving = true
    if (announcesEnd) this.#endsAt = this.#timeline.now + milliseconds
    this.check.recordLeaving(this.#timeline.now)
    this.announce()
    const hasEnded = (): boolean => !this.#up || incarnation !== this.#incarnation
    this.#timeline.after(milliseconds, () => {
      if (hasEnded()) return
      this.#post({ type: 'targetLeft', instance: this.#instance })
      this.#deregistered = true
      if (lingers === 0) return this.#shutDown(restartsAfter)
      if (refuses) this.refuse(lingers)
      this.#timeline.after(lingers, () => { if (!hasEnded()) this.#shutDown(restartsAfter) })
    })
  }

  #shutDown (restartsAfter: number): void {
    this.check.recordEnd(this.running().map(({ startedAt }) => this.#clockStart + startedAt / this.#options.clockRate))
    this.crash(restartsAfter)
  }

  /** Sets its capacity to a fraction of the full one. The next heartbeat reports it; running tasks continue. */
  setCapacityFraction (fraction: number): void {
    this.#capacityFraction = fraction
    this.#worker.setCapacity(this.#capacity.cpu)
    this.check.recordCapacity(this.#capacity.cpu, this.#timeline.now)
  }

  announce (): void {
    if (this.#up && !this.#deregistered) this.#post(this.announcement())
  }

  /** Builds the next heartbeat. */
  announcement (): AgentEvent {
    const { service, dataCentre, labels, refusesOtherLives = false } = this.#options
    this.#sequence += 1
    const remaining = this.#endsAt === Infinity ? {} : { remaining: Math.max(0, this.#endsAt - this.#timeline.now) }
    return { type: 'targetSeen', facts: { instance: this.#instance, service, dataCentre, capacity: this.#capacity, labels, leaving: this.#leaving, ...(refusesOtherLives ? { refusesOtherLives } : {}), ...remaining }, sequence: this.#sequence, clock: this.#clock }
  }

  start (order: EffectOf<'start'>): void {
    const { instance, task, run, token, deadline, timeout } = order
    const reply = (answer: StartAnswer): void => this.#post({ type: 'startAnswered', instance, task, run, answer })
    this.#call(order, timeout, reply, {
      silent: StartAnswer.NoResponse,
      refused: StartAnswer.NoListener,
      otherInstance: StartAnswer.OtherInstance,
      execute: () => this.#start({ task, run, token, deadline })
    })
  }

  stop (order: EffectOf<'stop'>): void {
    const { instance, task, run, token, timeout } = order
    const reply = (answered: boolean): void => this.#post({ type: 'stopAnswered', instance, task, run, answered })
    if (this.#troubles.losesStops) return this.#startCallerTimer(timeout, () => reply(false))
    this.#call(order, timeout, reply, {
      silent: false,
      refused: false,
      otherInstance: false,
      execute: () => this.#worker.stop(task, run, token, this.#clock)
    })
  }

  poll (order: EffectOf<'poll'>): void {
    const { instance, token, sent, deadline, acknowledged, wait, timeout } = order
    const failed = (failure: PollFailure): AgentEvent => ({ type: 'pollFailed', instance, sent, failure })
    // A poll grants its lease only once, on arrival, even if its answer waits.
    let grantedDeadline = deadline
    const answers: CallAnswers<AgentEvent> = {
      silent: failed(PollFailure.NoResponse),
      refused: failed(PollFailure.NoListener),
      otherInstance: failed(PollFailure.OtherInstance),
      execute: () => {
        const isCurrent = instance === this.#instance
        const { fenced, running, ended } = this.#worker.poll(token, grantedDeadline, acknowledged, this.#clock)
        grantedDeadline = undefined
        if (!isCurrent) return failed(PollFailure.OtherInstance)
        if (fenced) return failed(PollFailure.Fenced)
        this.#recordListed(ended)
        return { type: 'polled', instance, sent, clock: this.#clock, running, ended: ended.map(end => ({ ...end, end: end.how as RunEnd })) }
      }
    }
    const waits = this.#options.pollsWait && wait > 0
    this.#call(order, timeout, event => this.#post(event), answers, waits ? { acknowledged, wait } : undefined)
  }

  #start (order: { task: string, run: number, token: number, deadline: number }): StartAnswer {
    const running = this.running().length
    const answer = START_ANSWERS[this.#worker.start({ ...order, cpu: this.#options.cpuOf(order.task) }, this.#clock)]
    if (this.#worker.running.length > running) this.check.recordStart(this.#worker.used, this.#timeline.now)
    return answer
  }

  #recordListed (ends: readonly WorkerRunEnd[]): void {
    for (const { number, task, how } of ends) {
      if (number <= this.#lastListed) continue
      this.#lastListed = number
      if (how === 'failed') this.#options.failureListed?.(task)
    }
  }

  get #capacity (): Resources {
    const { capacity } = this.#options
    return { ...capacity, cpu: Math.floor(capacity.cpu * this.#capacityFraction) }
  }

  get #clock (): number {
    return (this.#timeline.now - this.#clockStart) * this.#options.clockRate
  }

  #startIncarnation (keepsName = false): LeasedWorker {
    this.#incarnation += 1
    if (keepsName) this.#clockStart = this.#timeline.now
    else this.#name = `life-${this.#incarnation}`
    this.#instance = `${this.#name}/${this.#incarnation}`
    this.#sequence = 0
    this.#lastListed = 0
    this.#wakeAt = Infinity
    const { longestLease, rejectsOverload = true, plan } = this.#options
    const worker = new LeasedWorker({ cpu: this.#capacity.cpu, longestLease, rejectsOverload, plan })
    if (this.#rate !== 1) worker.setRate(this.#rate, this.#clock)
    return worker
  }

  #heartbeat (incarnation: number): void {
    if (!this.#up || incarnation !== this.#incarnation) return
    this.announce()
    this.#timeline.after(this.#options.heartbeat, () => this.#heartbeat(incarnation))
  }

  #call<Answer> (order: { instance: string }, timeout: number, reply: (answer: Answer) => void, answers: CallAnswers<Answer>, hold?: { acknowledged: number, wait: number }): void {
    const call: OpenCall = {
      broken: false,
      disconnect: () => {
        call.broken = true
        this.#timeline.after(this.#troubles.travelTime(), () => settle(answers.silent))
      }
    }
    const { caller } = this.#options
    const callerIncarnation = caller?.incarnation
    let settled = false
    const settle = (answer: Answer): void => {
      this.#openCalls.delete(call)
      if (settled || callerIncarnation !== caller?.incarnation) return
      settled = true
      reply(answer)
    }
    this.#startCallerTimer(timeout, () => settle(answers.silent))
    if (this.#up && this.#troubles.refuses) return this.#timeline.after(this.#troubles.travelTime(), () => settle(answers.refused))
    this.#openCalls.add(call)
    const incarnation = this.#incarnation
    const { late, lost, order: travel, answer: slowness } = this.#troubles.next()
    const sendAnswer = (): void => {
      const answer = this.#answer(order.instance, answers)
      this.#scheduleWakeUp()
      if (answer !== undefined && !lost) this.#timeline.after(slowness + this.#troubles.travelTime(), () => { if (!call.broken) settle(answer) })
    }
    this.#timeline.after(travel, () => {
      // A delayed call waits inside the target, so it is lost when that incarnation ends.
      if (late && incarnation !== this.#incarnation) return
      if (call.broken && !this.#troubles.executesDespiteDisconnect()) return
      if (hold === undefined) return sendAnswer()
      this.#holdPoll(order.instance, hold, answers, sendAnswer)
    })
  }

  #startCallerTimer (milliseconds: number, run: () => void): void {
    const timers = this.#options.caller ?? this.#timeline
    timers.after(milliseconds, run)
  }

  /** Executes a poll on arrival and holds its answer back until a run ends or the wait is over. */
  #holdPoll<Answer> (instance: string, { acknowledged, wait }: { acknowledged: number, wait: number }, answers: CallAnswers<Answer>, sendAnswer: () => void): void {
    this.#answer(instance, answers)
    if (!this.#up || !this.#isAddressed(instance) || this.#worker.hasUnacknowledgedEnds(acknowledged)) return sendAnswer()
    const poll: WaitingPoll = { instance, acknowledged, answer: sendAnswer }
    this.#waitingPolls.push(poll)
    this.#scheduleWakeUp()
    this.#timeline.after(wait, () => {
      if (!this.#waitingPolls.includes(poll)) return
      this.#waitingPolls.splice(this.#waitingPolls.indexOf(poll), 1)
      sendAnswer()
    })
  }

  /** Schedules the answers to waiting polls for the end of the next run. */
  #scheduleWakeUp (): void {
    if (!this.#options.pollsWait || !this.#up) return
    const { now } = this.#timeline
    const at = Math.max(now + MIN_DELAY_TO_END, this.#clockStart + this.#worker.nextEnd() / this.#options.clockRate)
    if (at === Infinity || at === this.#wakeAt) return this.#answerReadyPolls()
    this.#wakeAt = at
    this.#timeline.after(at - now, () => {
      if (this.#wakeAt !== at) return
      this.#wakeAt = Infinity
      this.#worker.advance(this.#clock)
      this.#answerReadyPolls()
      this.#scheduleWakeUp()
    })
  }

  #answerReadyPolls (): void {
    const ready = this.#waitingPolls.filter(({ acknowledged }) => this.#worker.hasUnacknowledgedEnds(acknowledged))
    if (ready.length === 0) return
    this.#waitingPolls = this.#waitingPolls.filter(poll => !ready.includes(poll))
    for (const { answer } of ready) answer()
  }

  /** Returns undefined (no response) while the machine is down; refuses if only the process on it is down. */
  #answer<Answer> (instance: string, answers: CallAnswers<Answer>): Answer | undefined {
    if (!this.#up) return this.#refuses ? answers.refused : undefined
    return this.#isAddressed(instance) ? answers.execute() : answers.otherInstance
  }

  /** A call addresses the name of a target, whichever incarnation it names. */
  #isAddressed (instance: string): boolean {
    return instance.startsWith(`${this.#name}/`)
  }
}
