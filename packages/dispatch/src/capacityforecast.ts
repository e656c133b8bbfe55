/**
 * How much room the targets of a service have, now and at a time ahead, by what one entry knows of them. Pure: it is told of
 * each agent that changes, and asked.
 *
 * Entries that are restarted in turn take no capacity away; an agent that is restarted takes its target away for the time
 * that this lasts, and is counted as back by how long others were away.
 */
import type { AgentView } from './fleetview.ts'
import type { TargetFacts } from './messages.ts'
import { ABSENCE_RATE, OVERDUE_FACTOR } from './capacitydefaults.ts'

/** Thousandths of cores. */
export interface CapacityFigures {
  /** Of all targets that take work. */
  total: number
  /** Of that, what no task holds. */
  free: number
}

/** Figures for status pages; processors in thousandths of cores. */
export interface ForecastStatus extends CapacityFigures {
  /** Targets that take work, that leave, whose data centre is evacuated, and that are away. */
  targets: number
  leaving: number
  evacuated: number
  away: number
  /** How long targets are away that were lost, and that had announced their end, in milliseconds; 0 while none came back. */
  awayWhenLost: number
  awayWhenLeft: number
}

/** How a target went. */
enum Departure {
  /** Without a word. */
  Lost = 'lost',
  /** As it had announced. */
  Left = 'left'
}

interface Seen {
  service: string
  cpu: number
  departure: Departure
  /** Since when it is away; undefined while it is there. */
  awaySince: number | undefined
}

export class CapacityForecast {
  readonly #seen = new Map<string, Seen>()
  /** Mean times away, in milliseconds. */
  readonly #absences = new Map<Departure, number>()

  /** The agent was linked, or its link broke, or its target changed. */
  note (agent: AgentView, now: number): void {
    const before = this.#seen.get(agent.name)
    const { target } = agent
    if (!agent.linked || target === undefined) {
      if (before !== undefined) before.awaySince ??= now
      return
    }
    if (before?.awaySince !== undefined) this.#learn(before.departure, now - before.awaySince)
    this.#seen.set(agent.name, { service: target.service, cpu: target.capacity.cpu, departure: departureOf(target, before), awaySince: undefined })
  }

  forget (agent: AgentView): void {
    this.#seen.delete(agent.name)
  }

  /**
   * @param agents all that are known
   * @param ahead milliseconds from now; 0 for the present
   */
  at (agents: Iterable<AgentView>, service: string, ahead: number, now: number): CapacityFigures {
    const sum = { total: 0, free: 0 }
    for (const agent of agents) {
      if (agent.target?.service !== service || !takesWork(agent, ahead, now)) continue
      sum.total += agent.target.capacity.cpu
      sum.free += Math.min(agent.target.capacity.cpu, Math.max(0, agent.free.cpu + endedBy(agent, ahead, now)))
    }
    if (ahead === 0) return sum
    for (const seen of this.#seen.values()) {
      if (seen.service !== service || !this.#isExpected(seen, ahead, now)) continue
      sum.total += seen.cpu
      sum.free += seen.cpu
    }
    return sum
  }

  status (agents: readonly AgentView[], service: string, now: number): ForecastStatus {
    const own = agents.filter(({ target }) => target?.service === service)
    return {
      ...this.at(agents, service, 0, now),
      targets: own.filter(agent => agent.reachable(now)).length,
      leaving: own.filter(({ target }) => target?.leaving === true).length,
      evacuated: own.filter(({ evacuated }) => evacuated).length,
      away: [...this.#seen.values()].filter(seen => seen.service === service && seen.awaySince !== undefined).length,
      awayWhenLost: Math.round(this.#absences.get(Departure.Lost) ?? 0),
      awayWhenLeft: Math.round(this.#absences.get(Departure.Left) ?? 0)
    }
  }

  /** Whether a target that is away is expected to be back by then. One that is long overdue is not: it may be gone for good. */
  #isExpected ({ departure, awaySince }: Seen, ahead: number, now: number): boolean {
    const absence = this.#absences.get(departure)
    if (awaySince === undefined || absence === undefined) return false
    return now + ahead >= awaySince + absence && now < awaySince + absence * OVERDUE_FACTOR
  }

  #learn (departure: Departure, time: number): void {
    const mean = this.#absences.get(departure) ?? time
    this.#absences.set(departure, mean + (time - mean) * ABSENCE_RATE)
  }
}

/** How the target will have gone if it goes now. One that leaves states no remaining time any more once nothing may start there. */
function departureOf ({ leaving, remaining }: TargetFacts, before: Seen | undefined): Departure {
  if (remaining !== undefined) return Departure.Left
  const announced = before !== undefined && before.awaySince === undefined && before.departure === Departure.Left
  return leaving && announced ? Departure.Left : Departure.Lost
}

/** Whether it takes work now and still does then: nobody knows when an evacuation ends. */
function takesWork (agent: AgentView, ahead: number, now: number): boolean {
  return agent.reachable(now) && agent.takesWork(now + ahead)
}

/** What own tasks hold that will have ended by then. What tasks of others hold stays held, for want of a word on their ends. */
function endedBy ({ placements, speed }: AgentView, ahead: number, now: number): number {
  if (ahead === 0) return 0
  let sum = 0
  for (const { placedAt, expected, needs } of placements.values()) if (placedAt + expected / speed <= now + ahead) sum += needs.cpu
  return sum
}
