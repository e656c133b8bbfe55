/** The targets as one entry knows them through their agents. */
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

/** A start of a task that has not ended yet. */
export interface Placement {
  readonly task: Task
  readonly attempt: number
  /** Run of the agent that it was sent to. */
  readonly incarnation: string
  readonly needs: Resources
  /** Expected run time at an average target, in milliseconds. */
  readonly expected: number
  readonly placedAt: number
  /** It was ordered to stop. */
  stopping: boolean
}

export class AgentView {
  /** Name of the agent without its incarnation. */
  readonly name: string
  incarnation = ''
  linked = false
  /** Whether the agent has announced itself on the present link. */
  announced = false
  /** Nothing may be started in its data centre. */
  evacuated = false
  target: TargetFacts | undefined
  /** Most that the target has had in its present life: it may grow to that again. */
  largest: Resources = { ...NO_RESOURCES }
  /** Until when a leaving target is used; in the past when it is not. */
  usedUntil = Number.NEGATIVE_INFINITY
  health = new TargetHealth(1)
  /** Run time of an average target over the run time here. */
  speed = 1
  /** As the agent tells it; 0 when unknown. */
  pace = 0
  /** The same over the last seconds; undefined when it does not say. */
  steady: SpeedRatioEstimate | undefined
  /** When it was last logged that it has become slow. */
  slowNotedAt = Number.NEGATIVE_INFINITY
  others: Resources = { ...NO_RESOURCES }
  /** Room for further tasks, as far as known. */
  free: Resources = { ...NO_RESOURCES }
  readonly used: Resources = { ...NO_RESOURCES }
  readonly placements = new Map<string, Placement>()
  /** Those of suspects, and of tasks that nothing else may start beside. */
  readonly #suspects = new Set<Placement>()
  readonly #reserving = new Set<Placement>()
  /** Room given to tasks of other entries whose starts have not arrived there, by task. */
  readonly #granted = new Map<string, { needs: Resources, at: number }>()
  readonly #grantedSum: Resources = { ...NO_RESOURCES }
  /** Until when tasks of other entries are expected to run there. */
  readonly #usedUntil = new Map<string, number>()
  /** As the agent was told. */
  role = AllocationRole.Chooses
  /** Data centre of its target, also while that is away. */
  dataCentre: string | undefined
  /** Service of its target, also while that is away. */
  service: string | undefined
  heardAt = Number.NEGATIVE_INFINITY
  /** When the last echo was sent: the agent may count on this entry from then on. */
  echoedAt = Number.NEGATIVE_INFINITY
  /** The same for the run of the agent before this one, while tasks of it are left. */
  predecessorEchoedAt: number | undefined
  /** Reading of the agent's clock that is to be echoed. */
  toEcho: number | undefined
  received = 0
  /** Starts in a row that the target did not answer. */
  unanswered = 0
  readonly #quiet: number
  #busySince = 0
  #probed = false
  /** As the agent tells it, or one of another entry was given room there since. */
  #suspectTold = false
  /** Nothing is placed before. */
  pausedUntil = Number.NEGATIVE_INFINITY

  /** @param quiet how much more seldom than usual quiet links are pinged */
  constructor (name: string, quiet = 1) {
    this.name = name
    this.#quiet = quiet
  }

  /** @param usedUntil until when it is used while it leaves */
  noteTarget (target: TargetFacts | undefined, usedUntil = Number.NEGATIVE_INFINITY): void {
    const before = target?.instance === this.target?.instance ? this.largest : NO_RESOURCES
    this.largest = maxOf(before, target?.capacity ?? NO_RESOURCES)
    if (target?.instance !== this.target?.instance) this.steady = undefined
    this.target = target
    this.usedUntil = usedUntil
    this.dataCentre = target?.dataCentre ?? this.dataCentre
    this.service = target?.service ?? this.service
    this.#measure()
  }

  noteLoad ({ others, pace, steady, suspect = false, taken = [] }: Load): void {
    this.#suspectTold = suspect
    this.others = others
    this.pace = pace
    // A target without work says nothing; one whose pace is told without a steady one has changed.
    if (steady !== undefined || pace > 0) this.steady = steady
    for (const task of taken) this.#ungrant(task)
    this.#measure()
  }

  /** The agent says that it is full: nothing fits before its next word on its load. */
  noteFull (): void {
    this.free = { ...NO_RESOURCES }
  }

  add (placement: Placement): void {
    if (this.placements.size === 0) this.#busySince = placement.placedAt
    this.placements.set(placement.task.name, placement)
    if (placement.task.isolation !== Isolation.None) this.#suspects.add(placement)
    if (placement.task.isolation === Isolation.Alone) this.#reserving.add(placement)
    addTo(this.used, placement.needs)
    this.#measure()
  }

  remove (placement: Placement): void {
    if (!this.placements.delete(placement.task.name)) return
    this.#suspects.delete(placement)
    this.#reserving.delete(placement)
    subtractFrom(this.used, placement.needs)
    this.#measure()
  }

  /** Takes room for a task of another entry, until its start arrives there, the entry gives it back, or it never comes. */
  grant (task: string, needs: Resources, isolation: Isolation, now: number): void {
    this.#ungrant(task)
    this.#suspectTold ||= isolation !== Isolation.None
    this.#granted.set(task, { needs, at: now })
    addTo(this.#grantedSum, needs)
    this.#measure()
  }

  noteUse (entry: string, until: number): void {
    this.#usedUntil.set(entry, Math.max(until, this.#usedUntil.get(entry) ?? 0))
  }

  isUsedBy (entry: string, now: number): boolean {
    return (this.#usedUntil.get(entry) ?? Number.NEGATIVE_INFINITY) > now
  }

  takeBack (task: string): void {
    this.#ungrant(task)
    this.#measure()
  }

  expireGrants (now: number): void {
    for (const [task, { at }] of this.#granted) if (now - at >= GRANT_TIMEOUT_MILLISECONDS) this.takeBack(task)
  }

  #ungrant (task: string): void {
    const granted = this.#granted.get(task)
    if (granted === undefined) return
    this.#granted.delete(task)
    subtractFrom(this.#grantedSum, granted.needs)
  }

  /**
   * Sets the speed from its pace, against the middle one of the fleet; unknown counts as average. A target that was slow
   * gets one task at a time until a pace shows that it has recovered: left alone, it soon has no pace to tell, looks
   * average and empty, and drew the whole of the next wide job.
   */
  noteSpeed (middle: number, { learnsSpeed, probesSlow }: Pick<Policy, 'learnsSpeed' | 'probesSlow'>): void {
    if (!learnsSpeed || this.pace === 0 || middle === 0) {
      this.speed = 1
      return
    }
    this.speed = Math.min(MAX_SPEED, Math.max(MIN_SPEED, this.pace / middle))
    this.#probed = probesSlow && this.speed < PROBED_SPEED
  }

  /** Sets a speed that was inferred from what is known of all targets. */
  noteLearned (speed: number, probed: boolean): void {
    this.speed = Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed))
    this.#probed = probed
  }

  /** Time without a sign of life that was due: an agent pings seldom until it has got its first task. */
  silentFor (now: number): number {
    return now - Math.max(this.heardAt, this.placements.size > 0 ? this.#busySince : Number.NEGATIVE_INFINITY)
  }

  /** Silence after which the link is dialled anew, in milliseconds; it may be silent for good while a new one works. */
  deadAfter (contact: number): number {
    if (this.placements.size > 0) return contact
    return this.role === AllocationRole.Asks ? QUIET_CONTACT_MILLISECONDS * this.#quiet : IDLE_CONTACT_MILLISECONDS
  }

  /** Whether a start would reach a target that takes work. */
  reachable (now: number): boolean {
    const idle = this.role === AllocationRole.Asks ? QUIET_SUSPECT_MILLISECONDS * this.#quiet : IDLE_SUSPECT_MILLISECONDS
    const silence = this.placements.size > 0 ? SUSPECT_MILLISECONDS : idle
    return this.linked && this.announced && this.target !== undefined && this.takesWork(now) && !this.evacuated && this.silentFor(now) < silence
  }

  /** Whether its target stays, or is used while it leaves. */
  takesWork (now: number): boolean {
    return this.target?.leaving === false || now < this.usedUntil
  }

  /** Whether a task that runs for so long at an average target will have ended before the target is gone. */
  outlasts (expected: number, now: number): boolean {
    return this.target?.leaving !== true || now + expected / this.speed * LEAVING_ESTIMATE_FACTOR + LEAVING_RESERVE_MILLISECONDS < this.usedUntil
  }

  /** Whether this entry places tasks there now. */
  usable (now: number): boolean {
    return this.reachable(now) && now >= this.pausedUntil && this.health.trust !== Trust.Ejected
  }

  /** Whether its health allows one more task at a time, after some that are about to be placed. */
  hasPlace (planned = 0): boolean {
    return this.placements.size + planned < (this.#probed ? 1 : this.health.limit())
  }

  /** Whether another entry may be given room there: how far it trusts the target, it judges by what it has seen itself. */
  get hasRoomForOthers (): boolean {
    return !this.#probed || (this.placements.size === 0 && this.#granted.size === 0 && this.others.cpu === 0)
  }

  /** Whether a suspect is there, as far as known. */
  get hasSuspect (): boolean {
    return this.#suspectTold || this.#suspects.size > 0
  }

  #measure (): void {
    const { target, others, used } = this
    const granted = this.#grantedSum
    if (target === undefined || this.#reserving.size > 0) return this.noteFull()
    this.free = {
      cpu: target.capacity.cpu - others.cpu - used.cpu - granted.cpu,
      memory: target.capacity.memory - others.memory - used.memory - granted.memory,
      accelerators: target.capacity.accelerators - others.accelerators - used.accelerators - granted.accelerators
    }
  }
}
