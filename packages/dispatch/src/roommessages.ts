/** Messages between entries: about the room at the targets, which one entry gives out and the others ask for, evacuations and cancellations. */
import type { EvacuationState } from './evacuations.ts'
import type { Step } from './job.ts'
import type { Isolation } from './messages.ts'

/** A task that needs room. */
export interface RoomTask {
  name: string
  /** Agent whose target is taken only when no other has room; empty for none. */
  avoid: string
  /** Left out for none. */
  isolation?: Isolation
}

/** Tasks of one step that need room. */
export interface RoomStep extends Pick<Step, 'needs' | 'label' | 'rack' | 'perTarget'> {
  index: number
  /** Expected run time at an average target, in milliseconds. */
  expected: number
  tasks: RoomTask[]
  /** Milliseconds until the tasks must have ended for the job to be in time; negative when that has passed. Builds before it leave it out. */
  endBy?: number
  /** Agents where tasks of the step are placed already, each as often as it has one. */
  placed: string[]
}

/** Room given to a task. */
export interface Grant {
  task: string
  agent: string
}

/** What an entry tells of itself. */
export interface MemberFacts {
  dataCentre: string
  /** Whether it may give out room: it serves, is not stopping, and knows the targets. */
  able: boolean
  /** Speed of its processor against others, in doublings. */
  strength: number
  /** Lateness of its ticks, in milliseconds; it holds no targets while that is long. Absent where no partitions are held. */
  lag?: number
}

export type RoomMessage =
  | { type: 'member' } & MemberFacts
  /**
   * Asks for room at the targets of a group, in place of an earlier request for the job. `within`: milliseconds until the
   * job would be refused, by which requests are ordered. `waits`: what does not fit now stays asked for. `except`: agents
   * that the asking entry cannot use.
   */
  | { type: 'ask', group: string, service: string, job: string, within: number, waits: boolean, steps: RoomStep[], except: string[] }
  /** The request is of no use any more. */
  | { type: 'unask', job: string }
  /** `waited`: how long the request stood there for want of room, in milliseconds. */
  | { type: 'grant', job: string, grants: Grant[], waited: number }
  /** What is still asked for does not fit, and the request did not want to wait. `free`: as in `room`. */
  | { type: 'declined', job: string, group: string, free: number }
  /** Granted room that is not used. */
  | { type: 'release', grants: Grant[] }
  /** Sign of life to an entry whose requests wait for want of room. `crowded`: other jobs want the same room. */
  | { type: 'waiting', jobs: string[], crowded: boolean }
  /** Free processors of a group of targets, in thousandths of a core; 0 while requests wait there. */
  | { type: 'room', group: string, free: number }

/** What an entry sees of the jobs of one queue. In cores. */
export interface KindDemand {
  /** Name of the queue. */
  name: string
  service: string
  priority: number
  /** Work that callers bring in each second, refused or not. */
  offered: number
  /** Held by tasks that were placed. */
  running: number
  /** Wanted by tasks that are admitted and not placed. */
  waiting: number
}

/** A caller that was refused and told when to come back. */
export interface ReturnNotice {
  /** Of its job. */
  id: string
  /** Milliseconds until it is to come. */
  within: number
  /** How often it was refused. */
  refusals: number
  /** Room is kept for it. */
  booked: boolean
}

export type PeerMessage =
  | RoomMessage
  /** What the callers of the sender want, and which were told to come back. */
  | { type: 'demand', dataCentre: string, kinds: KindDemand[], returns?: ReturnNotice[] }
  /** Evacuated data centres, as the sender knows them. */
  | { type: 'evacuations', state: EvacuationState }
  /** Jobs that their callers have cancelled, and how long ago, in milliseconds. */
  | { type: 'cancel', jobs: Array<{ job: string, ago: number }> }
