/** The faults of the soak test: signals to processes, and faults of links, the store and the workers. Each is undone after a random time. */
import type { FleetMember, SoakFleet } from './soakfleet.ts'
import type { SeededRandom } from '@amaranthmast/standins/random'
import type { FleetWorker, WorkerFaults } from '@amaranthmast/standins/fleetworker'
import { readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { LinkState } from '@amaranthmast/standins/linkrelay'
import { Outage } from '@amaranthmast/standins/fleetstore'
import { DATA_CENTRES } from './soakfleet.ts'

/** Minimum and maximum duration of a fault, in milliseconds: below and above every time limit of the leases. */
const MIN_FAULT_DURATION = 200
const MAX_FAULT_DURATION = 3500

/** Time that a process has to stop, in milliseconds: its grace period of 6 seconds, and one second more. */
const STOP_TIMEOUT = 7000

/** Bit of SIGHUP in the mask of signals that a process handles. */
const SIGHUP_BIT = 1n

/** Injects a fault. Resolves when it is undone. */
type Fault = (fleet: SoakFleet, random: SeededRandom) => Promise<void>

function randomDuration (random: SeededRandom): number {
  return random.logarithmic(MIN_FAULT_DURATION, MAX_FAULT_DURATION)
}

/**
 * Whether the process handles SIGHUP: Node has started and has run the program's first lines. Before that no program can
 * handle a signal, and the platform restarts a process that the signal ends. How long it takes depends on the load of
 * the machine: next to 20 busy processes it is more than 400 ms.
 */
export function handlesSighup (pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const handled = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'
  return (BigInt(`0x${handled}`) & SIGHUP_BIT) !== 0n
}

async function kill (fleet: SoakFleet, member: FleetMember, random: SeededRandom): Promise<void> {
  member.struck = true
  await member.process?.kill()
  await pause(randomDuration(random) / 4)
  fleet.launch(member)
}

async function freeze (member: FleetMember, random: SeededRandom): Promise<void> {
  const { process } = member
  process?.pause()
  await pause(randomDuration(random))
  process?.resume()
}

async function restart (fleet: SoakFleet, member: FleetMember): Promise<void> {
  member.struck = true
  await member.process?.stop(STOP_TIMEOUT)
  fleet.launch(member)
}

/** Applies a fault to a process, unless the process has just been ended by another fault. */
async function applyIfRunning (member: FleetMember, fault: () => Promise<void>): Promise<void> {
  if (member.struck || member.process?.isRunning !== true) return
  await fault()
}

/** Faults of every soak test, by kind. */
export const BASE_FAULTS: Readonly<Record<string, Fault>> = {
  killEntry: async (fleet, random) => await applyToRandomMember(fleet.entries, random, async member => await kill(fleet, member, random)),
  killAgent: async (fleet, random) => await applyToRandomMember(fleet.agents, random, async member => await kill(fleet, member, random)),
  freezeEntry: async (fleet, random) => await applyToRandomMember(fleet.entries, random, async member => await freeze(member, random)),
  freezeAgent: async (fleet, random) => await applyToRandomMember(fleet.agents, random, async member => await freeze(member, random)),
  restartEntry: async (fleet, random) => await applyToRandomMember(fleet.entries, random, async member => await restart(fleet, member)),
  restartAgent: async (fleet, random) => await applyToRandomMember(fleet.agents, random, async member => await restart(fleet, member)),
  hangUp: async (fleet, random) => {
    const { process } = random.pick([...fleet.entries, ...fleet.agents])
    if (process?.isRunning === true && handlesSighup(process.pid)) process.signal('SIGHUP')
  },
  resetLinks: async (fleet, random) => {
    const cutter = random.pick(fleet.linkCutters)
    cutter.cut()
    await pause(random.integer(0, 1) * randomDuration(random))
    cutter.restore()
  },
  silenceLinks: async (fleet, random) => {
    const cutter = random.pick(fleet.linkCutters)
    cutter.stall(random.pick([LinkState.Stalled, LinkState.StalledToClient, LinkState.StalledToServer]))
    await pause(randomDuration(random))
    cutter.restore()
  },
  storeOutage: async (fleet, random) => {
    fleet.store.outage = random.pick([Outage.NoResponse, Outage.Unavailable, Outage.Reset])
    await pause(randomDuration(random))
    fleet.store.outage = Outage.None
  },
  storeLosesAnswers: async (fleet, random) => {
    fleet.store.loseAnswers = true
    await pause(randomDuration(random))
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
    await pause(randomDuration(random))
    faults.loseAnswers = false
  },
  workerActsLate: async (fleet, random) => {
    const { faults } = random.pick(fleet.workers)
    faults.delay = random.integer(1000, 4000)
    await pause(randomDuration(random) / 2)
    faults.delay = 0
  },
  workerRefuses: async (fleet, random) => {
    const { faults } = random.pick(fleet.workers)
    faults.refuse = true
    await pause(randomDuration(random))
    faults.refuse = false
  }
}

/**
 * `BASE_FAULTS`, and evacuations and workers that restart under the same id. Separate, so that a seed without them
 * still yields the same faults.
 */
export const OPERATOR_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  evacuate: async (fleet, random) => {
    const dataCentre = random.pick(DATA_CENTRES)
    fleet.evacuate(dataCentre, true)
    await pause(randomDuration(random))
    fleet.evacuate(dataCentre, false)
  },
  evacuateAndStoreOutage: async (fleet, random) => {
    fleet.evacuate(random.pick(DATA_CENTRES), true)
    fleet.store.compact()
    await BASE_FAULTS['storeOutage']?.(fleet, random)
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

/** Number of queues that a large configuration adds. */
const LARGE_CONFIGURATION_QUEUES = 1500

/** Maximum time without watch events before the store's history is dropped, in milliseconds. */
const MAX_WATCH_GAP = 1000

/** `OPERATOR_FAULTS`, and faults that delay configurations: large ones, several in a row, and lost connections to the store. */
export const CONFIGURATION_FAULTS: Readonly<Record<string, Fault>> = {
  ...OPERATOR_FAULTS,
  configureLarge: async fleet => { fleet.configure(LARGE_CONFIGURATION_QUEUES) },
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
    await pause(randomDuration(random))
    cutter.restore()
  },
  storeDeaf: async (fleet, random) => {
    if (fleet.store.dropWatchEvents) return
    fleet.store.dropWatchEvents = true
    fleet.configure()
    await pause(random.next() * MAX_WATCH_GAP / 2)
    fleet.configure()
    await pause(random.next() * MAX_WATCH_GAP / 2)
    fleet.store.compact()
    fleet.store.dropWatchEvents = false
  }
}

/** Minimum and maximum time for which the listener of a running worker is closed, in milliseconds. */
const MIN_LISTENER_CLOSED = 30
const MAX_LISTENER_CLOSED = 2000

/** Minimum and maximum delay of a slow worker's answers, in milliseconds. */
const MIN_ANSWER_DELAY = 50
const MAX_ANSWER_DELAY = 500

/** Minimum and maximum time of one stall of a process and of the gap after it, in milliseconds, and maximum number of stalls in a row. */
const MIN_STALL = 100
const MAX_STALL = 700
const MIN_STALL_GAP = 3
const MAX_STALL_GAP = 300
const MAX_STALLS = 10

/** `BASE_FAULTS`, and faults that make a running worker unreachable, leave its stops unanswered, or stall processes. */
export const REFUSAL_FAULTS: Readonly<Record<string, Fault>> = {
  ...BASE_FAULTS,
  closeListener: async (fleet, random) => await closeListener(random.pick(fleet.workers), random),
  closeListenerAndKillEntry: async (fleet, random) => await closeListenerAnd('killEntry', fleet, random),
  closeListenerAndFreezeEntry: async (fleet, random) => await closeListenerAnd('freezeEntry', fleet, random),
  closeListenerAndKillAgent: async (fleet, random) => await applyToWorkerAndAgent(fleet, random, closeListener, async member => await kill(fleet, member, random)),
  closeListenerAndFreezeAgent: async (fleet, random) => await applyToWorkerAndAgent(fleet, random, closeListener, async member => await freeze(member, random)),
  slowAnswers: async (fleet, random) => await delayAnswers('answerDelay', fleet, random),
  slowOrders: async (fleet, random) => await delayAnswers('orderDelay', fleet, random),
  ignoreStops: async (fleet, random) => await ignoreStops(random.pick(fleet.workers), random),
  ignoreStopsAndStallAgent: async (fleet, random) => await applyToWorkerAndAgent(fleet, random, ignoreStops, async member => await stallRepeatedly(member, random)),
  stallAgent: async (fleet, random) => await applyToRandomMember(fleet.agents, random, async member => await stallRepeatedly(member, random)),
  stallEntry: async (fleet, random) => await applyToRandomMember(fleet.entries, random, async member => await stallRepeatedly(member, random))
}

async function closeListener (worker: FleetWorker, random: SeededRandom): Promise<void> {
  await worker.closeListener(random.logarithmic(MIN_LISTENER_CLOSED, MAX_LISTENER_CLOSED))
}

async function closeListenerAnd (kind: string, fleet: SoakFleet, random: SeededRandom): Promise<void> {
  await Promise.all([closeListener(random.pick(fleet.workers), random), BASE_FAULTS[kind]?.(fleet, random)])
}

async function ignoreStops ({ faults }: FleetWorker, random: SeededRandom): Promise<void> {
  faults.ignoreStops = true
  await pause(randomDuration(random))
  faults.ignoreStops = false
}

/** Applies one fault to a random worker and another to its agent at the same time. */
async function applyToWorkerAndAgent (fleet: SoakFleet, random: SeededRandom, workerFault: (worker: FleetWorker, random: SeededRandom) => Promise<void>, agentFault: (member: FleetMember) => Promise<void>): Promise<void> {
  const index = random.integer(0, fleet.workers.length - 1)
  const member = fleet.agents[index] as FleetMember
  await Promise.all([workerFault(fleet.workers[index] as FleetWorker, random), applyIfRunning(member, async () => await agentFault(member))])
}

async function delayAnswers (delayField: keyof Pick<WorkerFaults, 'answerDelay' | 'orderDelay'>, fleet: SoakFleet, random: SeededRandom): Promise<void> {
  const { faults } = random.pick(fleet.workers)
  faults[delayField] = random.integer(MIN_ANSWER_DELAY, MAX_ANSWER_DELAY)
  await pause(randomDuration(random))
  faults[delayField] = 0
}

async function stallRepeatedly ({ process }: FleetMember, random: SeededRandom): Promise<void> {
  for (let count = random.integer(2, MAX_STALLS); count > 0; count -= 1) {
    process?.pause()
    await pause(random.integer(MIN_STALL, MAX_STALL))
    process?.resume()
    await pause(random.logarithmic(MIN_STALL_GAP, MAX_STALL_GAP))
  }
}

/** Applies a fault to one random process, unless it has just been ended. */
async function applyToRandomMember (members: readonly FleetMember[], random: SeededRandom, fault: (member: FleetMember) => Promise<void>): Promise<void> {
  const member = random.pick(members)
  await applyIfRunning(member, async () => await fault(member))
}
