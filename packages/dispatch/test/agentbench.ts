/** Test bench for an agent with a target and an entry. Tests send the events and control the clock. */
import type { AgentEffect, AgentEvent, EndedRun, PollFailure, RunningTask } from '../src/agenttypes.ts'
import type { AgentOptions } from '../src/agent.ts'
import type { AgentMessage, TargetFacts, TaskOrder } from '../src/messages.ts'
import { Agent } from '../src/agent.ts'
import { StartAnswer } from '../src/agenttypes.ts'
import { timingsFor } from '../src/timings.ts'

export const BOUNDS = { resubmission: 1300, longestLease: 1000, stop: 50 }
export const TIMINGS = timingsFor(BOUNDS)
export const ENTRY = 'entry-1#a'
export const TARGET = { instance: 'target-1', service: 'checks', dataCentre: 'one', capacity: { cpu: 8000, memory: 1000, accelerators: 0 }, labels: [], leaving: false }

/** Facts of a target whose incarnations have different ids, so that no call meant for one is carried out by another. */
export const NEW_ID_EACH_INCARNATION = { refusesOtherLives: true }

type EffectOf<Type extends AgentEffect['type']> = Extract<AgentEffect, { type: Type }>

export function order (task: string, attempt = 1, cpu = 2000): TaskOrder {
  return { task, attempt, needs: { cpu, memory: 10, accelerators: 0 }, expected: 300 }
}

export class AgentBench {
  now = 1000
  readonly agent: Agent
  #effects: AgentEffect[] = []
  #pollSent = 0
  #sequence = 0
  #facts: Partial<TargetFacts> = {}

  constructor (wall = 5_000_000, options: Partial<AgentOptions> = {}) {
    this.agent = new Agent({ timings: TIMINGS, stop: BOUNDS.stop, wallClock: () => wall, ...options })
  }

  /**
   * Creates an agent whose target is clear and whose entry is in contact.
   *
   * @param facts facts that all announcements of the target carry
   */
  static ready (options: Partial<AgentOptions> = {}, facts: Partial<TargetFacts> = {}): AgentBench {
    const bench = new AgentBench(undefined, options)
    bench.#facts = facts
    bench.seen()
    bench.polled()
    bench.link()
    bench.take()
    return bench
  }

  do (event: AgentEvent): AgentEffect[] {
    const effects = this.agent.handle(event, this.now)
    this.#effects.push(...effects)
    for (const effect of effects) if (effect.type === 'poll') this.#pollSent = effect.sent
    return effects
  }

  /** Advances the clock and sends the agent a tick every 50 ms. */
  advance (milliseconds: number): void {
    const end = this.now + milliseconds
    while (this.now < end) {
      this.now = Math.min(end, this.now + 50)
      this.do({ type: 'tick' })
    }
  }

  seen (facts: Partial<TargetFacts> = {}): void {
    this.#sequence += 1
    this.do({ type: 'targetSeen', facts: { ...TARGET, ...this.#facts, ...facts }, sequence: this.#sequence, clock: this.now })
  }

  /** Answers the last poll. */
  polled (running: RunningTask[] = [], ended: EndedRun[] = [], instance = TARGET.instance): void {
    this.do({ type: 'polled', instance, sent: this.#pollSent, clock: this.now, running, ended })
  }

  pollFailed (failure: PollFailure): void {
    this.do({ type: 'pollFailed', instance: TARGET.instance, sent: this.#pollSent, failure })
  }

  link (entry = ENTRY): void {
    this.do({ type: 'entryLinked', entry })
    this.do({ type: 'entryMessage', entry, message: { type: 'echo', sent: this.now, received: 0, waiting: false } })
  }

  echo (sent = this.now, entry = ENTRY): void {
    this.do({ type: 'entryMessage', entry, message: { type: 'echo', sent, received: 0, waiting: false } })
  }

  start (tasks: TaskOrder[], entry = ENTRY): void {
    this.do({ type: 'entryMessage', entry, message: { type: 'start', payload: 'payload', tasks } })
  }

  startAnswered (task: string, answer = StartAnswer.Started, run = 1): void {
    this.do({ type: 'startAnswered', instance: TARGET.instance, task, run, answer })
  }

  /** Starts a task and confirms the start. */
  run (task: string): void {
    this.start([order(task)])
    this.startAnswered(task)
  }

  /** Returns and clears the effects since the last call. */
  take (): AgentEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  effectsOfType<Type extends AgentEffect['type']> (type: Type): Array<EffectOf<Type>> {
    return this.#effects.filter((effect): effect is EffectOf<Type> => effect.type === type)
  }

  sent (type: AgentMessage['type']): AgentMessage[] {
    return this.effectsOfType('send').map(({ message }) => message).filter(message => message.type === type)
  }

  /** Ends sent to entries since the last `take`: task, outcome and cause. */
  ends (): string[] {
    return this.effectsOfType('send').flatMap(({ message }) => message.type === 'ends' ? message.ends : [])
      .map(({ task, outcome, cause }) => `${task} ${outcome}${cause === '' ? '' : ` ${cause}`}`)
  }
}
