/** Injects random faults into the simulated fleet and searches seeds for violations. */
import type { AgentProcess, EntryProcess } from '@amaranthmast/emulator/linkends'
import type { Violation } from './world.ts'
import { ALL_GUARDS, guardsWithout, World } from './world.ts'

const FLEET_SIZE = { entries: 3, agents: 4 }

/** Focus of a simulation. Each theme has its own faults, so that a seed keeps its fault sequence when another theme gets more faults. */
export enum Theme {
  /** Faults of processes, targets and links. */
  Processes = 'processes',
  /** The same, targets that restart under their names, and evacuations. */
  Operators = 'operators',
  /** Waves of cancellations, late orders, broken links, crashing targets, and removal of the processes that started the tasks; tasks may outlast the cancellation bound. */
  Cancels = 'cancels',
  /** The faults of `Processes`, and targets that shrink, grow and leave and do not reject starts beyond their capacity. */
  Capacity = 'capacity',
  /** The faults of `Processes` while entries grant capacity in partitions, and several entries that grant the capacity of the same targets. */
  Partitions = 'partitions',
  /** Delayed processes, targets that refuse connections, lose stops, answer slowly or run on after they deregistered, and callers that disconnect early. */
  Lateness = 'lateness',
  /** The faults of `Processes`, targets that fail all or some of what they start, and targets that crash shortly after each other. */
  Failures = 'failures',
  /** Waves of cancellations, the loss of all entries or all processes at once, also during recovery, outages of the store, entries that do not reach it, and submissions that arrive again seconds after their answer. */
  Losses = 'losses'
}

/** Duration of one simulation, in milliseconds: faults until `FAULTS_END`, then none. */
const RUN_LENGTH = 15_000

/** The same with long tasks: tasks of the last cancelled jobs need time to outlast the cancellation bound. */
const LONG_RUN_LENGTH = 20_000
const FAULTS_END = 12_000
const MEAN_FAULT_INTERVAL = 500

/** Longest time until a caller that leaves early disconnects, in milliseconds. */
const MAX_LEAVING_DELAY = 800

type Fault = (world: World) => void

/** Faults by name, all equally likely. Some combine faults of related processes. */
const BASE_FAULTS: Readonly<Record<string, Fault>> = {
  killEntry: world => world.restartEntry(randomEntryIndex(world), 200 + world.random.next() * 2000),
  killAgent: world => world.restartAgent(randomAgentIndex(world), 200 + world.random.next() * 2000),
  bounceAgent: world => world.restartAgent(randomAgentIndex(world), 30, 60),
  freezeEntry: world => world.entries[randomEntryIndex(world)]?.freeze(300 + world.random.next() * 4000),
  freezeAgent: world => world.freezeAgent(randomAgentIndex(world), 300 + world.random.next() * 4000),
  crashWorker: world => world.targets[randomAgentIndex(world)]?.crash(100 + world.random.next() * 3000),
  lateOrders: world => world.targets[randomAgentIndex(world)]?.executeLate(2000, 0.5),
  loseAnswers: world => world.targets[randomAgentIndex(world)]?.loseAnswers(200 + world.random.next() * 2500),
  cutOne: world => world.cut(randomEntryIndex(world), randomAgentIndex(world), 300 + world.random.next() * 4000),
  cutEntry: world => {
    const entry = randomEntryIndex(world)
    const length = 300 + world.random.next() * 4000
    world.agents.forEach((_agent, agent) => world.cut(entry, agent, length))
  },
  cutPeers: world => world.cutPeers(randomEntryIndex(world), 300 + world.random.next() * 4000),
  resetOne: world => world.resetConnection(randomEntryIndex(world), randomAgentIndex(world)),
  killEntryAndFreezeAgent: world => {
    world.restartEntry(randomEntryIndex(world), 2500)
    world.freezeAgent(randomAgentIndex(world), 3000)
  },
  restartAgentAfterCut: world => {
    const agent = randomAgentIndex(world)
    world.entries.forEach((_entry, entry) => world.cut(entry, agent, 2000))
    world.timeline.after(100, () => world.restartAgent(agent, 150))
  }
}

const OPERATOR_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  reviveWorker: world => world.targets[randomAgentIndex(world)]?.crash(1 + world.random.next() * 400, true),
  reviveTwice: world => {
    const target = world.targets[randomAgentIndex(world)]
    target?.crash(20, true)
    world.timeline.after(70, () => target?.crash(10, true))
  },
  // While answers are lost, an orphaned run continues in the new incarnation for a while.
  reviveUnheard: world => {
    const target = world.targets[randomAgentIndex(world)]
    target?.loseAnswers(300 + world.random.next() * 300)
    target?.crash(1 + world.random.next() * 40, true)
  },
  lateHeartbeat: world => world.lateHeartbeat(randomAgentIndex(world), 1500 + world.random.next() * 3000),
  evacuate: world => world.operators.evacuate(world.dataCentreOf(randomAgentIndex(world)), 1000 + world.random.next() * 8000),
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
  lateOrders: world => world.targets[randomAgentIndex(world)]?.executeLate(2000, 0.5),
  loseAnswers: world => world.targets[randomAgentIndex(world)]?.loseAnswers(200 + world.random.next() * 1000),
  removeEntry: world => world.removeEntry(randomEntryIndex(world), 6000),
  removeAgent: world => world.restartAgent(randomAgentIndex(world), 6000),
  bounceAgent: world => world.restartAgent(randomAgentIndex(world), 30, 60),
  bounceEntry: world => world.removeEntry(randomEntryIndex(world), 300),
  resetOne: world => world.resetConnection(randomEntryIndex(world), randomAgentIndex(world)),
  crashWorker: world => world.targets[randomAgentIndex(world)]?.crash(100 + world.random.next() * 3000, world.random.next() < 0.5, world.random.next() < 0.5),
  // Stops in flight are lost with their links.
  cancelWaveAndResets: world => {
    world.cancels.wave()
    world.breakAllLinks()
  },
  cancelWaveAndRemovedEntry: world => {
    world.cancels.wave()
    world.removeEntry(randomEntryIndex(world), 6000)
  }
}

const CAPACITY_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  shrink: world => shrinkCapacity(world, randomAgentIndex(world), 200 + world.random.next() * 9000),
  shrinkAll: world => {
    for (const agent of world.agents.keys()) shrinkCapacity(world, agent, 200 + world.random.next() * 9000)
  },
  shrinkAndRestart: world => {
    const agent = randomAgentIndex(world)
    shrinkCapacity(world, agent, 6000)
    world.restartAgent(agent, 30 + world.random.next() * 1500)
  },
  notice: world => world.targets[randomAgentIndex(world)]?.leave(500 + world.random.next() * 4000, { announcesEnd: true, restartsAfter: 300 + world.random.next() * 1000 }),
  noticeAndRestart: world => {
    const agent = randomAgentIndex(world)
    world.targets[agent]?.leave(2000 + world.random.next() * 3000, { announcesEnd: true, restartsAfter: 300 })
    world.timeline.after(200, () => world.restartAgent(agent, 100, 300))
  }
}

/** Reduces a target's capacity to a random fraction for a time. */
function shrinkCapacity (world: World, agent: number, milliseconds: number): void {
  world.targets[agent]?.setCapacityFraction(0.2 + world.random.next() * 0.6)
  world.timeline.after(milliseconds, () => world.targets[agent]?.setCapacityFraction(1))
}

const PARTITION_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  claimAll: world => world.claimAll(randomEntryIndex(world)),
  claimAllEach: world => { for (const entry of world.entries.keys()) world.claimAll(entry) }
}

const LATENESS_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  refuse: world => world.targets[randomAgentIndex(world)]?.refuse(randomRefusalDuration(world)),
  refuseEach: world => { for (const target of world.targets) if (world.random.next() < 0.5) target.refuse(randomRefusalDuration(world)) },
  // The target's machine stays up and refuses calls.
  crashRefusing: world => world.targets[randomAgentIndex(world)]?.crash(100 + world.random.next() * 3000, world.random.next() < 0.5, true),
  refuseAndCrash: world => {
    const target = world.targets[randomAgentIndex(world)]
    target?.refuse(randomRefusalDuration(world))
    world.timeline.after(world.random.next() * 400, () => target?.crash(1 + world.random.next() * 400, true, true))
  },
  lateAgent: world => world.delay(randomAgent(world), randomFaultDuration(world)),
  lateEntry: world => world.delay(randomEntry(world), randomFaultDuration(world)),
  lateAgents: world => { for (const agent of world.agents) world.delay(agent, randomFaultDuration(world)) },
  lateEntries: world => { for (const entry of world.entries) world.delay(entry, randomFaultDuration(world)) },
  lateAll: world => { for (const process of [...world.agents, ...world.entries]) world.delay(process, randomFaultDuration(world)) },
  loseStops: world => world.targets[randomAgentIndex(world)]?.loseStops(randomFaultDuration(world)),
  answerSlowly: world => world.targets[randomAgentIndex(world)]?.answerSlowly(randomFaultDuration(world)),
  callersLeave: world => world.callers.leave(randomEntryIndex(world), MAX_LEAVING_DELAY),
  callersLeaveLateEntry: world => {
    const entry = randomEntryIndex(world)
    world.delay(world.entries[entry] as EntryProcess, randomFaultDuration(world))
    world.callers.leave(entry, MAX_LEAVING_DELAY)
  },
  callersLeaveLateAgents: world => {
    for (const agent of world.agents) world.delay(agent, randomFaultDuration(world))
    world.callers.leave(randomEntryIndex(world), MAX_LEAVING_DELAY)
  },
  callersLeaveUnstopped: world => {
    const entry = randomEntryIndex(world)
    delayAgentsWithoutStops(world)
    world.delay(world.entries[entry] as EntryProcess, randomFaultDuration(world))
    world.callers.leave(entry, MAX_LEAVING_DELAY)
  },
  killEntryUnstopped: world => {
    const entry = randomEntryIndex(world)
    delayAgentsWithoutStops(world)
    world.timeline.after(world.random.next() * MAX_LEAVING_DELAY, () => world.restartEntry(entry, 200 + world.random.next() * 2000))
  },
  deregister: world => deregister(world, false),
  // The target closes its listener before it ends.
  deregisterAndRefuse: world => deregister(world, true)
}

const FAILURE_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  failAll: world => failTasks(world, randomAgentIndex(world), 1),
  failAllEach: world => { for (const agent of world.agents.keys()) failTasks(world, agent, 1) },
  failSomeEach: world => { for (const agent of world.agents.keys()) failTasks(world, agent, 0.3 + world.random.next() * 0.6) },
  failAllAndCrash: world => {
    const agent = randomAgentIndex(world)
    failTasks(world, agent, 1)
    world.timeline.after(world.random.next() * 1000, () => world.targets[agent]?.crash(100 + world.random.next() * 1000))
  },
  failAllEachAndLoseAnswers: world => {
    for (const [agent, target] of world.targets.entries()) {
      failTasks(world, agent, 1)
      target.loseAnswers(300 + world.random.next() * 1500, 0.5)
    }
  },
  crashInTurn: world => {
    for (const target of world.targets) {
      if (world.random.next() < 0.7) world.timeline.after(world.random.next() * 2000, () => target.crash(100 + world.random.next() * 1000))
    }
  }
}

const LOSS_FAULTS: Readonly<Record<string, Fault>> = {
  cancelWave: world => world.cancels.wave(),
  loseEntry: world => world.restartEntry(randomEntryIndex(world), 200 + world.random.next() * 2000),
  loseEntries: world => world.restartAllEntries(100 + world.random.next() * 2000),
  loseAll: world => world.restartAll(100 + world.random.next() * 2000),
  // The acknowledgements, or the writes before them, are in progress.
  cancelWaveAndLoseEntries: world => {
    world.cancels.wave()
    world.timeline.after(world.random.next() * 20, () => world.restartAllEntries(100 + world.random.next() * 1000))
  },
  cancelWaveAndLoseAll: world => {
    world.cancels.wave()
    world.timeline.after(world.random.next() * 500, () => world.restartAll(100 + world.random.next() * 1000))
  },
  loseEntriesTwice: world => {
    world.cancels.wave()
    world.timeline.after(50, () => world.restartAllEntries(300))
    world.timeline.after(350 + world.random.next() * 300, () => world.restartAllEntries(300))
  },
  replaceEntries: world => {
    for (const index of world.entries.keys()) world.timeline.after(index * 400, () => world.restartEntry(index, 300))
  },
  storeAway: world => world.store.away(300 + world.random.next() * 3000),
  storeAwayAndLoseEntries: world => {
    world.cancels.wave()
    world.timeline.after(world.random.next() * 20, () => world.store.away(300 + world.random.next() * 2000))
    world.timeline.after(30, () => world.restartAllEntries(100 + world.random.next() * 1000))
  },
  // An entry that reaches neither the store nor the others is out of touch, and may run a cancelled job.
  cutPeers: world => { if (!world.store.isCut) world.cutPeers(randomEntryIndex(world), 300 + world.random.next() * 4000) },
  cutStore: world => { if (!world.arePeersCut) world.store.cut(randomEntry(world), 300 + world.random.next() * 8000) },
  cutStoreAndCancelWave: world => {
    if (world.arePeersCut) return
    world.store.cut(randomEntry(world), 6000 + world.random.next() * 3000)
    world.timeline.after(50, () => world.cancels.wave())
  }
}

/** A target fails a fraction of the tasks that start there, for a random time. */
function failTasks (world: World, agent: number, fraction: number): void {
  world.failTasks(agent, fraction, randomFaultDuration(world))
}

/** Faults that are injected only when requested by name. */
const ON_REQUEST_FAULTS: Readonly<Record<string, Fault>> = {
  // Orders and lease renewals of a delayed agent reach the new incarnation of its target, which keeps the name and receives no stops. The entry of its tasks restarts.
  nextLifeUnstopped: world => {
    const index = randomAgentIndex(world)
    const target = world.targets[index]
    world.delay(world.agents[index] as AgentProcess, 200 + world.random.next() * 600)
    world.timeline.after(world.random.next() * 300, () => target?.crash(1 + world.random.next() * 20, true, true))
    world.timeline.after(350, () => target?.loseStops(3000))
    const entry = randomEntryIndex(world)
    world.timeline.after(world.random.next() * 300, () => world.restartEntry(entry, 200 + world.random.next() * 2000))
  }
}

/** Gives a target notice to leave, after which it deregisters and lingers for a short time. */
function deregister (world: World, refuses: boolean): void {
  world.targets[randomAgentIndex(world)]?.leave(world.random.next() * 1000, { restartsAfter: 300 + world.random.next() * 1000, lingers: 1 + world.random.next() * 199, refuses })
}

/** Delays about half of the agents and loses the stops sent to their targets. */
function delayAgentsWithoutStops (world: World): void {
  for (const [index, agent] of world.agents.entries()) {
    if (world.random.next() < 0.5) continue
    world.targets[index]?.loseStops(randomFaultDuration(world))
    world.delay(agent, randomFaultDuration(world))
  }
}

/** Random time for which a target refuses connections, in milliseconds; mostly short. */
function randomRefusalDuration (world: World): number {
  return 30 + world.random.next() ** 2 * 1970
}

/** Random time for which processes are delayed, stops lost or answers slow, in milliseconds. */
function randomFaultDuration (world: World): number {
  return 300 + world.random.next() * 2700
}

const FAULTS_BY_THEME: Readonly<Record<Theme, Readonly<Record<string, Fault>>>> = {
  [Theme.Processes]: BASE_FAULTS,
  [Theme.Operators]: OPERATOR_FAULTS,
  [Theme.Cancels]: CANCEL_FAULTS,
  [Theme.Capacity]: CAPACITY_FAULTS,
  [Theme.Partitions]: PARTITION_FAULTS,
  [Theme.Lateness]: LATENESS_FAULTS,
  [Theme.Failures]: FAILURE_FAULTS,
  [Theme.Losses]: LOSS_FAULTS
}

/** Faults that become more likely when the guard against them is disabled. */
const FOCUSED_FAULTS: Readonly<Record<string, readonly string[]>> = {
  clearing: ['bounceAgent'],
  echoAge: ['cutEntry', 'cutOne', 'freezeEntry'],
  nextLife: ['reviveUnheard', 'reviveTwice'],
  lifeProof: ['lateHeartbeat'],
  evacuation: ['evacuate', 'cutStore'],
  evacuationReads: ['evacuate', 'cutStoreOfEntries'],
  heldStarts: ['cutOne', 'cutEntry', 'resetOne', 'freezeAgent'],
  stopAgain: ['cancelWaveAndResets'],
  cancelMemory: ['cancelWave', 'cancelWaveAndRemovedEntry'],
  cancelNews: ['cancelWave', 'cutStoreAndCancelWave'],
  cancelStored: ['cancelWaveAndLoseEntries', 'cancelWaveAndLoseAll'],
  capacityNews: ['shrink', 'shrinkAll'],
  drain: ['notice'],
  grantedOnce: ['claimAll', 'claimAllEach', 'cutPeers'],
  refusals: ['refuse', 'refuseEach', 'deregister', 'deregisterAndRefuse'],
  boundedLease: ['callersLeaveUnstopped', 'killEntryUnstopped']
}

/** Fraction of the faults that are chosen from the focused ones. */
const FOCUS_FRACTION = 0.6

/** Themes in which targets may restart under their names. */
const THEMES_WITH_KEPT_NAMES: ReadonlySet<Theme> = new Set([Theme.Operators, Theme.Cancels, Theme.Lateness])

/** Themes in which tasks may outlast the cancellation bound. */
const THEMES_WITH_LONG_TASKS: ReadonlySet<Theme> = new Set([Theme.Cancels, Theme.Losses])

/** Themes in which odd seeds isolate the tasks of crashed targets. */
const THEMES_WITH_ISOLATION: ReadonlySet<Theme> = new Set([Theme.Cancels, Theme.Failures])

function randomEntryIndex (world: World): number {
  return world.random.integer(0, FLEET_SIZE.entries - 1)
}

function randomAgentIndex (world: World): number {
  return world.random.integer(0, FLEET_SIZE.agents - 1)
}

function randomEntry (world: World): EntryProcess {
  return world.entries[randomEntryIndex(world)] as EntryProcess
}

function randomAgent (world: World): AgentProcess {
  return world.agents[randomAgentIndex(world)] as AgentProcess
}

export interface RunResult {
  violation: Violation | undefined
  answers: ReadonlyMap<string, number>
}

/** Options of a simulation. */
export interface RunOptions {
  /** Guard to disable. */
  broken?: string | undefined
  /** The only fault to inject; all faults of the theme by default. */
  only?: string | undefined
  /** Failures of a task after which entries fail its job; those that its queue allows by default. */
  attempts?: number | undefined
  trace?: (line: string) => void
}

/** Simulates one seed. */
export function runSeed (seed: number, theme: Theme, { broken, only, attempts, trace }: RunOptions = {}): RunResult {
  const guards = broken === undefined ? ALL_GUARDS : guardsWithout(broken)
  const world = new World(seed, guards, {
    ...FLEET_SIZE,
    dataCentres: theme === Theme.Operators ? 2 : 1,
    longTasks: THEMES_WITH_LONG_TASKS.has(theme),
    isolatesSuspects: THEMES_WITH_ISOLATION.has(theme) && seed % 2 === 1,
    changingTargets: theme === Theme.Capacity,
    partitions: theme === Theme.Partitions,
    late: theme === Theme.Lateness,
    keepNames: THEMES_WITH_KEPT_NAMES.has(theme),
    repeats: theme === Theme.Losses,
    attempts
  }, trace)
  world.callers.submitUntil(FAULTS_END)
  scheduleFaults(world, faultsOf(theme, only), FOCUSED_FAULTS[broken ?? ''] ?? [], trace)
  world.timeline.runUntil(THEMES_WITH_LONG_TASKS.has(theme) ? LONG_RUN_LENGTH : RUN_LENGTH)
  return { violation: world.violation, answers: world.callers.answers }
}

function faultsOf (theme: Theme, only: string | undefined): Readonly<Record<string, Fault>> {
  const faults = FAULTS_BY_THEME[theme]
  return only === undefined ? faults : Object.fromEntries(Object.entries({ ...faults, ...ON_REQUEST_FAULTS }).filter(([name]) => name === only))
}

function scheduleFaults (world: World, faults: Readonly<Record<string, Fault>>, focus: readonly string[], trace: ((line: string) => void) | undefined): void {
  if (world.timeline.now > FAULTS_END || world.violation !== undefined) return
  world.timeline.after(world.random.next() * MEAN_FAULT_INTERVAL * 2, () => {
    const focused = focus.length > 0 && world.random.next() < FOCUS_FRACTION
    const name = world.random.pick(focused ? focus : Object.keys(faults))
    trace?.(`${world.timeline.now.toFixed(1)} fault ${name}`)
    faults[name]?.(world)
    scheduleFaults(world, faults, focus, trace)
  })
}

/** A seed that violates an invariant. */
export interface Finding {
  seed: number
  violation: Violation
}

/** Finds the first of the `runs` seeds from `first` on that violates an invariant. */
export function findFirst (first: number, runs: number, theme: Theme, options: RunOptions = {}): Finding | undefined {
  return findAll(first, runs, theme, options).next().value ?? undefined
}

/** Yields each of the `runs` seeds from `first` on that violates an invariant. */
export function * findAll (first: number, runs: number, theme: Theme, options: RunOptions = {}): Generator<Finding, undefined> {
  for (let seed = first; seed < first + runs; seed += 1) {
    const { violation } = runSeed(seed, theme, options)
    if (violation !== undefined) yield { seed, violation }
  }
}

/** Names of the faults that can be requested alone in a theme. */
export function faultNames (theme: Theme): string[] {
  return Object.keys({ ...FAULTS_BY_THEME[theme], ...ON_REQUEST_FAULTS })
}
