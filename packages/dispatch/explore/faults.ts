/** Faults at random times, and the search over seeds. */
import type { Guards, Violation } from './world.ts'
import { ALL_GUARDS, guardsWithout, World } from './world.ts'

const SIZES = { entries: 3, agents: 4 }

/** Length of one run of the world, in milliseconds: faults for most of it, then a quiet end. */
const LENGTH = 15_000
const FAULTS_END = 12_000
const MEAN_PAUSE = 500

type Fault = (world: World) => void

/** The kinds of faults, each as likely as the others; some strike what belongs together. */
const FAULTS: Readonly<Record<string, Fault>> = {
  killEntry: world => world.restartEntry(anyEntry(world), 200 + world.random.next() * 2000),
  killAgent: world => world.restartAgent(anyAgent(world), 200 + world.random.next() * 2000),
  bounceAgent: world => world.restartAgent(anyAgent(world), 30, 60),
  freezeEntry: world => world.entries[anyEntry(world)]?.freeze(300 + world.random.next() * 4000),
  freezeAgent: world => world.agents[anyAgent(world)]?.freeze(300 + world.random.next() * 4000),
  crashWorker: world => world.workers[anyAgent(world)]?.crash(100 + world.random.next() * 3000),
  lateOrders: world => world.workers[anyAgent(world)]?.carryOutLate(2000, 0.5),
  loseAnswers: world => world.workers[anyAgent(world)]?.loseAnswers(200 + world.random.next() * 2500),
  cutOne: world => world.cut(anyEntry(world), anyAgent(world), 300 + world.random.next() * 4000),
  cutEntry: world => {
    const entry = anyEntry(world)
    const length = 300 + world.random.next() * 4000
    world.agents.forEach((_agent, agent) => world.cut(entry, agent, length))
  },
  resetOne: world => world.resetConnection(anyEntry(world), anyAgent(world)),
  killEntryAndFreezeAgent: world => {
    world.restartEntry(anyEntry(world), 2500)
    world.agents[anyAgent(world)]?.freeze(3000)
  },
  restartAgentAfterCut: world => {
    const agent = anyAgent(world)
    world.entries.forEach((_entry, entry) => world.cut(entry, agent, 2000))
    world.timeline.after(100, () => world.restartAgent(agent, 150))
  }
}

function anyEntry (world: World): number {
  return world.random.integer(0, SIZES.entries - 1)
}

function anyAgent (world: World): number {
  return world.random.integer(0, SIZES.agents - 1)
}

export interface RunResult {
  violation: Violation | undefined
  answers: ReadonlyMap<string, number>
}

/** Plays one seed. */
export function runSeed (seed: number, guards: Guards = ALL_GUARDS, trace?: (line: string) => void): RunResult {
  const world = new World(seed, guards, SIZES, trace)
  world.submitUntil(FAULTS_END)
  strike(world, trace)
  world.timeline.runUntil(LENGTH)
  return { violation: world.violation, answers: world.answers }
}

function strike (world: World, trace: ((line: string) => void) | undefined): void {
  if (world.timeline.now > FAULTS_END || world.violation !== undefined) return
  world.timeline.after(world.random.next() * MEAN_PAUSE * 2, () => {
    const name = world.random.pick(Object.keys(FAULTS))
    trace?.(`${world.timeline.now.toFixed(1)} fault ${name}`)
    FAULTS[name]?.(world)
    strike(world, trace)
  })
}

/** First seed from `first` on, within `runs`, that breaks the promise. */
export function search (first: number, runs: number, broken?: string): { seed: number, violation: Violation } | undefined {
  const guards = broken === undefined ? ALL_GUARDS : guardsWithout(broken)
  for (let seed = first; seed < first + runs; seed += 1) {
    const { violation } = runSeed(seed, guards)
    if (violation !== undefined) return { seed, violation }
  }
  return undefined
}
