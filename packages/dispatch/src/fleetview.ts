/** The state of one target as an entry sees it through the target's agent. */
import type { Task } from './job.ts'
import type { Load, TargetFacts } from './messages.ts'
import type { Policy } from './policy.ts'
import type { Resources } from './resources.ts'
import type { SpeedRatioEstimate } from './steadyspeedratio.ts'
import { TargetHealth, Trust } from '@amaranthmast/coordination/health'
import { LEAVING_ESTIMATE_FACTOR, LEAVING_RESERVE_MILLISECONDS } from './capacitydefaults.ts'
import {
  MAX_SPEED, GRANT_TIMEOUT_MILLISECONDS, IDLE_CONTACT_MILLISECONDS, IDLE_SUSPECT_MILLISECONDS, PROBED_SPEED,
  QUIET_CONTACT_MILLISECONDS, QUIET_SUSPECT_MILLISECONDS, MIN_SPEED, SUSPECT_MILLISECONDS
} from './defaults.ts'
import { Isolation, AllocationRole } from './messages.ts'
import { addTo, maxOf, NO_RESOURCES, subtractFrom } from './resources.ts'

/** A start of a task that has not ended. */
export interface Placement {
  readonly task: Task
  readonly attempt: number
  /** Incarnation of the agent that the start was sent to. */
  readonly incarnation: string
  readonly needs: Resources
  /** Expected run time at an average target, in milliseconds. */
  readonly expected: number
  readonly placedAt: number
  /** A stop was sent for it. */
  stopping: boolean
}

export class AgentView {
  /** Name of the agent without its incarnation. */
  readonly name: string
  incarnation = ''
  linked = false
  /** Whether the agent has sent its announcement on the current link. */
  announced = false
  /** Whether its data centre is evacuated, so that nothing may be started there. */
  evacuated = false
  target: TargetFacts | undefined
  /** Largest capacity that the target has had in its current incarnation; it may grow back to that. */
  largest: Resources = { ...NO_RESOURCES }
  /** Until when a leaving target is used; in the past for any other target. */
  usedUntil = Number.NEGATIVE_INFINITY
  health = new TargetHealth(1)
  /** Run time at an average target divided by the run time here. */
  speed = 1
  /** Speed ratio reported by the agent; 0 when unknown. */
  pace = 0
  /** The speed ratio over the last seconds; undefined when it is not reported. */
  steady: SpeedRatioEstimate | undefined
  /** When it was last logged as slow. */
  slowNotedAt = Number.NEGATIVE_INFINITY
  others: Resources = { ...NO_RESOURCES }
  /** Capacity left for further tasks, as far as known. */
  free: Resources = { ...NO_RESOURCES }
  readonly used: Resources = { ...NO_RESOURCES }
  readonly placements = new Map<string, Placement>()
  /** Placements of tasks suspected of crashing targets, and of tasks that need a target of their own. */
  readonly #suspects = new Set<Placement>()
  readonly #exclusive = new Set<Placement>()
  /** Capacity granted to tasks of other entries whose starts have not arrived at the target, by task. */
  readonly #granted = new Map<string, { needs: Resources, at: number }>()
  readonly #grantedSum: Resources = { ...NO_RESOURCES }
  /** Until when tasks of other entries are expected to run at the target, by entry. */
  readonly #usedUntil = new Map<string, number>()
  /** The role last sent to the agent. */
  role = AllocationRole.Chooses
  /** Data centre of its target; kept while the target is away. */
  dataCentre: string | undefined
  /** Service of its target; kept while the target is away. */
  service: string | undefined
  heardAt = Number.NEGATIVE_INFINITY
  /** When the last echo was sent: the agent's contact with this entry is counted from then. */
  echoedAt = Number.NEGATIVE_INFINITY
  /** `echoedAt` of the agent's previous incarnation, while tasks of that incarnation are left. */
  predecessorEchoedAt: number | undefined
  /** Reading of the agent's clock to send back with the next echo. */
  toEcho: number | undefined
  received = 0
  /** Consecutive starts that the target did not answer. */
  unanswered = 0
  readonly #quietFactor: number
  #busySince = 0
  #limitedToOneTask = false
  /** Whether the agent reported a suspect at the target, or a suspect of another entry was granted capacity there since. */
  #suspectReported = false
  /** Time before which nothing is placed here. */
  pausedUntil = Number.NEGATIVE_INFINITY

  /** @param quietFactor factor by which pings on quiet links are less frequent than usual */
  constructor (name: string, quietFactor = 1) {
    this.name = name
    this.#quietFactor = quietFactor
  }

  /** @param usedUntil until when the target is used if it is leaving */
  noteTarget (target: TargetFacts | undefined, usedUntil = Number.NEGATIVE_INFINITY): void {
    const before = target?.instance === this.target?.instance ? this.largest : NO_RESOURCES
    this.largest = maxOf(before, target?.capacity ?? NO_RESOURCES)
    if (target?.instance !== this.target?.instance) this.steady = undefined
    this.target = target
    this.usedUntil = usedUntil
    this.dataCentre = target?.dataCentre ?? this.dataCentre
    this.service = target?.service ?? this.service
    this.#updateFree()
  }

  noteLoad ({ others, pace, steady, suspect = false, taken = [] }: Load): void {
    this.#suspectReported = suspect
    this.others = others
    this.pace = pace
    // An idle target reports no speed ratio. One that reports a speed ratio without a steady one has changed.
    if (steady !== undefined || pace > 0) this.steady = steady
    for (const task of taken) this.#removeGrant(task)
    this.#updateFree()
  }

  /** Marks the target as full until the agent's next load report. */
  noteFull (): void {
    this.free = { ...NO_RESOURCES }
  }

  add (placement: Placement): void {
    if (this.placements.size === 0) this.#busySince = placement.placedAt
    this.placements.set(placement.task.name, placement)
    if (placement.task.isolation !== Isolation.None) this.#suspects.add(placement)
    if (placement.task.isolation === Isolation.Alone) this.#exclusive.add(placement)
    addTo(this.used, placement.needs)
    this.#updateFree()
  }

  remove (placement: Placement): void {
    if (!this.placements.delete(placement.task.name)) return
    this.#suspects.delete(placement)
    this.#exclusive.delete(placement)
    subtractFrom(this.used, placement.needs)
    this.#updateFree()
  }

  /**
   * Reserves capacity for a task of another entry, until its start arrives, the entry returns the grant, or the grant
   * expires.
   */
  grant (task: string, needs: Resources, isolation: Isolation, now: number): void {
    this.#removeGrant(task)
    this.#suspectReported ||= isolation !== Isolation.None
    this.#granted.set(task, { needs, at: now })
    addTo(this.#grantedSum, needs)
    this.#updateFree()
  }

  noteUse (entry: string, until: number): void {
    this.#usedUntil.set(entry, Math.max(until, this.#usedUntil.get(entry) ?? 0))
  }

  isUsedBy (entry: string, now: number): boolean {
    return (this.#usedUntil.get(entry) ?? Number.NEGATIVE_INFINITY) > now
  }

  takeBack (task: string): void {
    this.#removeGrant(task)
    this.#updateFree()
  }

  expireGrants (now: number): void {
    for (const [task, { at }] of this.#granted) if (now - at >= GRANT_TIMEOUT_MILLISECONDS) this.takeBack(task)
  }

  #removeGrant (task: string): void {
    const granted = this.#granted.get(task)
    if (granted === undefined) return
    this.#granted.delete(task)
    subtractFrom(this.#grantedSum, granted.needs)
  }

  /**
   * Sets the speed from its speed ratio against the fleet's median; an unknown ratio counts as average. A target that
   * was slow gets one task at a time until its ratio shows that it has recovered. Without this limit, a target that
   * gets no work has no ratio to report, looks average and empty, and attracts the whole of the next wide job.
   */
  noteSpeed (median: number, { learnsSpeed, probesSlow }: Pick<Policy, 'learnsSpeed' | 'probesSlow'>): void {
    if (!learnsSpeed || this.pace === 0 || median === 0) {
      this.speed = 1
      return
    }
    this.speed = Math.min(MAX_SPEED, Math.max(MIN_SPEED, this.pace / median))
    this.#limitedToOneTask = probesSlow && this.speed < PROBED_SPEED
  }

  /** Sets a speed that was inferred from the runs at all targets. */
  noteInferredSpeed (speed: number, probed: boolean): void {
    this.speed = Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed))
    this.#limitedToOneTask = probed
  }

  /**
   * Milliseconds without an expected message. An agent pings rarely until it gets its first task, so the time is
   * counted from that task at the earliest.
   */
  timeWithoutContact (now: number): number {
    return now - Math.max(this.heardAt, this.placements.size > 0 ? this.#busySince : Number.NEGATIVE_INFINITY)
  }

  /**
   * Time without contact after which the link is replaced, in milliseconds. The old link may stay unresponsive while a
   * new one works.
   */
  contactTimeout (contact: number): number {
    if (this.placements.size > 0) return contact
    return this.role === AllocationRole.Asks ? QUIET_CONTACT_MILLISECONDS * this.#quietFactor : IDLE_CONTACT_MILLISECONDS
  }

  /** Whether the target can be reached and takes work. */
  reachable (now: number): boolean {
    const idle = this.role === AllocationRole.Asks ? QUIET_SUSPECT_MILLISECONDS * this.#quietFactor : IDLE_SUSPECT_MILLISECONDS
    const limit = this.placements.size > 0 ? SUSPECT_MILLISECONDS : idle
    return this.linked && this.announced && this.target !== undefined && this.takesWork(now) && !this.evacuated && this.timeWithoutContact(now) < limit
  }

  /** Whether the target takes work: it stays, or is still used while it leaves. */
  takesWork (now: number): boolean {
    return this.target?.leaving === false || now < this.usedUntil
  }

  /** Whether a task with this run time at an average target is expected to end before the target leaves. */
  canFinishBeforeLeaving (expected: number, now: number): boolean {
    return this.target?.leaving !== true || now + expected / this.speed * LEAVING_ESTIMATE_FACTOR + LEAVING_RESERVE_MILLISECONDS < this.usedUntil
  }

  /** Whether this entry may place tasks at the target now. */
  usable (now: number): boolean {
    return this.reachable(now) && now >= this.pausedUntil && this.health.trust !== Trust.Ejected
  }

  /** Whether the target's health limit allows another task, besides `planned` ones that are about to be placed. */
  healthAllowsMore (planned = 0): boolean {
    return this.placements.size + planned < (this.#limitedToOneTask ? 1 : this.health.limit())
  }

  /**
   * Whether capacity here may be granted to other entries. They apply their own health limits, so only a limit to one
   * task for slowness is checked.
   */
  get hasRoomForOthers (): boolean {
    return !this.#limitedToOneTask || (this.placements.size === 0 && this.#granted.size === 0 && this.others.cpu === 0)
  }

  /** Whether a task suspected of crashing targets is known to be at the target. */
  get hasSuspect (): boolean {
    return this.#suspectReported || this.#suspects.size > 0
  }

  #updateFree (): void {
    const { target, others, used } = this
    const granted = this.#grantedSum
    if (target === undefined || this.#exclusive.size > 0) return this.noteFull()
    this.free = {
      cpu: target.capacity.cpu - others.cpu - used.cpu - granted.cpu,
      memory: target.capacity.memory - others.memory - used.memory - granted.memory,
      accelerators: target.capacity.accelerators - others.accelerators - used.accelerators - granted.accelerators
    }
  }
}
