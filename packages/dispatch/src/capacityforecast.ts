/**
 * Forecasts the capacity of a service's targets from what one entry has recorded of them. Pure: the caller reports each
 * agent that changes.
 *
 * Restarted entries take no capacity away. A restarted agent takes its target away while it restarts; the target is
 * expected back after the mean time that others were away.
 */
import type { AgentView } from './fleetview.ts'
import type { TargetFacts } from './messages.ts'
import { ABSENCE_WEIGHT, OVERDUE_ABSENCE_FACTOR } from './capacitydefaults.ts'

/** In thousandths of a core. */
export interface CapacityFigures {
  /** Capacity of all targets that take work. */
  total: number
  /** The part of it that no task holds. */
  free: number
}

/** Figures for status pages; processors in thousandths of a core. */
export interface ForecastStatus extends CapacityFigures {
  /** Targets that take work, that are leaving, whose data centre is evacuated, and that are away. */
  targets: number
  leaving: number
  evacuated: number
  away: number
  /**
   * Mean time that targets are away after being lost, and after leaving as announced, in milliseconds; 0 while none has
   * returned.
   */
  awayWhenLost: number
  awayWhenLeft: number
}

/** How a target departed. */
enum Departure {
  /** Without announcement. */
  Lost = 'lost',
  /** After it had announced that it leaves. */
  Announced = 'left'
}

interface KnownTarget {
  service: string
  cpu: number
  departure: Departure
  /** Since when the target is away; undefined while it is present. */
  awaySince: number | undefined
}

export class CapacityForecast {
  readonly #targets = new Map<string, KnownTarget>()
  /** Mean times that targets are away, in milliseconds. */
  readonly #absences = new Map<Departure, number>()

  /** Records that the agent was linked, its link broke, or its target changed. */
  note (agent: AgentView, now: number): void {
    const before = this.#targets.get(agent.name)
    const { target } = agent
    if (!agent.linked || target === undefined) {
      if (before !== undefined) before.awaySince ??= now
      return
    }
    if (before?.awaySince !== undefined) this.#recordAbsence(before.departure, now - before.awaySince)
    this.#targets.set(agent.name, { service: target.service, cpu: target.capacity.cpu, departure: departureOf(target, before), awaySince: undefined })
  }

  remove (agent: AgentView): void {
    this.#targets.delete(agent.name)
  }

  /**
   * @param agents all known agents
   * @param ahead milliseconds from now; 0 for the present
   */
  at (agents: Iterable<AgentView>, service: string, ahead: number, now: number): CapacityFigures {
    const sum = { total: 0, free: 0 }
    for (const agent of agents) {
      if (agent.target?.service !== service || !takesWork(agent, ahead, now)) continue
      sum.total += agent.target.capacity.cpu
      sum.free += Math.min(agent.target.capacity.cpu, Math.max(0, agent.free.cpu + releasedBy(agent, ahead, now)))
    }
    if (ahead === 0) return sum
    for (const known of this.#targets.values()) {
      if (known.service !== service || !this.#isExpected(known, ahead, now)) continue
      sum.total += known.cpu
      sum.free += known.cpu
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
      away: [...this.#targets.values()].filter(known => known.service === service && known.awaySince !== undefined).length,
      awayWhenLost: Math.round(this.#absences.get(Departure.Lost) ?? 0),
      awayWhenLeft: Math.round(this.#absences.get(Departure.Announced) ?? 0)
    }
  }

  /**
   * Whether a target that is away is expected back by then. One that is overdue by `OVERDUE_ABSENCE_FACTOR` is not: it
   * may be gone permanently.
   */
  #isExpected ({ departure, awaySince }: KnownTarget, ahead: number, now: number): boolean {
    const absence = this.#absences.get(departure)
    if (awaySince === undefined || absence === undefined) return false
    return now + ahead >= awaySince + absence && now < awaySince + absence * OVERDUE_ABSENCE_FACTOR
  }

  #recordAbsence (departure: Departure, time: number): void {
    const mean = this.#absences.get(departure) ?? time
    this.#absences.set(departure, mean + (time - mean) * ABSENCE_WEIGHT)
  }
}

/**
 * How the target departs if it does so now. A leaving target reports no remaining time once nothing may start there, so
 * an earlier announcement still counts.
 */
function departureOf ({ leaving, remaining }: TargetFacts, before: KnownTarget | undefined): Departure {
  if (remaining !== undefined) return Departure.Announced
  const announced = before !== undefined && before.awaySince === undefined && before.departure === Departure.Announced
  return leaving && announced ? Departure.Announced : Departure.Lost
}

/**
 * Whether the target takes work now and still does then. When an evacuation ends is not known, so evacuated targets
 * never count.
 */
function takesWork (agent: AgentView, ahead: number, now: number): boolean {
  return agent.reachable(now) && agent.takesWork(now + ahead)
}

/**
 * Processors of this entry's tasks that are expected to end by then. Tasks of other entries count as running, since
 * their ends are not known.
 */
function releasedBy ({ placements, speed }: AgentView, ahead: number, now: number): number {
  if (ahead === 0) return 0
  let sum = 0
  for (const { placedAt, expected, needs } of placements.values()) if (placedAt + expected / speed <= now + ahead) sum += needs.cpu
  return sum
}
