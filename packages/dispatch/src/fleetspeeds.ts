/** Speeds of the targets as one entry goes by them, renewed with the paces that agents tell. */
import type { AgentView } from './fleetview.ts'
import type { Policy } from './policy.ts'
import type { PaceObserved, SpeedsLearned } from './targetspeeds.ts'
import { PROBED_SPEED } from './defaults.ts'
import {
  CERTAIN_ERROR, FASTEST_PART, KIND_NOTE_MILLISECONDS, KIND_NOTES, KIND_SPEED_CHANGE, RECENT_PACE_ERROR,
  SLOW_NOTE_MILLISECONDS, SPEED_CLASS_STEP, SPEEDS_REVIEW_MILLISECONDS
} from './speeddefaults.ts'
import { learnSpeeds } from './targetspeeds.ts'
import { WorkUnit } from './workunit.ts'

export interface FleetSpeedsParts {
  policy: Pick<Policy, 'learnsKinds' | 'learnsSpeed' | 'probesSlow'>
  note: (what: string, fields: Record<string, unknown>) => void
}

/** Targets whose speeds differ by less than a step from one to the next. */
export interface SpeedClass {
  /** Mean speed; 1 is that of a target at which callers' estimates are right. */
  speed: number
  targets: number
  /** Those of them of which it is known, not assumed. */
  certain: number
}

export interface SpeedStatus {
  classes: SpeedClass[]
  /** Speed of each label that explains speed. */
  kinds: Record<string, number>
  /** Speed of the mean target. */
  mean: number
}

const NOTHING: SpeedsLearned = { byTarget: new Map(), byKind: new Map() }

export class FleetSpeeds {
  readonly #parts: FleetSpeedsParts
  readonly #unit = new WorkUnit()
  #learned = NOTHING
  #mean = 1
  #reviewedAt = Number.NEGATIVE_INFINITY
  #agents: readonly AgentView[] = []
  /** By service and label, until the next review. */
  readonly #fastest = new Map<string, number>()
  readonly #noted = new Map<string, { speed: number, at: number }>()

  constructor (parts: FleetSpeedsParts) {
    this.#parts = parts
  }

  /** A task has run to its end: by what its caller had estimated, and how long it ran, in milliseconds. */
  noteRun (agent: AgentView, estimated: number, ran: number): void {
    if (this.#parts.policy.learnsKinds) this.#unit.note(estimated, ran * agent.speed / this.#mean)
  }

  /** Sets the speed of every agent's target. */
  review (agents: readonly AgentView[], now: number): void {
    this.#agents = agents
    this.#fastest.clear()
    const { policy } = this.#parts
    if (!policy.learnsKinds || !policy.learnsSpeed) return this.#byPace(agents)
    if (now - this.#reviewedAt < SPEEDS_REVIEW_MILLISECONDS) return
    this.#reviewedAt = now
    const known = agents.filter(({ linked, target }) => linked && target !== undefined)
    this.#learned = learnSpeeds(known.map(observedAt))
    const speeds = [...this.#learned.byTarget.values()].map(({ speed }) => speed)
    this.#mean = speeds.length === 0 ? 1 : this.#unit.value(Math.min(...speeds), Math.max(...speeds))
    for (const agent of known) this.#apply(agent, now)
    this.#noteKinds(now)
  }

  /** Speed of the fastest targets that take work of a service, with the label, leaving out few that are faster still; 1 when none is known. */
  fastest (service: string, label: string): number {
    const key = `${service} ${label}`
    let speed = this.#fastest.get(key)
    if (speed === undefined) {
      speed = fastestOf(this.#agents.filter(agent => mayTake(agent, service, label)))
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

  /** Entries and agents only compare paces, so the middle one stands for an average target. */
  #byPace (agents: readonly AgentView[]): void {
    const paces = agents.filter(({ linked, pace }) => linked && pace > 0).map(({ pace }) => pace).sort((one, other) => one - other)
    const middle = paces[Math.floor(paces.length / 2)] ?? 0
    for (const agent of agents) agent.noteSpeed(middle, this.#parts.policy)
  }

  #apply (agent: AgentView, now: number): void {
    const learned = this.#learned.byTarget.get(agent.name)
    if (learned === undefined) return
    const usual = this.#learned.byKind.get(learned.kind) ?? 1
    // One that is certainly slow is given what it can do; one that has become slow may recover at any time.
    const changed = agent.pace > 0 && agent.steady === undefined && learned.speed < PROBED_SPEED * usual
    agent.noteInferredSpeed(learned.speed * this.#mean, changed && this.#parts.policy.probesSlow)
    if (!changed || now - agent.slowNotedAt < SLOW_NOTE_MILLISECONDS) return
    agent.slowNotedAt = now
    this.#parts.note('target has become slow', { agent: agent.name, speed: Math.round(agent.speed * 100) / 100 })
  }

  #noteKinds (now: number): void {
    for (const [kind, relative] of this.#learned.byKind) {
      const speed = relative * this.#mean
      const noted = this.#noted.get(kind)
      if (noted !== undefined && (now - noted.at < KIND_NOTE_MILLISECONDS || Math.abs(Math.log(speed / noted.speed)) < KIND_SPEED_CHANGE)) continue
      if (noted === undefined && this.#noted.size >= KIND_NOTES) continue
      this.#noted.set(kind, { speed, at: now })
      this.#parts.note('speed of a kind learned', { kind, speed: Math.round(speed * 100) / 100, targets: [...this.#learned.byTarget.values()].filter(target => target.kind === kind).length })
    }
  }
}

function observedAt ({ name, target, pace, steady }: AgentView): PaceObserved {
  const labels = target?.labels ?? []
  return steady === undefined ? { name, labels, pace, error: RECENT_PACE_ERROR } : { name, labels, ...steady }
}

/** Whether the target will take tasks with the label when it has room: one that leaves hardly will. */
function mayTake ({ linked, evacuated, target }: AgentView, service: string, label: string): boolean {
  if (!linked || evacuated || target?.service !== service || target.leaving) return false
  return label === '' || target.labels.includes(label)
}

/** Speed that the fastest targets reach that make a part of all processors worth waiting for. */
function fastestOf (agents: readonly AgentView[]): number {
  const bySpeed = [...agents].sort((one, other) => other.speed - one.speed)
  const whole = bySpeed.reduce((sum, { target }) => sum + (target?.capacity.cpu ?? 0), 0)
  let sum = 0
  for (const { speed, target } of bySpeed) {
    sum += target?.capacity.cpu ?? 0
    if (sum >= FASTEST_PART * whole) return speed
  }
  return 1
}
