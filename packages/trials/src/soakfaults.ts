/** Faults from outside: signals, links, the store and the workers. Each undoes itself after a while. */
import type { Member, SoakFleet } from './soakfleet.ts'
import type { SeededRandom } from '@amaranthmast/standins/random'
import { setTimeout as pause } from 'node:timers/promises'
import { LinkState } from '@amaranthmast/standins/cutter'
import { Outage } from '@amaranthmast/standins/fleetstore'

/** Shortest and longest time of a fault, in milliseconds: below and above every limit of the leases. */
const SHORTEST = 200
const LONGEST = 3500

/** How long a process that was told to stop may take: its grace and a second. */
const STOP_LIMIT = 7000

/** Time after which Node itself has come up and runs the program's first line, also on a busy machine, in milliseconds. */
const BOOT = 400

type Fault = (fleet: SoakFleet, random: SeededRandom) => Promise<void>

function length (random: SeededRandom): number {
  return random.logarithmic(SHORTEST, LONGEST)
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
    // Before Node has come up no program can handle a signal; the platform starts a process that ended then again.
    if (process !== undefined && process.age > BOOT) process.signal('SIGHUP')
  },
  resetLinks: async (fleet, random) => {
    const cutter = random.pick(fleet.cutters)
    cutter.cut()
    await pause(random.integer(0, 1) * length(random))
    cutter.restore()
  },
  silenceLinks: async (fleet, random) => {
    const cutter = random.pick(fleet.cutters)
    cutter.freeze(random.pick([LinkState.Silent, LinkState.SilentToClient, LinkState.SilentToServer]))
    await pause(length(random))
    cutter.restore()
  },
  storeOutage: async (fleet, random) => {
    fleet.store.outage = random.pick([Outage.Silent, Outage.Busy, Outage.Reset])
    await pause(length(random))
    fleet.store.outage = Outage.None
  },
  storeLosesAnswers: async (fleet, random) => {
    fleet.store.loseAnswers = true
    await pause(length(random))
    fleet.store.loseAnswers = false
  },
  storeForgets: async fleet => {
    fleet.store.revokeAll()
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

async function strikeOne (members: readonly Member[], random: SeededRandom, fault: (member: Member) => Promise<void>): Promise<void> {
  const member = random.pick(members)
  await strike(member, async () => await fault(member))
}
