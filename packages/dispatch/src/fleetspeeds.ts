/** Speeds of the targets that one entry uses for placement, updated from the speed ratios that agents report. */
import type { AgentView } from './fleetview.ts'
import type { Policy } from './policy.ts'
import type { ObservedSpeedRatio, LearnedSpeeds } from './targetspeeds.ts'
import { PROBED_SPEED } from './defaults.ts'
import {
  CERTAIN_ERROR, FASTEST_FRACTION, KIND_LOG_INTERVAL_MILLISECONDS, MAX_LOGGED_KINDS, MIN_LOGGED_SPEED_CHANGE, RECENT_SPEED_RATIO_ERROR,
  SLOW_LOG_INTERVAL_MILLISECONDS, SPEED_CLASS_STEP, SPEEDS_REVIEW_MILLISECONDS
} from './speeddefaults.ts'
import { learnSpeeds } from './targetspeeds.ts'
import { WorkUnit } from './workunit.ts'

export interface FleetSpeedsDependencies {
  policy: Pick<Policy, 'learnsKinds' | 'learnsSpeed' | 'probesSlow'>
  note: (what: string, fields: Record<string, unknown>) => void
}

/** Targets that, sorted by speed, differ from the next one by less than a fixed factor. */
export interface SpeedClass {
  /** Mean speed; at a target of speed 1, callers' estimates are right. */
  speed: number
  targets: number
  /** Number of them whose speed is measured with a small error, not assumed. */
  certain: number
}

export interface SpeedStatus {
  classes: SpeedClass[]
  /** Speed of each machine kind, by the label that identifies it. */
  kinds: Record<string, number>
  /** Speed of an average target. */
  mean: number
}

const NOTHING_LEARNED: LearnedSpeeds = { byTarget: new Map(), byKind: new Map() }

export class FleetSpeeds {
  readonly #dependencies: FleetSpeedsDependencies
  readonly #unit = new WorkUnit()
  #learned = NOTHING_LEARNED
  #mean = 1
  #reviewedAt = Number.NEGATIVE_INFINITY
  #agents: readonly AgentView[] = []
  /** Cache of the fastest speed by service and label, cleared at each review. */
  readonly #fastest = new Map<string, number>()
  readonly #loggedKinds = new Map<string, { speed: number, at: number }>()

  constructor (dependencies: FleetSpeedsDependencies) {
    this.#dependencies = dependencies
  }

  /** Records the run time of a finished task and its caller's estimate, in milliseconds. */
  noteRun (agent: AgentView, estimated: number, ran: number): void {
    if (this.#dependencies.policy.learnsKinds) this.#unit.note(estimated, ran * agent.speed / this.#mean)
  }

  /** Recomputes the speed of every agent's target. */
  review (agents: readonly AgentView[], now: number): void {
    this.#agents = agents
    this.#fastest.clear()
    const { policy } = this.#dependencies
    if (!policy.learnsKinds || !policy.learnsSpeed) return this.#applySpeedRatios(agents)
    if (now - this.#reviewedAt < SPEEDS_REVIEW_MILLISECONDS) return
    this.#reviewedAt = now
    const known = agents.filter(({ linked, target }) => linked && target !== undefined)
    this.#learned = learnSpeeds(known.map(observationOf))
    const speeds = [...this.#learned.byTarget.values()].map(({ speed }) => speed)
    this.#mean = speeds.length === 0 ? 1 : this.#unit.value(Math.min(...speeds), Math.max(...speeds))
    for (const agent of known) this.#apply(agent, now)
    this.#logKinds(now)
  }

  /** Speed of the fastest targets that accept work of a service with the label, apart from a few even faster ones; 1 when there are none. */
  fastest (service: string, label: string): number {
    const key = `${service} ${label}`
    let speed = this.#fastest.get(key)
    if (speed === undefined) {
      speed = fastestOf(this.#agents.filter(agent => canTake(agent, service, label)))
      this.#fastest.set(key, speed)
    }
    return speed
  }

  status (): SpeedStatus {
    const rounded = (speed: number): number => Math.round(speed * this.#mean * 100) / 100
    const learned = [...this.#learned.byTarget.values()].sort((one, other) => one.speed - other.speed)
    const classes: Array<typeof learned> = []
    for (const target of learned) {
      const last = classes.at(-1)
      if (last !== undefined && target.speed <= (last.at(-1)?.speed ?? 0) * SPEED_CLASS_STEP) last.push(target)
      else classes.push([target])
    }
    return {
      classes: classes.map(targets => ({
        speed: rounded(targets.reduce((sum, { speed }) => sum + speed, 0) / targets.length),
        targets: targets.length,
        certain: targets.filter(({ error }) => error < CERTAIN_ERROR).length
      })),
      kinds: Object.fromEntries([...this.#learned.byKind].map(([kind, speed]) => [kind, rounded(speed)])),
      mean: rounded(1)
    }
  }

  /** Sets each speed relative to the median speed ratio, which represents an average target, since only comparisons of ratios are meaningful. */
  #applySpeedRatios (agents: readonly AgentView[]): void {
    const ratios = agents.filter(({ linked, pace }) => linked && pace > 0).map(({ pace }) => pace).sort((one, other) => one - other)
    const median = ratios[Math.floor(ratios.length / 2)] ?? 0
    for (const agent of agents) agent.noteSpeed(median, this.#dependencies.policy)
  }

  #apply (agent: AgentView, now: number): void {
    const learned = this.#learned.byTarget.get(agent.name)
    if (learned === undefined) return
    const usual = this.#learned.byKind.get(learned.kind) ?? 1
    // A target with a steady slow speed gets work in proportion; one that has just become slow may recover at any time and is probed.
    const changed = agent.pace > 0 && agent.steady === undefined && learned.speed < PROBED_SPEED * usual
    agent.noteInferredSpeed(learned.speed * this.#mean, changed && this.#dependencies.policy.probesSlow)
    if (!changed || now - agent.slowNotedAt < SLOW_LOG_INTERVAL_MILLISECONDS) return
    agent.slowNotedAt = now
    this.#dependencies.note('target has become slow', { agent: agent.name, speed: Math.round(agent.speed * 100) / 100 })
  }

  #logKinds (now: number): void {
    for (const [kind, relative] of this.#learned.byKind) {
      const speed = relative * this.#mean
      const logged = this.#loggedKinds.get(kind)
      if (logged !== undefined && (now - logged.at < KIND_LOG_INTERVAL_MILLISECONDS || Math.abs(Math.log(speed / logged.speed)) < MIN_LOGGED_SPEED_CHANGE)) continue
      if (logged === undefined && this.#loggedKinds.size >= MAX_LOGGED_KINDS) continue
      this.#loggedKinds.set(kind, { speed, at: now })
      this.#dependencies.note('speed of a kind learned', { kind, speed: Math.round(speed * 100) / 100, targets: [...this.#learned.byTarget.values()].filter(target => target.kind === kind).length })
    }
  }
}

function observationOf ({ name, target, pace, steady }: AgentView): ObservedSpeedRatio {
  const labels = target?.labels ?? []
  return steady === undefined ? { name, labels, pace, error: RECENT_SPEED_RATIO_ERROR } : { name, labels, ...steady }
}

/** Whether the target will accept tasks with the label once it has capacity; a leaving one counts as not accepting. */
function canTake ({ linked, evacuated, target }: AgentView, service: string, label: string): boolean {
  if (!linked || evacuated || target?.service !== service || target.leaving) return false
  return label === '' || target.labels.includes(label)
}

/** Lowest speed among the fastest targets that together have at least `FASTEST_FRACTION` of all processors, enough to wait for. */
function fastestOf (agents: readonly AgentView[]): number {
  const bySpeed = [...agents].sort((one, other) => other.speed - one.speed)
  const totalCpu = bySpeed.reduce((sum, { target }) => sum + (target?.capacity.cpu ?? 0), 0)
  let sum = 0
  for (const { speed, target } of bySpeed) {
    sum += target?.capacity.cpu ?? 0
    if (sum >= FASTEST_FRACTION * totalCpu) return speed
  }
  return 1
}
