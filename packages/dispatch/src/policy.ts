/**
 * Switches and parameters of all scheduling mechanisms. Switching them off one at a time under the same
 * load measures the effect of each. Guards against running a task twice are not part of the policy.
 */
import {
  AFFINITY_MILLISECONDS, REMOTE_PENALTY_MILLISECONDS, LOAD_PENALTY_MILLISECONDS, PRIORITY_STEP_MILLISECONDS,
  QUIET_PING_PER_ENTRY_MILLISECONDS, REFUSAL_MARGIN_FRACTION, SCAN_LIMIT, FULL_MARGIN_SHARE
} from './defaults.ts'

export interface Policy {
  /** Refuses jobs that are unlikely to be in time while others wait. @default true */
  refusesLate: boolean
  /** Fraction of its objective that a job must have left before its latest start, to be kept while others wait. @default 0.3 */
  refusalMargin: number
  /** Fraction of recent jobs refused or late from which the whole margin applies; below, it shrinks. 0 always applies the whole margin. @default 0.1 */
  wholeMarginShare: number
  /** Maximum number of jobs that may be passed over in one decision. @default 8 */
  scanLimit: number
  /** Cost of a target in another data centre, in milliseconds. @default 60 */
  farPenalty: number
  /** Cost of a full target relative to an empty one, in milliseconds. @default 10 */
  loadPenalty: number
  /** Cost of a target without tasks of the same entry, for each linked entry, in milliseconds. @default 0.6 */
  affinity: number
  /** Learns the speed of each target. @default true */
  learnsSpeed: boolean
  /** Limits a slow target to one task at a time until it has recovered. @default true */
  probesSlow: boolean
  /** Includes the failure rate of a target in its cost. @default true */
  countsFailures: boolean
  /** Excludes a target that fails far more often than others for a while. @default true */
  ejects: boolean
  /** Moves tasks that make no or little progress to another target. @default true */
  movesSlow: boolean
  /** Pauses a target that rejected a start for a reason other than lack of capacity. @default true */
  pausesRefusing: boolean
  /** Excludes a target that is unresponsive for some time until it answers. @default true */
  withdrawsSilent: boolean
  /** Places no tasks at a target that reported it is full until its next load report. @default true */
  believesFull: boolean
  /** Adapts timeouts of orders to the answer times of the target. @default true */
  followsAnswers: boolean
  /** Polls at shorter intervals while answers are lost. @default true */
  pollsSooner: boolean
  /** Waiting time equivalent to one step of priority, in milliseconds. @default 100 */
  priorityStep: number
  /** Orders waiting jobs by the time until which they are kept instead of by their latest start. @default true */
  byKept: boolean
  /** Places jobs with the least work first, regardless of their objective. @default false */
  shortestFirst: boolean
  /** One entry allocates the capacity of a group of targets; the others send it requests. @default true */
  sharesRoom: boolean
  /** Ping interval of links that may be quiet, for each linked entry, in milliseconds. @default 60 */
  quietPing: number
  /** Agents report free capacity to entries before the next ping. @default true */
  tellsRoom: boolean
  /** Partitions the targets among the entries; each allocates the capacity of its own partition. @default false */
  partitions: boolean
  /** Admits jobs by the demand and capacity of all entries instead of the entry's own queue. @default false */
  fleetAdmission: boolean
  /** Sends refused callers the time at which their share will have capacity, and serves those that return at that time first. @default false */
  reservesReturns: boolean
  /** Places tasks that are in time on a slow target there, and leaves fast targets to other tasks. @default false */
  placesBySlack: boolean
  /** Assumes for a target without measurements the speed of its machine kind. @default false */
  learnsKinds: boolean
  /** Places tasks at a leaving target if they will end before it is gone. @default false */
  usesLeaving: boolean
  /** Restarts the tasks of a crashed target isolated from each other, and gives up a task after three crashes. @default false */
  isolatesSuspects: boolean
}

export const DEFAULT_POLICY: Readonly<Policy> = {
  refusesLate: true,
  refusalMargin: REFUSAL_MARGIN_FRACTION,
  wholeMarginShare: FULL_MARGIN_SHARE,
  scanLimit: SCAN_LIMIT,
  farPenalty: REMOTE_PENALTY_MILLISECONDS,
  loadPenalty: LOAD_PENALTY_MILLISECONDS,
  affinity: AFFINITY_MILLISECONDS,
  learnsSpeed: true,
  probesSlow: true,
  countsFailures: true,
  ejects: true,
  movesSlow: true,
  pausesRefusing: true,
  withdrawsSilent: true,
  believesFull: true,
  followsAnswers: true,
  pollsSooner: true,
  priorityStep: PRIORITY_STEP_MILLISECONDS,
  byKept: true,
  shortestFirst: false,
  sharesRoom: true,
  quietPing: QUIET_PING_PER_ENTRY_MILLISECONDS,
  tellsRoom: true,
  partitions: false,
  fleetAdmission: false,
  reservesReturns: false,
  placesBySlack: false,
  learnsKinds: false,
  usesLeaving: false,
  isolatesSuspects: false
}
