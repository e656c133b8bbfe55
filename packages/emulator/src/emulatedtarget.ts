/** A target beside an agent under virtual time: orders reach it late, twice, or without an answer, and it crashes, hangs and slows. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { Resources } from '@amaranthmast/dispatch/resources'
import type { RunPlan, WorkerRun } from '@amaranthmast/standins/leasedworker'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { Timeline } from './timeline.ts'
import { PollFailure, RunEnd, StartAnswer } from '@amaranthmast/dispatch/agenttypes'
import { CapacityCheck } from './capacitycheck.ts'
import { LeasedWorker } from '@amaranthmast/standins/leasedworker'

type EffectOf<Type extends AgentEffect['type']> = Extract<AgentEffect, { type: Type }>

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
  heartbeat: number
  /** For how long room that has shrunk still counts in its own check of what is started there. */
  news: number
  /** Whether a poll waits for an end as long as it may, or is answered at once. */
  pollsWait: boolean
  plan: (task: string) => RunPlan
  cpuOf: (task: string) => number
}

/** A call on the same machine takes this long one way, in milliseconds. */
const FASTEST_CALL = 0.2
const CALL_SPREAD = 2

/** Least time to the next end, in milliseconds: rounded to the same instant, it would be waited for at it for ever. */
const ROUNDING = 1e-6

/** An order that is carried out late is so by this much, in milliseconds. */
const LATE_LEAST = 2000
const LATE_SPREAD = 10_000

const START_ANSWERS = {
  started: StartAnswer.Started,
  fence: StartAnswer.Fenced,
  old: StartAnswer.OldRun,
  late: StartAnswer.Late,
  room: StartAnswer.Full
} as const

/** A share of the orders until a time. */
interface Spell {
  until: number
  share: number
}

interface CallAnswers<Answer> {
  silent: Answer
  /** Nothing listens. */
  refused: Answer
  otherInstance: Answer
  carryOut: () => Answer
}

/** A poll that waits for an end. */
interface WaitingPoll {
  instance: string
  acknowledged: number
  answer: () => void
}

export class EmulatedTarget {
  readonly #timeline: Timeline
  readonly #random: SeededRandom
  readonly #traits: TargetTraits
  readonly #post: (event: AgentEvent) => void
  readonly check: CapacityCheck
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
  /** When it will be gone, where its announcements state it. */
  #goneAt = Infinity
  /** Part of its capacity that it has at present. */
  #part = 1
  #rate = 1
  /** Orders that are lost to the caller and carried out late. */
  #late: Spell = { until: 0, share: 0 }
  /** Answers are lost until then, while orders are carried out. */
  #deaf: Spell = { until: 0, share: 0 }
  #waiting: WaitingPoll[] = []
  #wakeAt = Infinity

  constructor (timeline: Timeline, random: SeededRandom, traits: TargetTraits, post: (event: AgentEvent) => void) {
    this.#timeline = timeline
    this.#random = random
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
    this.#waiting = []
    if (milliseconds === Infinity) return
    this.#timeline.after(milliseconds, () => {
      this.#up = true
      this.#leaving = false
      this.#goneAt = Infinity
      this.#worker = this.#newLife(keepsName)
      this.#heartbeat(this.#lives)
    })
  }

  carryOutLate (milliseconds: number, share: number): void {
    this.#late = { until: this.#timeline.now + milliseconds, share }
  }

  loseAnswers (milliseconds: number, share = 1): void {
    this.#deaf = { until: this.#timeline.now + milliseconds, share }
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
   */
  leave (milliseconds: number, { states = false, back = Infinity } = {}): void {
    if (!this.#up || this.#leaving) return
    const life = this.#lives
    this.#leaving = true
    if (states) this.#goneAt = this.#timeline.now + milliseconds
    this.check.noteLeaving(this.#timeline.now)
    this.announce()
    this.#timeline.after(milliseconds, () => {
      if (!this.#up || life !== this.#lives) return
      this.check.noteEnd(this.running().map(({ startedAt }) => this.#clockSince + startedAt / this.#traits.clockRate))
      this.#post({ type: 'targetLeft', instance: this.#instance })
      this.crash(back)
    })
  }

  /** From now on it has this part of its capacity; its next heartbeat says so. What runs goes on. */
  setSize (part: number): void {
    this.#part = part
    this.#worker.setCapacity(this.#capacity.cpu)
    this.check.noteCapacity(this.#capacity.cpu, this.#timeline.now)
  }

  announce (): void {
    if (this.#up) this.#post(this.announcement())
  }

  /** The next heartbeat. */
  announcement (): AgentEvent {
    const { service, dataCentre, labels } = this.#traits
    this.#sequence += 1
    const remaining = this.#goneAt === Infinity ? {} : { remaining: Math.max(0, this.#goneAt - this.#timeline.now) }
    return { type: 'targetSeen', facts: { instance: this.#instance, service, dataCentre, capacity: this.#capacity, labels, leaving: this.#leaving, ...remaining }, sequence: this.#sequence, clock: this.#clock }
  }

  start (order: EffectOf<'start'>): void {
    const { instance, task, run, token, deadline, timeout } = order
    const reply = (answer: StartAnswer): void => this.#post({ type: 'startAnswered', instance, task, run, answer })
    this.#call(order, timeout, reply, {
      silent: StartAnswer.Silent,
      refused: StartAnswer.NoListener,
      otherInstance: StartAnswer.OtherInstance,
      carryOut: () => this.#start({ task, run, token, deadline })
    })
  }

  stop (order: EffectOf<'stop'>): void {
    const { instance, task, run, token, timeout } = order
    const reply = (answered: boolean): void => this.#post({ type: 'stopAnswered', instance, task, run, answered })
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
    const answers: CallAnswers<AgentEvent> = {
      silent: failed(PollFailure.Silent),
      refused: failed(PollFailure.NoListener),
      otherInstance: failed(PollFailure.OtherInstance),
      carryOut: () => {
        const meant = instance === this.#instance
        const { fenced, running, ended } = this.#worker.poll(token, deadline, acknowledged, this.#clock)
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
    let settled = false
    const settle = (answer: Answer): void => {
      if (settled) return
      settled = true
      reply(answer)
    }
    this.#timeline.after(timeout, () => settle(answers.silent))
    const life = this.#lives
    const late = this.#timeline.now < this.#late.until && this.#random.next() < this.#late.share
    const lost = late || this.#isDeaf()
    const travel = late ? LATE_LEAST + this.#random.next() * LATE_SPREAD : this.#travel()
    const answerBack = (): void => {
      const answer = this.#answer(order.instance, answers)
      this.#wakeIfDue()
      if (answer !== undefined && !lost) this.#timeline.after(this.#travel(), () => settle(answer))
    }
    this.#timeline.after(travel, () => {
      // What waits inside a worker ends with it.
      if (late && life !== this.#lives) return
      if (hold === undefined) return answerBack()
      this.#hold(order.instance, hold, answers, answerBack)
    })
  }

  /** The order of a poll takes effect as it arrives; its answer waits for an end. */
  #hold<Answer> (instance: string, { acknowledged, wait }: { acknowledged: number, wait: number }, answers: CallAnswers<Answer>, answerBack: () => void): void {
    this.#answer(instance, answers)
    if (!this.#up || !this.#isCalled(instance) || this.#worker.hasEnds(acknowledged)) return answerBack()
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
    const ready = this.#waiting.filter(({ acknowledged }) => this.#worker.hasEnds(acknowledged))
    if (ready.length === 0) return
    this.#waiting = this.#waiting.filter(poll => !ready.includes(poll))
    for (const { answer } of ready) answer()
  }

  #isDeaf (): boolean {
    if (this.#timeline.now >= this.#deaf.until) return false
    return this.#deaf.share === 1 || this.#random.next() < this.#deaf.share
  }

  #travel (): number {
    return FASTEST_CALL + this.#random.next() * CALL_SPREAD
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
