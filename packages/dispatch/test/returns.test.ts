/** Returns of refused callers: when they are asked to return, and whether they are admitted then. */
import { test } from 'node:test'
import { expect } from 'earl'
import { MAX_RETURNS_PER_REPORT } from '../src/admissiondefaults.ts'
import { Arrival, Returns } from '../src/returns.ts'
import { EntryBench, step } from './entrybench.ts'

const AGENTS = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']
const RUN = 300
const STEP = 10
const NEWCOMER_WINDOW = 100

interface Caller {
  id: string
  at: number
  refusals: number
}

/**
 * Simulates callers of one entry with six targets of 8 cores, which can serve 80 of their jobs a second. All return
 * when they are asked to.
 */
class Simulation {
  readonly bench = new EntryBench({ policy: { fleetAdmission: true, reservesReturns: true } })
  agents: string[] = []
  /** Number of callers that returned, by second. */
  readonly returned = new Map<number, number>()
  /** Whether a first arrival was admitted just after a caller was refused for the third time. */
  newcomerFirst = false
  served = 0
  #number = 0
  #arrivals: Caller[] = []
  readonly #waiting = new Map<number, Caller>()
  #running: Array<{ agent: string, task: string, ends: number }> = []
  #thriceRefusedAt = Number.NEGATIVE_INFINITY

  start (agents: string[]): this {
    this.agents = agents
    this.bench.serving(...agents)
    return this
  }

  /** Adds callers that arrive for the first time, spread over a period. */
  addCallers (count: number, from: number, lasts: number): this {
    for (let index = 0; index < count; index += 1) {
      this.#number += 1
      this.#arrivals.push({ id: `caller${this.#number}`, at: from + lasts * index / count, refusals: 0 })
    }
    return this
  }

  runUntil (end: number): this {
    while (this.bench.now < end) this.#step()
    return this
  }

  loseAgents (agents: string[]): this {
    for (const agent of agents) this.bench.do({ type: 'agentUnlinked', agent })
    this.agents = this.agents.filter(agent => !agents.includes(agent))
    this.#running = this.#running.filter(({ agent }) => !agents.includes(agent))
    return this
  }

  #step (): void {
    const { bench } = this
    bench.now += STEP
    for (const agent of this.agents) bench.ping(agent)
    bench.do({ type: 'tick' })
    for (const { agent, task } of this.#running.filter(({ ends }) => ends <= bench.now)) bench.end(agent, task)
    this.#running = this.#running.filter(({ ends }) => ends > bench.now)
    const due = this.#arrivals.filter(({ at }) => at <= bench.now)
    this.#arrivals = this.#arrivals.filter(({ at }) => at > bench.now)
    for (const caller of due) this.#submit(caller)
    this.#processEffects()
  }

  #submit (caller: Caller): void {
    const second = Math.floor(this.bench.now / 1000)
    if (caller.refusals > 0) this.returned.set(second, (this.returned.get(second) ?? 0) + 1)
    this.#waiting.set(this.bench.submit(caller.id, [step(1)], { remaining: 13_000 }), caller)
  }

  #processEffects (): void {
    for (const effect of this.bench.take()) {
      if (effect.type === 'send' && effect.message.type === 'start') for (const { task } of effect.message.tasks) this.#running.push({ agent: effect.agent, task, ends: this.bench.now + RUN })
      if (effect.type === 'note' && effect.what === 'job taken') this.#noteAdmitted(effect.fields.job as string)
      if (effect.type !== 'answer') continue
      const caller = this.#waiting.get(effect.request)
      this.#waiting.delete(effect.request)
      if (caller === undefined) continue
      if (effect.answer.kind === 'completed') this.served += 1
      if (effect.answer.kind === 'refused') this.#refused(caller, effect.answer.retryAfter)
    }
  }

  #noteAdmitted (id: string): void {
    const caller = [...this.#waiting.values()].find(waiting => waiting.id === id)
    if (caller?.refusals === 0 && this.bench.now - this.#thriceRefusedAt < NEWCOMER_WINDOW) this.newcomerFirst = true
  }

  #refused (caller: Caller, retryAfter: number): void {
    caller.refusals += 1
    if (caller.refusals >= 3) this.#thriceRefusedAt = this.bench.now
    this.#arrivals.push({ ...caller, at: this.bench.now + retryAfter })
  }
}

/** Returns in the busiest second. */
function busiestSecond ({ returned }: Simulation): number {
  return Math.max(0, ...returned.values())
}

test('after a burst of 300 callers the returns are spread over time', () => {
  const simulation = new Simulation().start(AGENTS).addCallers(320, 1000, 8000).addCallers(300, 3000, 500).runUntil(16_000)
  expect([busiestSecond(simulation) <= 80, simulation.newcomerFirst, simulation.served]).toEqual([true, false, 620])
})

test('after the loss of a third of the fleet the returns are spread over time', () => {
  const simulation = new Simulation().start(AGENTS).addCallers(700, 1000, 10_000).runUntil(3000).loseAgents(['a5', 'a6']).addCallers(300, 3000, 500).runUntil(20_000)
  expect([busiestSecond(simulation) <= 80, simulation.newcomerFirst]).toEqual([true, false])
})

test('callers that all arrive at once after a loss of power do not return at once', () => {
  const simulation = new Simulation().start([]).addCallers(300, 1000, 300).runUntil(1400)
  for (const agent of AGENTS) simulation.bench.link(agent)
  simulation.agents = AGENTS
  simulation.addCallers(320, 1500, 8000).runUntil(16_000)
  expect([busiestSecond(simulation) <= 80, simulation.newcomerFirst, simulation.served]).toEqual([true, false, 620])
})

test('a return is booked for a second with free capacity', () => {
  const returns = new Returns()
  const waits = Array.from({ length: 100 }, (_none, index) => returns.refused(`job${index}`, 'kind', 40, 1000))
  const bySecond = [1000, 2000, 3000, 4000].map(pause => waits.filter(value => value === pause).length)
  expect(bySecond).toEqual([10, 10, 10, 10])
})

test('a caller that returns on time has precedence once', () => {
  const returns = new Returns()
  expect(returns.arrival('job', 1000)).toEqual(Arrival.First)
  expect(returns.refused('job', 'kind', 40, 1000)).toEqual(1000)
  expect([returns.arrival('job', 1990), returns.arrival('job', 3000)]).toEqual([Arrival.OnTime, Arrival.OnTime])
  returns.noteAdmitted('job')
  expect(returns.arrival('job', 2000)).toEqual(Arrival.First)
})

test('a caller that returns early is given the same time again', () => {
  const returns = new Returns()
  for (let index = 0; index < 10; index += 1) returns.refused(`other${index}`, 'kind', 10, 1000)
  returns.refused('job', 'kind', 10, 1000)
  const due = 1000 + returns.refused('job', 'kind', 10, 1000)
  expect(returns.arrival('job', 1500)).toEqual(Arrival.Early)
  expect(1500 + returns.refused('job', 'kind', 10, 1500) - due < 1000).toEqual(true)
})

test('a caller that was refused twice has precedence without reserved capacity', () => {
  const returns = new Returns()
  for (let index = 0; index < 200; index += 1) returns.refused(`other${index}`, 'kind', 2, 1000)
  const first = returns.refused('job', 'kind', 2, 1000)
  expect(returns.arrival('job', 1000 + first)).toEqual(Arrival.First)
  for (let index = 0; index < 200; index += 1) returns.refused(`more${index}`, 'kind', 2, 1000 + first)
  const second = returns.refused('job', 'kind', 2, 1000 + first)
  expect(returns.arrival('job', 1000 + first + second)).toEqual(Arrival.OnTime)
})

test('a caller that returns through another entry has precedence there', () => {
  const [one, other] = [new Returns(), new Returns()]
  one.refused('job', 'kind', 40, 1000)
  other.receive(one.takeNews(1100), 5100)
  expect([other.arrival('job', 5200), other.arrival('job', 6000)]).toEqual([Arrival.Early, Arrival.OnTime])
})

// Without fleet admission, or without demand to report, the notices are never taken.
test('notices that are never taken are bounded to those of one message', () => {
  const returns = new Returns()
  for (let index = 0; index < 2 * MAX_RETURNS_PER_REPORT; index += 1) returns.refused(`job${index}`, 'kind', 100, 1000)
  expect(returns.newsSize).toEqual(MAX_RETURNS_PER_REPORT)
  expect(returns.takeNews(1000).at(-1)?.id).toEqual(`job${2 * MAX_RETURNS_PER_REPORT - 1}`)
})

// A malformed notice of a peer must neither give callers precedence nor keep them out.
test('a malformed notice of a return is ignored', () => {
  const returns = new Returns()
  returns.receive([{ id: 'a', within: -1, refusals: 1, booked: true }, { id: 'b', within: 1e12, refusals: 1, booked: true }, { id: 'c'.repeat(1000), within: 1, refusals: 1, booked: true }, undefined, 7], 1000)
  returns.receive('nothing', 1000)
  expect(['a', 'b', 'c'.repeat(1000)].map(id => returns.arrival(id, 1000))).toEqual([Arrival.First, Arrival.First, Arrival.First])
})
