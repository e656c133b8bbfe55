/** Test harness: an entry with agents, driven by events under a simulated clock. */
import type { Answer, EntryEffect, EntryEvent, EntryOptions } from '../src/entrytypes.ts'
import type { JobRequest, Step } from '../src/job.ts'
import type { TaskReference } from '../src/messages.ts'
import type { Policy } from '../src/policy.ts'
import type { Queue } from '../src/queues.ts'
import type { PeerMessage } from '../src/peermessages.ts'
import { Entry } from '../src/entry.ts'
import { Cause, Outcome } from '../src/messages.ts'
import { TIMINGS } from './agentbench.ts'

export const QUEUE: Queue = { name: 'checks', host: 'h', prefix: '/checks/', service: 'checks', priority: 0, attempts: 3, slackFactor: 1.6, latency: 60, timeout: 0 }
export const NO_LOAD = { others: { cpu: 0, memory: 0, accelerators: 0 }, pace: 0 }

export function step (count: number, extra: Partial<Step> = {}): Step {
  return { count, needs: { cpu: 2000, memory: 10, accelerators: 0 }, estimated: 300, after: [], label: '', rack: '', perTarget: 0, ...extra }
}

/** What an agent announces on a new link. */
interface Announcement {
  cpu?: number
  held?: TaskReference[]
  labels?: string[]
  dataCentre?: string
  target?: boolean
}

export class EntryBench {
  now = 1000
  /** Writes to the store are not confirmed. */
  storeAway = false
  readonly entry: Entry
  #effects: EntryEffect[] = []
  #request = 0

  constructor (options: Partial<EntryOptions> = {}) {
    this.entry = new Entry({ name: 'self', dataCentre: 'one', timings: TIMINGS, grace: 6000, ...options })
  }

  static withAgents (...names: string[]): EntryBench {
    return new EntryBench().serving(...names)
  }

  static withPolicy (policy: Partial<Policy>, ...names: string[]): EntryBench {
    return new EntryBench({ policy }).serving(...names)
  }

  /** Gives the entry what it reads from the store and linked agents, and discards the effects. */
  serving (...names: string[]): this {
    this.configure()
    for (const name of names) this.link(name)
    this.take()
    return this
  }

  /** Gives the entry what it reads from the store: no cancellations, unless that is left out, and a configuration. */
  configure (readsCancellations = true): void {
    if (readsCancellations) this.do({ type: 'cancellationsRead', jobs: [] })
    this.do({ type: 'configured', configuration: { version: 1, queues: [QUEUE], limits: { header: 0, body: 0, headerTimeout: 0, idleTimeout: 0 } } })
  }

  /** Processes an event, and confirms what is to be stored unless the store is away. */
  do (event: EntryEvent): void {
    const effects = this.entry.handle(event, this.now)
    this.#effects.push(...effects)
    if (!this.storeAway && effects.some(({ type }) => type === 'storeCancellations')) this.do({ type: 'cancellationsStored' })
  }

  advance (milliseconds: number, alive: string[] = []): void {
    const end = this.now + milliseconds
    while (this.now < end) {
      this.now = Math.min(end, this.now + 50)
      for (const agent of alive) this.ping(agent)
      this.do({ type: 'tick' })
    }
  }

  link (agent: string, options: Announcement & { incarnation?: string } = {}): void {
    this.do({ type: 'agentLinked', agent, incarnation: options.incarnation ?? 'a' })
    this.ping(agent)
    this.announce(agent, options)
  }

  announce (agent: string, options: Announcement = {}): void {
    const { cpu = 8000, held = [], labels = [], dataCentre = 'one', target = true } = options
    const facts = { instance: `${agent}-target`, service: 'checks', dataCentre, capacity: { cpu, memory: 1000, accelerators: 0 }, labels, leaving: false }
    this.do({ type: 'agentMessage', agent, message: { type: 'announce', target: target ? facts : undefined, held, load: NO_LOAD } })
  }

  ping (agent: string, cpu = 0, pace = 0): void {
    this.do({ type: 'agentMessage', agent, message: { type: 'ping', sent: this.now, load: { others: { cpu, memory: 0, accelerators: 0 }, pace } } })
  }

  submit (id: string, steps: Step[] = [step(1)], extra: Partial<JobRequest> = {}): number {
    this.#request += 1
    this.do({ type: 'submitted', request: this.#request, job: { id, queue: QUEUE, payload: 'payload', steps, remaining: 4000, ...extra } })
    return this.#request
  }

  end (agent: string, task: string, outcome = Outcome.Done, cause = Cause.None, attempt = 1, ran = 300): void {
    this.#numbers.set(agent, (this.#numbers.get(agent) ?? 0) + 1)
    const ends = [{ task, attempt, outcome, cause, ran }]
    this.do({ type: 'agentMessage', agent, message: { type: 'ends', first: this.#numbers.get(agent) as number, ends, sent: this.now, load: NO_LOAD } })
  }

  readonly #numbers = new Map<string, number>()

  take (): EntryEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  /** Links another entry that is able to allocate capacity. */
  peer (name: string, strength = 0, dataCentre = 'one'): void {
    this.do({ type: 'peerLinked', peer: name })
    this.receive(name, { type: 'member', dataCentre, able: true, strength })
  }

  receive (peer: string, message: PeerMessage): void {
    this.do({ type: 'peerMessage', peer, message })
  }

  /** Messages sent to another entry. */
  told (peer: string): PeerMessage[] {
    return this.#effects.flatMap(effect => effect.type === 'tell' && effect.peer === peer ? [effect.message] : [])
  }

  /** Starts that were sent, each as agent, task and attempt. */
  starts (): string[] {
    return this.#effects.flatMap(effect => effect.type === 'send' && effect.message.type === 'start'
      ? effect.message.tasks.map(({ task, attempt }) => `${effect.agent} ${task} ${attempt}`)
      : [])
  }

  stops (): string[] {
    return this.#effects.flatMap(effect => effect.type === 'send' && effect.message.type === 'stop'
      ? effect.message.tasks.map(({ task }) => `${effect.agent} ${task}`)
      : [])
  }

  answers (): Array<[number, string]> {
    return this.#effects.flatMap((effect): Array<[number, string]> => effect.type === 'answer' ? [[effect.request, textOf(effect.answer)]] : [])
  }

  unlinks (): string[] {
    return this.#effects.flatMap(effect => effect.type === 'unlink' ? [effect.agent] : [])
  }
}

function textOf ({ kind, reason }: Answer): string {
  return reason === '' ? kind : `${kind} ${reason}`
}
