/** Faults at random times, and the search over seeds. */
import type { AgentProcess, EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Violation } from './world.ts'
import { ALL_GUARDS, guardsWithout, World } from './world.ts'

const SIZES = { entries: 3, agents: 4 }

/** What a run of the world is about. Each has its own faults, so that a seed keeps its meaning when the other gets more. */
export enum Theme {
  /** Processes, workers and links. */
  Processes = 'processes',
  /** The same, workers that start again under their names, and evacuations. */
  Operators = 'operators',
  /** Cancellations in waves, late orders, lost links, workers that crash, and starters that are removed; tasks outlast the bounds. */
  Cancels = 'cancels',
  /** The same as the first, targets that shrink, grow and leave, and that do not guard themselves. */
  Capacity = 'capacity',
  /** Processes, workers and links while entries give out room in partitions, and entries that give out the same targets. */
  Partitions = 'partitions',
  /** Processes that are late, targets that refuse connections, stop nothing, answer slowly or outlive their end, and callers that leave early. */
  Lateness = 'lateness'
}

/** Length of one run of the world, in milliseconds: faults for most of it, then a quiet end. */
const LENGTH = 15_000

/** The same where tasks are long: what was cancelled last must have had time to outlast the bound. */
const LONG_LENGTH = 20_000
const FAULTS_END = 12_000
const MEAN_PAUSE = 500

/** Callers that leave early do so within this time, in milliseconds. */
const LEAVING_SPREAD = 800

type Fault = (world: World) => void

/** The kinds of faults, each as likely as the others; some strike what belongs together. */
const FAULTS: Readonly<Record<string, Fault>> = {
  killEntry: world => world.restartEntry(anyEntry(world), 200 + world.random.next() * 2000),
  killAgent: world => world.restartAgent(anyAgent(world), 200 + world.random.next() * 2000),
  bounceAgent: world => world.restartAgent(anyAgent(world), 30, 60),
  freezeEntry: world => world.entries[anyEntry(world)]?.freeze(300 + world.random.next() * 4000),
  freezeAgent: world => world.freezeAgent(anyAgent(world), 300 + world.random.next() * 4000),
  crashWorker: world => world.workers[anyAgent(world)]?.crash(100 + world.random.next() * 3000),
  lateOrders: world => world.workers[anyAgent(world)]?.executeLate(2000, 0.5),
  loseAnswers: world => world.workers[anyAgent(world)]?.loseAnswers(200 + world.random.next() * 2500),
  cutOne: world => world.cut(anyEntry(world), anyAgent(world), 300 + world.random.next() * 4000),
  cutEntry: world => {
    const entry = anyEntry(world)
    const length = 300 + world.random.next() * 4000
    world.agents.forEach((_agent, agent) => world.cut(entry, agent, length))
  },
  cutPeers: world => world.cutPeers(anyEntry(world), 300 + world.random.next() * 4000),
  resetOne: world => world.resetConnection(anyEntry(world), anyAgent(world)),
  killEntryAndFreezeAgent: world => {
    world.restartEntry(anyEntry(world), 2500)
    world.freezeAgent(anyAgent(world), 3000)
  },
  restartAgentAfterCut: world => {
    const agent = anyAgent(world)
    world.entries.forEach((_entry, entry) => world.cut(entry, agent, 2000))
    world.timeline.after(100, () => world.restartAgent(agent, 150))
  }
}

const OPERATOR_FAULTS: Readonly<Record<string, Fault>> = {
  ...FAULTS,
  reviveWorker: world => world.workers[anyAgent(world)]?.crash(1 + world.random.next() * 400, true),
  reviveTwice: world => {
    const worker = world.workers[anyAgent(world)]
    worker?.crash(20, true)
    world.timeline.after(70, () => worker?.crash(10, true))
  },
  // With its answers lost a run that nobody waits for goes on in the next life for a while.
  reviveUnheard: world => {
    const worker = world.workers[anyAgent(world)]
    worker?.loseAnswers(300 + world.random.next() * 300)
    worker?.crash(1 + world.random.next() * 40, true)
  },
  lateHeartbeat: world => world.lateHeartbeat(anyAgent(world), 1500 + world.random.next() * 3000),
  evacuate: world => world.operators.evacuate(world.dataCentreOf(anyAgent(world)), 1000 + world.random.next() * 8000),
  evacuateAll: world => {
    const length = 1000 + world.random.next() * 8000
    for (const agent of world.agents.keys()) world.operators.evacuate(world.dataCentreOf(agent), length)
  },
  cutStore: world => world.operators.cut(world.random.pick([...world.entries, ...world.agents]), 1000 + world.random.next() * 8000),
  cutStoreOfEntries: world => {
    const length = 1000 + world.random.next() * 9000
    for (const entry of world.entries) world.operators.cut(entry, length)
  }
}

const CANCEL_FAULTS: Readonly<Record<string, Fault>> = {
  cancelWave: world => world.cancels.wave(),
  lateOrders: world => world.workers[anyAgent(world)]?.executeLate(2000, 0.5),
  loseAnswers: world => world.workers[anyAgent(world)]?.loseAnswers(200 + world.random.next() * 1000),
  removeEntry: world => world.removeEntry(anyEntry(world), 6000),
  removeAgent: world => world.restartAgent(anyAgent(world), 6000),
  bounceAgent: world => world.restartAgent(anyAgent(world), 30, 60),
  bounceEntry: world => world.removeEntry(anyEntry(world), 300),
  resetOne: world => world.resetConnection(anyEntry(world), anyAgent(world)),
  crashWorker: world => world.workers[anyAgent(world)]?.crash(100 + world.random.next() * 3000, world.random.next() < 0.5, world.random.next() < 0.5),
  // Stops that were sent just before are lost with their links.
  cancelWaveAndResets: world => {
    world.cancels.wave()
    world.loseLinks()
  },
  cancelWaveAndRemovedEntry: world => {
    world.cancels.wave()
    world.removeEntry(anyEntry(world), 6000)
  }
}

const CAPACITY_FAULTS: Readonly<Record<string, Fault>> = {
  ...FAULTS,
  shrink: world => resize(world, anyAgent(world), 200 + world.random.next() * 9000),
  shrinkAll: world => {
    for (const agent of world.agents.keys()) resize(world, agent, 200 + world.random.next() * 9000)
  },
  shrinkAndRestart: world => {
    const agent = anyAgent(world)
    resize(world, agent, 6000)
    world.restartAgent(agent, 30 + world.random.next() * 1500)
  },
  notice: world => world.workers[anyAgent(world)]?.leave(500 + world.random.next() * 4000, { announcesEnd: true, restartsAfter: 300 + world.random.next() * 1000 }),
  noticeAndRestart: world => {
    const agent = anyAgent(world)
    world.workers[agent]?.leave(2000 + world.random.next() * 3000, { announcesEnd: true, restartsAfter: 300 })
    world.timeline.after(200, () => world.restartAgent(agent, 100, 300))
  }
}

/** The target has a part of its capacity for a while. */
function resize (world: World, agent: number, milliseconds: number): void {
  world.workers[agent]?.setCapacityFraction(0.2 + world.random.next() * 0.6)
  world.timeline.after(milliseconds, () => world.workers[agent]?.setCapacityFraction(1))
}

const PARTITION_FAULTS: Readonly<Record<string, Fault>> = {
  ...FAULTS,
  claimAll: world => world.claimAll(anyEntry(world)),
  claimAllEach: world => { for (const entry of world.entries.keys()) world.claimAll(entry) }
}

const LATENESS_FAULTS: Readonly<Record<string, Fault>> = {
  ...FAULTS,
  refuse: world => world.workers[anyAgent(world)]?.refuse(refusal(world)),
  refuseEach: world => { for (const worker of world.workers) if (world.random.next() < 0.5) worker.refuse(refusal(world)) },
  // The machine of a target that has crashed refuses calls too.
  crashRefusing: world => world.workers[anyAgent(world)]?.crash(100 + world.random.next() * 3000, world.random.next() < 0.5, true),
  refuseAndCrash: world => {
    const worker = world.workers[anyAgent(world)]
    worker?.refuse(refusal(world))
    world.timeline.after(world.random.next() * 400, () => worker?.crash(1 + world.random.next() * 400, true, true))
  },
  lateAgent: world => world.delay(anyAgentOf(world), spell(world)),
  lateEntry: world => world.delay(anyEntryOf(world), spell(world)),
  lateAgents: world => { for (const agent of world.agents) world.delay(agent, spell(world)) },
  lateEntries: world => { for (const entry of world.entries) world.delay(entry, spell(world)) },
  lateAll: world => { for (const process of [...world.agents, ...world.entries]) world.delay(process, spell(world)) },
  loseStops: world => world.workers[anyAgent(world)]?.loseStops(spell(world)),
  answerSlowly: world => world.workers[anyAgent(world)]?.answerSlowly(spell(world)),
  callersLeave: world => world.callers.leave(anyEntry(world), LEAVING_SPREAD),
  callersLeaveLateEntry: world => {
    const entry = anyEntry(world)
    world.delay(world.entries[entry] as EntryProcess, spell(world))
    world.callers.leave(entry, LEAVING_SPREAD)
  },
  callersLeaveLateAgents: world => {
    for (const agent of world.agents) world.delay(agent, spell(world))
    world.callers.leave(anyEntry(world), LEAVING_SPREAD)
  },
  callersLeaveUnstopped: world => {
    const entry = anyEntry(world)
    unstoppable(world)
    world.delay(world.entries[entry] as EntryProcess, spell(world))
    world.callers.leave(entry, LEAVING_SPREAD)
  },
  killEntryUnstopped: world => {
    const entry = anyEntry(world)
    unstoppable(world)
    world.timeline.after(world.random.next() * LEAVING_SPREAD, () => world.restartEntry(entry, 200 + world.random.next() * 2000))
  },
  deregister: world => deregister(world, false),
  // Its listener is closed first.
  deregisterAndRefuse: world => deregister(world, true)
}

/** Faults that are played by name only. */
const RARE_FAULTS: Readonly<Record<string, Fault>> = {
  // Orders and renewals of a late agent reach the next life of its target, which has the same name and is not stopped; nobody waits for its tasks.
  nextLifeUnstopped: world => {
    const index = anyAgent(world)
    const worker = world.workers[index]
    world.delay(world.agents[index] as AgentProcess, 200 + world.random.next() * 600)
    world.timeline.after(world.random.next() * 300, () => worker?.crash(1 + world.random.next() * 20, true, true))
    world.timeline.after(350, () => worker?.loseStops(3000))
    const entry = anyEntry(world)
    world.timeline.after(world.random.next() * 300, () => world.restartEntry(entry, 200 + world.random.next() * 2000))
  }
}

/** A target deregisters after a notice, and ends a little later. */
function deregister (world: World, refuses: boolean): void {
  world.workers[anyAgent(world)]?.leave(world.random.next() * 1000, { restartsAfter: 300 + world.random.next() * 1000, lingers: 1 + world.random.next() * 199, refuses })
}

/** Some agents are late, and their orders to stop lost. */
function unstoppable (world: World): void {
  for (const [index, agent] of world.agents.entries()) {
    if (world.random.next() < 0.5) continue
    world.workers[index]?.loseStops(spell(world))
    world.delay(agent, spell(world))
  }
}

/** How long a target refuses connections, in milliseconds. */
function refusal (world: World): number {
  return 30 + world.random.next() ** 2 * 1970
}

/** How long processes are late, stops are lost or answers slow, in milliseconds. */
function spell (world: World): number {
  return 300 + world.random.next() * 2700
}

const FAULTS_OF: Readonly<Record<Theme, Readonly<Record<string, Fault>>>> = {
  [Theme.Processes]: FAULTS,
  [Theme.Operators]: OPERATOR_FAULTS,
  [Theme.Cancels]: CANCEL_FAULTS,
  [Theme.Capacity]: CAPACITY_FAULTS,
  [Theme.Partitions]: PARTITION_FAULTS,
  [Theme.Lateness]: LATENESS_FAULTS
}

/** For a guard that is switched off: the faults that it is for, made likelier. */
const FOCUS: Readonly<Record<string, readonly string[]>> = {
  clearing: ['bounceAgent'],
  echoAge: ['cutEntry', 'cutOne', 'freezeEntry'],
  nextLife: ['reviveUnheard', 'reviveTwice'],
  lifeProof: ['lateHeartbeat'],
  evacuation: ['evacuate', 'cutStore'],
  evacuationReads: ['evacuate', 'cutStoreOfEntries'],
  heldStarts: ['cutOne', 'cutEntry', 'resetOne', 'freezeAgent'],
  stopAgain: ['cancelWaveAndResets'],
  cancelMemory: ['cancelWave', 'cancelWaveAndRemovedEntry'],
  cancelNews: ['cancelWave'],
  capacityNews: ['shrink', 'shrinkAll'],
  drain: ['notice'],
  grantedOnce: ['claimAll', 'claimAllEach', 'cutPeers'],
  refusals: ['refuse', 'refuseEach', 'deregister', 'deregisterAndRefuse'],
  boundedLease: ['callersLeaveUnstopped', 'killEntryUnstopped']
}

/** How often one of the faults in focus is taken. */
const FOCUS_SHARE = 0.6

/** Themes in which workers start again under their names. */
const KEEP_NAMES: ReadonlySet<Theme> = new Set([Theme.Operators, Theme.Cancels, Theme.Lateness])

function anyEntry (world: World): number {
  return world.random.integer(0, SIZES.entries - 1)
}

function anyAgent (world: World): number {
  return world.random.integer(0, SIZES.agents - 1)
}

function anyEntryOf (world: World): EntryProcess {
  return world.entries[anyEntry(world)] as EntryProcess
}

function anyAgentOf (world: World): AgentProcess {
  return world.agents[anyAgent(world)] as AgentProcess
}

export interface RunResult {
  violation: Violation | undefined
  answers: ReadonlyMap<string, number>
}

/** How a seed is played. */
export interface RunOptions {
  /** Guard to switch off. */
  broken?: string | undefined
  /** The only kind of fault; all kinds of the theme by default. */
  only?: string | undefined
  trace?: (line: string) => void
}

/** Plays one seed. */
export function runSeed (seed: number, theme: Theme, { broken, only, trace }: RunOptions = {}): RunResult {
  const guards = broken === undefined ? ALL_GUARDS : guardsWithout(broken)
  const world = new World(seed, guards, {
    ...SIZES,
    dataCentres: theme === Theme.Operators ? 2 : 1,
    longTasks: theme === Theme.Cancels,
    isolatesSuspects: theme === Theme.Cancels && seed % 2 === 1,
    changing: theme === Theme.Capacity,
    partitions: theme === Theme.Partitions,
    late: theme === Theme.Lateness,
    keepNames: KEEP_NAMES.has(theme)
  }, trace)
  world.callers.submitUntil(FAULTS_END)
  strike(world, faultsOf(theme, only), FOCUS[broken ?? ''] ?? [], trace)
  world.timeline.runUntil(theme === Theme.Cancels ? LONG_LENGTH : LENGTH)
  return { violation: world.violation, answers: world.callers.answers }
}

function faultsOf (theme: Theme, only: string | undefined): Readonly<Record<string, Fault>> {
  const faults = FAULTS_OF[theme]
  return only === undefined ? faults : Object.fromEntries(Object.entries({ ...faults, ...RARE_FAULTS }).filter(([name]) => name === only))
}

function strike (world: World, faults: Readonly<Record<string, Fault>>, focus: readonly string[], trace: ((line: string) => void) | undefined): void {
  if (world.timeline.now > FAULTS_END || world.violation !== undefined) return
  world.timeline.after(world.random.next() * MEAN_PAUSE * 2, () => {
    const focused = focus.length > 0 && world.random.next() < FOCUS_SHARE
    const name = world.random.pick(focused ? focus : Object.keys(faults))
    trace?.(`${world.timeline.now.toFixed(1)} fault ${name}`)
    faults[name]?.(world)
    strike(world, faults, focus, trace)
  })
}

/** A seed that breaks a promise. */
export interface Finding {
  seed: number
  violation: Violation
}

/** First seed from `first` on, within `runs`, that breaks the promise. */
export function search (first: number, runs: number, theme: Theme, options: RunOptions = {}): Finding | undefined {
  return findings(first, runs, theme, options).next().value ?? undefined
}

/** Every seed from `first` on, within `runs`, that breaks the promise. */
export function * findings (first: number, runs: number, theme: Theme, options: RunOptions = {}): Generator<Finding, undefined> {
  for (let seed = first; seed < first + runs; seed += 1) {
    const { violation } = runSeed(seed, theme, options)
    if (violation !== undefined) yield { seed, violation }
  }
}

/** Names of the kinds of faults that a theme may be played with alone. */
export function faultNames (theme: Theme): string[] {
  return Object.keys({ ...FAULTS_OF[theme], ...RARE_FAULTS })
}
