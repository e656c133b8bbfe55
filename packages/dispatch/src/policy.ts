/**
 * Every mechanism that decides, in one place: what it gains is measured by switching it off, one at
 * a time, under the same load. Guards against two runs of a task are not policy, and stand apart.
 */
import {
  AFFINITY_MILLISECONDS, REMOTE_PENALTY_MILLISECONDS, LOAD_PENALTY_MILLISECONDS, PRIORITY_STEP_MILLISECONDS,
  QUIET_PING_PER_ENTRY_MILLISECONDS, REFUSAL_MARGIN_FRACTION, SCAN_LIMIT, FULL_MARGIN_SHARE
} from './defaults.ts'

export interface Policy {
  /** Jobs that will hardly be in time are refused while others wait. @default true */
  refusesLate: boolean
  /** Part of its objective that a job must have left before it has to begin, to be kept while others wait. @default 0.3 */
  refusalMargin: number
  /** Part of the jobs refused or late lately at which the whole margin applies, and less of it below; 0 for always the whole. @default 0.1 */
  wholeMarginShare: number
  /** Jobs that may be passed over in one decision. @default 8 */
  scanLimit: number
  /** What another data centre is worth avoiding, in milliseconds. @default 60 */
  farPenalty: number
  /** What a full target is worth avoiding against an empty one, in milliseconds. @default 10 */
  loadPenalty: number
  /** What a target with tasks of the same entry is worth, for each linked entry, in milliseconds. @default 0.6 */
  affinity: number
  /** A target's speed is learned. @default true */
  learnsSpeed: boolean
  /** A target that was slow gets one task at a time until it has recovered. @default true */
  probesSlow: boolean
  /** Failures count against a target in a choice. @default true */
  countsFailures: boolean
  /** A target that fails far more than others is left out for a while. @default true */
  ejects: boolean
  /** Tasks that stand still or crawl are moved. @default true */
  movesSlow: boolean
  /** A target that refused for other reasons than its room is left alone for a moment. @default true */
  pausesRefusing: boolean
  /** A target that is silent for some time is offered to nobody until it answers. @default true */
  withdrawsSilent: boolean
  /** A target that says it is full gets nothing before its next word on its load. @default true */
  believesFull: boolean
  /** Time limits of orders follow the target's answers. @default true */
  followsAnswers: boolean
  /** Polls wait shorter while answers are lost. @default true */
  pollsSooner: boolean
  /** Waiting time that a step of priority is worth, in milliseconds. @default 100 */
  priorityStep: number
  /** Jobs wait in the order of the times until which they are kept, not of the latest times to begin. @default true */
  byKept: boolean
  /** Jobs with little work go first, whatever their objective. @default false */
  shortestFirst: boolean
  /** One entry gives out the room of a group of targets, the others ask it. @default true */
  sharesRoom: boolean
  /** Interval of pings on links that may be quiet, for each linked entry, in milliseconds. @default 60 */
  quietPing: number
  /** Agents tell entries of room before their next ping. @default true */
  tellsRoom: boolean
  /** Targets are partitioned among the entries, and each gives out the room of its own partition. @default false */
  partitions: boolean
  /** Admission goes by the demand and capacity of all entries, not by the own queue alone. @default false */
  fleetAdmission: boolean
  /** Refused callers are told when their share will have room, and go first when they return as told. @default false */
  reservesReturns: boolean
  /** Tasks that are in time on a slow target leave the fast ones to those that are not. @default false */
  placesBySlack: boolean
  /** The speed of a target that nobody knows yet is taken from others of its kind. @default false */
  learnsKinds: boolean
  /** A leaving target gets tasks that will end before it is gone. @default false */
  usesLeaving: boolean
  /** Tasks that were on a target when it crashed are started again apart from each other, and given up after two crashes. @default false */
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
