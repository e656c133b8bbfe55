/** A target beside an agent under virtual time: orders reach it late, twice, without an answer or not at all, and it crashes, hangs and slows. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { Resources } from '@amaranthmast/dispatch/resources'
import type { RunPlan, WorkerRun } from '@amaranthmast/standins/leasedworker'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Timeline } from './timeline.ts'
import { PollFailure, RunEnd, StartAnswer } from '@amaranthmast/dispatch/agenttypes'
import { CallTroubles } from './calltroubles.ts'
import { CapacityCheck } from './capacitycheck.ts'
import { LeasedWorker } from '@amaranthmast/standins/leasedworker'

type EffectOf<Type extends AgentEffect['type']> = Extract<AgentEffect, { type: Type }>

/** A process that calls a target. */
export interface Caller {
  /** Number of its present run. */
  readonly incarnation: number
  /** Runs a timer of it. Durations in milliseconds. */
  after: (milliseconds: number, run: () => void) => void
}

/** What kind of target it is. Durations in milliseconds. */
export interface TargetTraits {
  service: string
  dataCentre: string
  labels: string[]
  capacity: Resources
  /** Its steady clock against the others', 1 for the same rate. */
  clockRate: number
  longestLease: number
  /** Whether it refuses what does not fit; else its agent alone guards it. @default true */
  rejectsOverload?: boolean
  /** Whether it turns down calls that name another of its lives, which then never keeps its name. @default false */
  refusesOtherLives?: boolean
  heartbeat: number
  /** For how long room that has shrunk still counts in its own check of what is started there. */
  news: number
  /** Whether a poll waits for an end as long as it may, or is answered at once. */
  pollsWait: boolean
  /** The process that calls it: its timers may be late, and its next run hears nothing of earlier calls. @default one that is never late */
  caller?: Caller
  plan: (task: string) => RunPlan
  cpuOf: (task: string) => number
}

/** Least time to the next end, in milliseconds: rounded to the same instant, it would be waited for at it for ever. */
const ROUNDING = 1e-6

const START_ANSWERS = {
  started: StartAnswer.Started,
  fence: StartAnswer.Fenced,
  old: StartAnswer.OldRun,
  late: StartAnswer.Late,
  room: StartAnswer.Full
} as const

interface CallAnswers<Answer> {
  silent: Answer
  /** Nothing listens. */
  refused: Answer
  otherInstance: Answer
  carryOut: () => Answer
}

/** A call that has not ended. */
interface OpenCall {
  /** Its connection has broken, and it may not have arrived. */
  broken: boolean
  breakOff: () => void
}

/** A poll that waits for an end. */
interface WaitingPoll {
  instance: string
  acknowledged: number
  answer: () => void
}

export class EmulatedTarget {
  readonly #timeline: Timeline
  readonly #traits: TargetTraits
  readonly #post: (event: AgentEvent) => void
  readonly check: CapacityCheck
  readonly #troubles: CallTroubles
  #worker: LeasedWorker
  /** Name under which it is called, and this life of it. */
  #name = ''
  #instance = ''
  #lives = 0
  /** When its clock began, on the timeline. */
  #clockSince = 0
  #sequence = 0
  #up = true
  #refuses = false
  #leaving = false
  /** It has deregistered, and has not ended yet. */
  #deregistered = false
  /** When it will be gone, where its announcements state it. */
  #goneAt = Infinity
  /** Part of its capacity that it has at present. */
  #part = 1
  #rate = 1
  readonly #open = new Set<OpenCall>()
  #waiting: WaitingPoll[] = []
  #wakeAt = Infinity

  constructor (timeline: Timeline, random: SeededRandom, traits: TargetTraits, post: (event: AgentEvent) => void) {
    this.#timeline = timeline
    this.#troubles = new CallTroubles(timeline, random)
    this.#traits = traits
    this.#post = post
    this.check = new CapacityCheck(traits.capacity.cpu, traits.news)
    this.#worker = this.#newLife()
    this.#heartbeat(this.#lives)
  }

  get up (): boolean {
    return this.#up
  }

  /** What runs there now; nothing while it is down. */
  running (): readonly WorkerRun[] {
    if (!this.#up) return []
    this.#worker.advance(this.#clock)
    return this.#worker.running
  }

  /**
   * @param milliseconds how long it is down; infinite when it is gone for good
   * @param keepsName whether it starts again under its name, with a clock and counts that start anew
   * @param refuses whether its machine goes on, and refuses calls
   */
  crash (milliseconds: number, keepsName = false, refuses = false): void {
    if (!this.#up) return
    this.#up = false
    this.#refuses = refuses
    this.#troubles.listenAgain()
    this.#waiting = []
    if (milliseconds === Infinity) return
    this.#timeline.after(milliseconds, () => {
      this.#up = true
      this.#leaving = false
      this.#deregistered = false
      this.#goneAt = Infinity
      this.#worker = this.#newLife(keepsName)
      this.#heartbeat(this.#lives)
    })
  }

  /** For a while it refuses connections, and those that are open break; what runs there goes on. */
  refuse (milliseconds: number): void {
    if (!this.#up) return
    this.#troubles.refuse(milliseconds)
    this.#waiting = []
    for (const call of this.#open) call.breakOff()
    this.#open.clear()
  }

  /** For a while orders to stop are lost, and everything else is answered. */
  loseStops (milliseconds: number): void {
    this.#troubles.loseStops(milliseconds)
  }

  /** For a while all that it answers comes late. */
  answerSlowly (milliseconds: number): void {
    this.#troubles.answerSlowly(milliseconds)
  }

  carryOutLate (milliseconds: number, share: number): void {
    this.#troubles.carryOutLate(milliseconds, share)
  }

  loseAnswers (milliseconds: number, share = 1): void {
    this.#troubles.loseAnswers(milliseconds, share)
  }

  /** Everything that runs there works at this rate: 1 is sound, 0 stands still. */
  setRate (rate: number): void {
    this.#rate = rate
    this.#worker.setRate(rate, this.#clock)
    this.#wakeIfDue()
  }

  /**
   * It takes no new work and is gone later.
   *
   * @param states whether it announces how much time is left
   * @param back after which time another life is there; infinite when it is gone for good
   * @param lingers how long it runs on after it has deregistered, in milliseconds
   * @param refuses whether it refuses connections from then on
   */
  leave (milliseconds: number, { states = false, back = Infinity, lingers = 0, refuses = false } = {}): void {
    if (!this.#up || this.#leaving) return
    const life = this.#lives
    this.#leaving = true
    if (states) this.#goneAt = this.#timeline.now + milliseconds
    this.check.noteLeaving(this.#timeline.now)
    this.announce()
    const isOver = (): boolean => !this.#up || life !== this.#lives
    this.#timeline.after(milliseconds, () => {
      if (isOver()) return
      this.#post({ type: 'targetLeft', instance: this.#instance })
      this.#deregistered = true
      if (lingers === 0) return this.#end(back)
      if (refuses) this.refuse(lingers)
      this.#timeline.after(lingers, () => { if (!isOver()) this.#end(back) })
    })
  }

  #end (back: number): void {
    this.check.noteEnd(this.running().map(({ startedAt }) => this.#clockSince + startedAt / this.#traits.clockRate))
    this.crash(back)
  }

  /** From now on it has this part of its capacity; its next heartbeat says so. What runs goes on. */
  setSize (part: number): void {
    this.#part = part
    this.#worker.setCapacity(this.#capacity.cpu)
    this.check.noteCapacity(this.#capacity.cpu, this.#timeline.now)
  }

  announce (): void {
    if (this.#up && !this.#deregistered) this.#post(this.announcement())
  }

  /** The next heartbeat. */
  announcement (): AgentEvent {
    const { service, dataCentre, labels, refusesOtherLives = false } = this.#traits
    this.#sequence += 1
    const remaining = this.#goneAt === Infinity ? {} : { remaining: Math.max(0, this.#goneAt - this.#timeline.now) }
    return { type: 'targetSeen', facts: { instance: this.#instance, service, dataCentre, capacity: this.#capacity, labels, leaving: this.#leaving, ...(refusesOtherLives ? { refusesOtherLives } : {}), ...remaining }, sequence: this.#sequence, clock: this.#clock }
  }

  start (order: EffectOf<'start'>): void {
    const { instance, task, run, token, deadline, timeout } = order
    const reply = (answer: StartAnswer): void => this.#post({ type: 'startAnswered', instance, task, run, answer })
    this.#call(order, timeout, reply, {
      silent: StartAnswer.NoResponse,
      refused: StartAnswer.NoListener,
      otherInstance: StartAnswer.OtherInstance,
      carryOut: () => this.#start({ task, run, token, deadline })
    })
  }

  stop (order: EffectOf<'stop'>): void {
    const { instance, task, run, token, timeout } = order
    const reply = (answered: boolean): void => this.#post({ type: 'stopAnswered', instance, task, run, answered })
    if (this.#troubles.losesStops) return this.#callersTimer(timeout, () => reply(false))
    this.#call(order, timeout, reply, {
      silent: false,
      refused: false,
      otherInstance: false,
      carryOut: () => this.#worker.stop(task, run, token, this.#clock)
    })
  }

  poll (order: EffectOf<'poll'>): void {
    const { instance, token, sent, deadline, acknowledged, wait, timeout } = order
    const failed = (failure: PollFailure): AgentEvent => ({ type: 'pollFailed', instance, sent, failure })
    // It grants the lease once, on its arrival, however long its answer waits.
    let granting = deadline
    const answers: CallAnswers<AgentEvent> = {
      silent: failed(PollFailure.NoResponse),
      refused: failed(PollFailure.NoListener),
      otherInstance: failed(PollFailure.OtherInstance),
      carryOut: () => {
        const meant = instance === this.#instance
        const { fenced, running, ended } = this.#worker.poll(token, granting, acknowledged, this.#clock)
        granting = undefined
        if (!meant) return failed(PollFailure.OtherInstance)
        if (fenced) return failed(PollFailure.Fenced)
        return { type: 'polled', instance, sent, clock: this.#clock, running, ended: ended.map(end => ({ ...end, end: end.how as RunEnd })) }
      }
    }
    const holds = this.#traits.pollsWait && wait > 0
    this.#call(order, timeout, event => this.#post(event), answers, holds ? { acknowledged, wait } : undefined)
  }

  #start (order: { task: string, run: number, token: number, deadline: number }): StartAnswer {
    const running = this.running().length
    const answer = START_ANSWERS[this.#worker.start({ ...order, cpu: this.#traits.cpuOf(order.task) }, this.#clock)]
    if (this.#worker.running.length > running) this.check.noteStart(this.#worker.used, this.#timeline.now)
    return answer
  }

  get #capacity (): Resources {
    const { capacity } = this.#traits
    return { ...capacity, cpu: Math.floor(capacity.cpu * this.#part) }
  }

  get #clock (): number {
    return (this.#timeline.now - this.#clockSince) * this.#traits.clockRate
  }

  #newLife (keepsName = false): LeasedWorker {
    this.#lives += 1
    if (keepsName) this.#clockSince = this.#timeline.now
    else this.#name = `life-${this.#lives}`
    this.#instance = `${this.#name}/${this.#lives}`
    this.#sequence = 0
    this.#wakeAt = Infinity
    const { longestLease, rejectsOverload = true, plan } = this.#traits
    const worker = new LeasedWorker({ cpu: this.#capacity.cpu, longestLease, rejectsOverload, plan })
    if (this.#rate !== 1) worker.setRate(this.#rate, this.#clock)
    return worker
  }

  #heartbeat (life: number): void {
    if (!this.#up || life !== this.#lives) return
    this.announce()
    this.#timeline.after(this.#traits.heartbeat, () => this.#heartbeat(life))
  }

  #call<Answer> (order: { instance: string }, timeout: number, reply: (answer: Answer) => void, answers: CallAnswers<Answer>, hold?: { acknowledged: number, wait: number }): void {
    const call: OpenCall = {
      broken: false,
      breakOff: () => {
        call.broken = true
        this.#timeline.after(this.#troubles.travel(), () => settle(answers.silent))
      }
    }
    const { caller } = this.#traits
    const incarnation = caller?.incarnation
    let settled = false
    const settle = (answer: Answer): void => {
      this.#open.delete(call)
      if (settled || incarnation !== caller?.incarnation) return
      settled = true
      reply(answer)
    }
    this.#callersTimer(timeout, () => settle(answers.silent))
    if (this.#up && this.#troubles.refuses) return this.#timeline.after(this.#troubles.travel(), () => settle(answers.refused))
    this.#open.add(call)
    const life = this.#lives
    const { late, lost, order: travel, answer: slowness } = this.#troubles.next()
    const answerBack = (): void => {
      const answer = this.#answer(order.instance, answers)
      this.#wakeIfDue()
      if (answer !== undefined && !lost) this.#timeline.after(slowness + this.#troubles.travel(), () => { if (!call.broken) settle(answer) })
    }
    this.#timeline.after(travel, () => {
      // What waits inside a worker ends with it.
      if (late && life !== this.#lives) return
      if (call.broken && !this.#troubles.arrivesBroken()) return
      if (hold === undefined) return answerBack()
      this.#hold(order.instance, hold, answers, answerBack)
    })
  }

  #callersTimer (milliseconds: number, run: () => void): void {
    const timers = this.#traits.caller ?? this.#timeline
    timers.after(milliseconds, run)
  }

  /** The order of a poll takes effect as it arrives; its answer waits for an end. */
  #hold<Answer> (instance: string, { acknowledged, wait }: { acknowledged: number, wait: number }, answers: CallAnswers<Answer>, answerBack: () => void): void {
    this.#answer(instance, answers)
    if (!this.#up || !this.#isCalled(instance) || this.#worker.hasUnacknowledgedEnds(acknowledged)) return answerBack()
    const poll: WaitingPoll = { instance, acknowledged, answer: answerBack }
    this.#waiting.push(poll)
    this.#wakeIfDue()
    this.#timeline.after(wait, () => {
      if (!this.#waiting.includes(poll)) return
      this.#waiting.splice(this.#waiting.indexOf(poll), 1)
      answerBack()
    })
  }

  /** Polls that wait are answered when the next run ends. */
  #wakeIfDue (): void {
    if (!this.#traits.pollsWait || !this.#up) return
    const { now } = this.#timeline
    const at = Math.max(now + ROUNDING, this.#clockSince + this.#worker.nextEnd() / this.#traits.clockRate)
    if (at === Infinity || at === this.#wakeAt) return this.#answerWaiting()
    this.#wakeAt = at
    this.#timeline.after(at - now, () => {
      if (this.#wakeAt !== at) return
      this.#wakeAt = Infinity
      this.#worker.advance(this.#clock)
      this.#answerWaiting()
      this.#wakeIfDue()
    })
  }

  #answerWaiting (): void {
    const ready = this.#waiting.filter(({ acknowledged }) => this.#worker.hasUnacknowledgedEnds(acknowledged))
    if (ready.length === 0) return
    this.#waiting = this.#waiting.filter(poll => !ready.includes(poll))
    for (const { answer } of ready) answer()
  }

  /** Undefined while the machine is down: it says nothing at all, unless only the target on it is. */
  #answer<Answer> (instance: string, answers: CallAnswers<Answer>): Answer | undefined {
    if (!this.#up) return this.#refuses ? answers.refused : undefined
    return this.#isCalled(instance) ? answers.carryOut() : answers.otherInstance
  }

  /** A call names the worker, not which of its lives it means. */
  #isCalled (instance: string): boolean {
    return instance.startsWith(`${this.#name}/`)
  }
}
