/** Scheduling settings of a deployment, and the policy that they select. */
import type { Policy } from './policy.ts'

/** How the capacity of the targets is allocated. */
export enum CapacitySource {
  /** One entry allocates the capacity of all targets of a group. */
  Allocator = 'allocator',
  /** Each entry allocates the capacity of its own partition of the targets. */
  Partitions = 'partitions',
  /** Each entry chooses independently among all targets. */
  Independent = 'independent'
}

/** Demand and capacity by which an entry admits or refuses a job. */
export enum AdmissionScope {
  /** Its own queue. */
  Entry = 'entry',
  /** The demand and the capacity of all entries. */
  Fleet = 'fleet'
}

/** How the retry time of refused callers is chosen. */
export enum ReturnPolicy {
  /** Spread over an interval that grows with the load. */
  Spread = 'spread',
  /** When their share will have capacity, which is reserved for those that return at that time. */
  Reserved = 'reserved'
}

/** How a target with free capacity is chosen for a task. */
export enum PlacementRule {
  /** The one where it is expected to end first. */
  SoonestEnd = 'soonestEnd',
  /** One that is fast enough for the task; the fastest are left to tasks that need them. */
  Slack = 'slack'
}

/** Tasks that are placed at a target that has announced its shutdown. */
export enum LeavingTargetUse {
  None = 'none',
  /** Tasks that will end before it is gone. */
  ShortTasks = 'shortTasks'
}

/** What happens to the tasks of a target that crashes. */
export enum CrashHandling {
  /** They are restarted like any others. */
  Restart = 'restart',
  /** They are restarted isolated from each other, and given up after three crashes. */
  Isolate = 'isolate'
}

export interface SchedulingSettings {
  /** @default 'allocator' */
  room: CapacitySource
  /** @default 'entry' */
  admission: AdmissionScope
  /** @default 'spread' */
  returns: ReturnPolicy
  /** @default 'soonestEnd' */
  placement: PlacementRule
  /** @default 'none' */
  leavingTargets: LeavingTargetUse
  /** @default 'restart' */
  crashes: CrashHandling
  /** Shares of the queues under contention, by their priority from 0 on; queues beyond the list weigh 1. @default [] */
  weights: readonly number[]
}

export const DEFAULT_SCHEDULING: Readonly<SchedulingSettings> = {
  room: CapacitySource.Allocator,
  admission: AdmissionScope.Entry,
  returns: ReturnPolicy.Spread,
  placement: PlacementRule.SoonestEnd,
  leavingTargets: LeavingTargetUse.None,
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

/** Allowed values of each enumerated setting. */
const CHOICES: { readonly [Name in Exclude<keyof SchedulingSettings, 'weights'>]: readonly string[] } = {
  room: Object.values(CapacitySource),
  admission: Object.values(AdmissionScope),
  returns: Object.values(ReturnPolicy),
  placement: Object.values(PlacementRule),
  leavingTargets: Object.values(LeavingTargetUse),
  crashes: Object.values(CrashHandling)
}

/**
 * Decodes the section `scheduling` of the settings; settings that it omits have their defaults.
 *
 * @throws SchedulingSettingInvalid
 */
export function decodeScheduling (section: Readonly<Record<string, unknown>> = {}): SchedulingSettings {
  for (const [name, value] of Object.entries(section)) checkSetting(name, value)
  return { ...DEFAULT_SCHEDULING, ...section }
}

function checkSetting (name: string, value: unknown): void {
  if (name === 'weights') {
    if (Array.isArray(value) && value.every(weight => typeof weight === 'number' && weight > 0 && Number.isFinite(weight))) return
    throw new SchedulingSettingInvalid(name, 'a list of numbers above 0')
  }
  const allowed = (CHOICES as Readonly<Record<string, readonly string[] | undefined>>)[name]
  if (allowed === undefined) throw new SchedulingSettingInvalid(name, `nothing: the known ones are ${[...Object.keys(CHOICES), 'weights'].join(', ')}`)
  if (!allowed.includes(value as string)) throw new SchedulingSettingInvalid(name, `one of ${allowed.join(', ')}`)
}

/** The part of the policy that the settings select. */
export function policyOf ({ room, admission, returns, placement, leavingTargets, crashes }: SchedulingSettings): Partial<Policy> {
  return {
    sharesRoom: room !== CapacitySource.Independent,
    partitions: room === CapacitySource.Partitions,
    fleetAdmission: admission === AdmissionScope.Fleet,
    reservesReturns: returns === ReturnPolicy.Reserved,
    placesBySlack: placement === PlacementRule.Slack,
    learnsKinds: placement === PlacementRule.Slack,
    usesLeaving: leavingTargets === LeavingTargetUse.ShortTasks,
    isolatesSuspects: crashes === CrashHandling.Isolate
  }
}
