/** Scheduling settings of a deployment, decoded into the policy that they stand for. */
import type { Policy } from './policy.ts'

/** Who gives out the room at the targets. */
export enum RoomSource {
  /** One entry gives out the room of all targets of a group. */
  Allocator = 'allocator',
  /** Each entry gives out the room of its own partition of the targets. */
  Partitions = 'partitions',
  /** Each entry chooses by itself among all targets. */
  Independent = 'independent'
}

/** What an entry goes by when it admits or refuses a job. */
export enum AdmissionScope {
  /** Its own queue. */
  Entry = 'entry',
  /** The demand and the capacity of all entries. */
  Fleet = 'fleet'
}

/** How refused callers are told when to come back. */
export enum ReturnPolicy {
  /** Spread over a time that grows with the pressure. */
  Spread = 'spread',
  /** When their share will have room, which is kept for those that return as told. */
  Reserved = 'reserved'
}

/** Which of the targets with room a task goes to. */
export enum PlacementRule {
  /** The one where it is expected to end first. */
  SoonestEnd = 'soonestEnd',
  /** One that is fast enough for it; the fastest are left to tasks that need them. */
  Slack = 'slack'
}

/** What a target that has announced its end is used for. */
export enum LeavingUse {
  None = 'none',
  /** Tasks that will have ended before it is gone. */
  ShortTasks = 'shortTasks'
}

/** What follows when a target crashes under its tasks. */
export enum CrashHandling {
  /** They are started again like any others. */
  Restart = 'restart',
  /** They are started again apart from each other, and given up after two crashes. */
  Isolate = 'isolate'
}

export interface SchedulingSettings {
  /** @default 'allocator' */
  room: RoomSource
  /** @default 'entry' */
  admission: AdmissionScope
  /** @default 'spread' */
  returns: ReturnPolicy
  /** @default 'soonestEnd' */
  placement: PlacementRule
  /** @default 'none' */
  leavingTargets: LeavingUse
  /** @default 'restart' */
  crashes: CrashHandling
  /** Shares of the queues under contention, by their priority from 0 on; queues beyond the list weigh 1. @default [] */
  weights: readonly number[]
}

export const DEFAULT_SCHEDULING: Readonly<SchedulingSettings> = {
  room: RoomSource.Allocator,
  admission: AdmissionScope.Entry,
  returns: ReturnPolicy.Spread,
  placement: PlacementRule.SoonestEnd,
  leavingTargets: LeavingUse.None,
  crashes: CrashHandling.Restart,
  weights: []
}

/** A scheduling setting is unknown or has a value that it cannot take. */
export class SchedulingSettingInvalid extends Error {
  readonly code = 'schedulingSettingInvalid'

  constructor (name: string, allowed: string) {
    super(`scheduling.${name} cannot be used: it takes ${allowed}`)
    this.name = 'SchedulingSettingInvalid'
  }
}

/** What each setting that names a choice may be. */
const CHOICES: { readonly [Name in Exclude<keyof SchedulingSettings, 'weights'>]: readonly string[] } = {
  room: Object.values(RoomSource),
  admission: Object.values(AdmissionScope),
  returns: Object.values(ReturnPolicy),
  placement: Object.values(PlacementRule),
  leavingTargets: Object.values(LeavingUse),
  crashes: Object.values(CrashHandling)
}

/**
 * Reads the section `scheduling` of the settings; what it leaves out keeps its default.
 *
 * @throws SchedulingSettingInvalid
 */
export function decodeScheduling (section: Readonly<Record<string, unknown>> = {}): SchedulingSettings {
  for (const [name, value] of Object.entries(section)) check(name, value)
  return { ...DEFAULT_SCHEDULING, ...section }
}

function check (name: string, value: unknown): void {
  if (name === 'weights') {
    if (Array.isArray(value) && value.every(weight => typeof weight === 'number' && weight > 0 && Number.isFinite(weight))) return
    throw new SchedulingSettingInvalid(name, 'a list of numbers above 0')
  }
  const allowed = (CHOICES as Readonly<Record<string, readonly string[] | undefined>>)[name]
  if (allowed === undefined) throw new SchedulingSettingInvalid(name, `nothing: the known ones are ${[...Object.keys(CHOICES), 'weights'].join(', ')}`)
  if (!allowed.includes(value as string)) throw new SchedulingSettingInvalid(name, `one of ${allowed.join(', ')}`)
}

/** The policy that the settings stand for. */
export function policyOf ({ room, admission, returns, placement, leavingTargets, crashes }: SchedulingSettings): Partial<Policy> {
  return {
    sharesRoom: room !== RoomSource.Independent,
    partitions: room === RoomSource.Partitions,
    fleetAdmission: admission === AdmissionScope.Fleet,
    reservesReturns: returns === ReturnPolicy.Reserved,
    placesBySlack: placement === PlacementRule.Slack,
    learnsKinds: placement === PlacementRule.Slack,
    usesLeaving: leavingTargets === LeavingUse.ShortTasks,
    isolatesSuspects: crashes === CrashHandling.Isolate
  }
}
