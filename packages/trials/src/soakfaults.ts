/** Faults from outside: signals, links, the store and the workers. Each undoes itself after a while. */
import type { Member, SoakFleet } from './soakfleet.ts'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { FleetWorker, WorkerFaults } from '@amaranthmast/standins/fleetworker'
import { readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { LinkState } from '@amaranthmast/standins/linkrelay'
import { Outage } from '@amaranthmast/standins/fleetstore'
import { DATA_CENTRES } from './soakfleet.ts'

/** Shortest and longest time of a fault, in milliseconds: below and above every limit of the leases. */
const SHORTEST = 200
const LONGEST = 3500

/** How long a process that was told to stop may take: its grace and a second. */
const STOP_LIMIT = 7000

/** Bit of SIGHUP among the signals that a process handles. */
const SIGHUP_BIT = 1n

type Fault = (fleet: SoakFleet, random: SeededRandom) => Promise<void>

function length (random: SeededRandom): number {
  return random.logarithmic(SHORTEST, LONGEST)
}

/**
 * Whether the process handles SIGHUP: Node has come up and has run the program's first lines. Before that no program can
 * handle a signal, and the platform starts a process that ended then again. How long it takes depends on what else the
 * machine does: beside 20 busy processes more than 400 ms.
 */
export function handlesHangUp (pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const handled = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'
  return (BigInt(`0x${handled}`) & SIGHUP_BIT) !== 0n
}

async function kill (fleet: SoakFleet, member: Member, random: SeededRandom): Promise<void> {
  member.struck = true
  await member.process?.kill()
  await pause(length(random) / 4)
  fleet.launch(member)
}

async function freeze (member: Member, random: SeededRandom): Promise<void> {
  const { process } = member
  process?.pause()
  await pause(length(random))
  process?.resume()
}

async function restart (fleet: SoakFleet, member: Member): Promise<void> {
  member.struck = true
  await member.process?.stop(STOP_LIMIT)
  fleet.launch(member)
}

/** Not for a process that another fault has ended a moment ago. */
async function strike (member: Member, fault: () => Promise<void>): Promise<void> {
  if (member.struck || member.process?.isRunning !== true) return
  await fault()
}

/** Every kind of fault, by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  killEntry: async (fleet, random) => await strikeOne(fleet.entries, random, async member => await kill(fleet, member, random)),
  killAgent: async (fleet, random) => await strikeOne(fleet.agents, random, async member => await kill(fleet, member, random)),
  freezeEntry: async (fleet, random) => await strikeOne(fleet.entries, random, async member => await freeze(member, random)),
  freezeAgent: async (fleet, random) => await strikeOne(fleet.agents, random, async member => await freeze(member, random)),
  restartEntry: async (fleet, random) => await strikeOne(fleet.entries, random, async member => await restart(fleet, member)),
  restartAgent: async (fleet, random) => await strikeOne(fleet.agents, random, async member => await restart(fleet, member)),
  hangUp: async (fleet, random) => {
    const { process } = random.pick([...fleet.entries, ...fleet.agents])
    if (process?.isRunning === true && handlesHangUp(process.pid)) process.signal('SIGHUP')
  },
  resetLinks: async (fleet, random) => {
    const cutter = random.pick(fleet.cutters)
    cutter.cut()
    await pause(random.integer(0, 1) * length(random))
    cutter.restore()
  },
  silenceLinks: async (fleet, random) => {
    const cutter = random.pick(fleet.cutters)
    cutter.stall(random.pick([LinkState.Stalled, LinkState.StalledToClient, LinkState.StalledToServer]))
    await pause(length(random))
    cutter.restore()
  },
  storeOutage: async (fleet, random) => {
    fleet.store.outage = random.pick([Outage.NoResponse, Outage.Unavailable, Outage.Reset])
    await pause(length(random))
    fleet.store.outage = Outage.None
  },
  storeLosesAnswers: async (fleet, random) => {
    fleet.store.loseAnswers = true
    await pause(length(random))
    fleet.store.loseAnswers = false
  },
  storeForgets: async fleet => {
    fleet.store.revokeAllLeases()
    fleet.store.compact()
  },
  configure: async fleet => { fleet.configure() },
  crashWorker: async (fleet, random) => random.pick(fleet.workers).crash(),
  workerLosesAnswers: async (fleet, random) => {
    const { faults } = random.pick(fleet.workers)
    faults.loseAnswers = true
    await pause(length(random))
    faults.loseAnswers = false
  },
  workerActsLate: async (fleet, random) => {
    const { faults } = random.pick(fleet.workers)
    faults.delay = random.integer(1000, 4000)
    await pause(length(random) / 2)
    faults.delay = 0
  },
  workerRefuses: async (fleet, random) => {
    const { faults } = random.pick(fleet.workers)
    faults.refuse = true
    await pause(length(random))
    faults.refuse = false
  }
}

/** The same, evacuations and workers that start again under their id. Apart, so that a seed without them keeps its faults. */
export const OPERATOR_FAULTS: Readonly<Record<string, Fault>> = {
  ...FAULTS,
  evacuate: async (fleet, random) => {
    const dataCentre = random.pick(DATA_CENTRES)
    fleet.evacuate(dataCentre, true)
    await pause(length(random))
    fleet.evacuate(dataCentre, false)
  },
  evacuateAndStoreOutage: async (fleet, random) => {
    fleet.evacuate(random.pick(DATA_CENTRES), true)
    fleet.store.compact()
    await FAULTS['storeOutage']?.(fleet, random)
    for (const dataCentre of DATA_CENTRES) fleet.evacuate(dataCentre, false)
  },
  restartWorker: async (fleet, random) => random.pick(fleet.workers).restart(),
  restartWorkerTwice: async (fleet, random) => {
    const worker = random.pick(fleet.workers)
    worker.restart()
    await pause(random.next() * 100)
    worker.restart()
  }
}

/** Queues that a large configuration adds. */
const MANY_QUEUES = 1500

/** Longest time in which watches hear nothing before the history is dropped, in milliseconds. */
const DEAF = 1000

/** The same, and what makes configurations late: large ones, several in a row, and stores that an entry can't hear. */
export const CONFIGURATION_FAULTS: Readonly<Record<string, Fault>> = {
  ...OPERATOR_FAULTS,
  configureLarge: async fleet => { fleet.configure(MANY_QUEUES) },
  configureInARow: async (fleet, random) => {
    for (let count = random.integer(2, 5); count > 0; count -= 1) {
      fleet.configure()
      await pause(random.next() * 300)
    }
  },
  strandStore: async (fleet, random) => random.pick(fleet.storeCutters).stallOpenConnections(),
  silenceStoreOfEntry: async (fleet, random) => {
    const cutter = random.pick(fleet.storeCutters)
    cutter.stall()
    await pause(length(random))
    cutter.restore()
  },
  storeDeaf: async (fleet, random) => {
    if (fleet.store.dropWatchEvents) return
    fleet.store.dropWatchEvents = true
    fleet.configure()
    await pause(random.next() * DEAF / 2)
    fleet.configure()
    await pause(random.next() * DEAF / 2)
    fleet.store.compact()
    fleet.store.dropWatchEvents = false
  }
}

/** How long the listener of a living worker is closed, in milliseconds. */
const SHORTEST_CLOSED = 30
const LONGEST_CLOSED = 2000

/** How long a worker takes for an answer, in milliseconds. */
const SHORTEST_ANSWER = 50
const LONGEST_ANSWER = 500

/** How long a process that is late, not frozen, stands still at a time and then works, in milliseconds, and how often. */
const SHORTEST_STALL = 100
const LONGEST_STALL = 700
const SHORTEST_WORK = 3
const LONGEST_WORK = 300
const MOST_STALLS = 10

/** The faults of `FAULTS`, and what makes a living worker look gone, leaves its stops open, or makes processes late. */
export const REFUSAL_FAULTS: Readonly<Record<string, Fault>> = {
  ...FAULTS,
  closeListener: async (fleet, random) => await closeListener(random.pick(fleet.workers), random),
  closeListenerAndKillEntry: async (fleet, random) => await closeListenerAnd('killEntry', fleet, random),
  closeListenerAndFreezeEntry: async (fleet, random) => await closeListenerAnd('freezeEntry', fleet, random),
  closeListenerAndKillAgent: async (fleet, random) => await strikePair(fleet, random, closeListener, async member => await kill(fleet, member, random)),
  closeListenerAndFreezeAgent: async (fleet, random) => await strikePair(fleet, random, closeListener, async member => await freeze(member, random)),
  slowAnswers: async (fleet, random) => await answerLate('answerDelay', fleet, random),
  slowOrders: async (fleet, random) => await answerLate('orderDelay', fleet, random),
  ignoreStops: async (fleet, random) => await ignoreStops(random.pick(fleet.workers), random),
  ignoreStopsAndStallAgent: async (fleet, random) => await strikePair(fleet, random, ignoreStops, async member => await stall(member, random)),
  stallAgent: async (fleet, random) => await strikeOne(fleet.agents, random, async member => await stall(member, random)),
  stallEntry: async (fleet, random) => await strikeOne(fleet.entries, random, async member => await stall(member, random))
}

async function closeListener (worker: FleetWorker, random: SeededRandom): Promise<void> {
  await worker.closeListener(random.logarithmic(SHORTEST_CLOSED, LONGEST_CLOSED))
}

async function closeListenerAnd (kind: string, fleet: SoakFleet, random: SeededRandom): Promise<void> {
  await Promise.all([closeListener(random.pick(fleet.workers), random), FAULTS[kind]?.(fleet, random)])
}

async function ignoreStops ({ faults }: FleetWorker, random: SeededRandom): Promise<void> {
  faults.ignoreStops = true
  await pause(length(random))
  faults.ignoreStops = false
}

/** A worker and its own agent at one time. */
async function strikePair (fleet: SoakFleet, random: SeededRandom, worker: (worker: FleetWorker, random: SeededRandom) => Promise<void>, agent: (member: Member) => Promise<void>): Promise<void> {
  const index = random.integer(0, fleet.workers.length - 1)
  const member = fleet.agents[index] as Member
  await Promise.all([worker(fleet.workers[index] as FleetWorker, random), strike(member, async () => await agent(member))])
}

async function answerLate (which: keyof Pick<WorkerFaults, 'answerDelay' | 'orderDelay'>, fleet: SoakFleet, random: SeededRandom): Promise<void> {
  const { faults } = random.pick(fleet.workers)
  faults[which] = random.integer(SHORTEST_ANSWER, LONGEST_ANSWER)
  await pause(length(random))
  faults[which] = 0
}

async function stall ({ process }: Member, random: SeededRandom): Promise<void> {
  for (let count = random.integer(2, MOST_STALLS); count > 0; count -= 1) {
    process?.pause()
    await pause(random.integer(SHORTEST_STALL, LONGEST_STALL))
    process?.resume()
    await pause(random.logarithmic(SHORTEST_WORK, LONGEST_WORK))
  }
}

async function strikeOne (members: readonly Member[], random: SeededRandom, fault: (member: Member) => Promise<void>): Promise<void> {
  const member = random.pick(members)
  await strike(member, async () => await fault(member))
}
