/** Messages between entries: capacity requests and grants, demand, evacuations and cancellations. */
import type { CancellationsMessage } from './cancellations.ts'
import type { EvacuationState } from './evacuations.ts'
import type { Step } from './job.ts'
import type { Isolation } from './messages.ts'

/** A task for which capacity is requested. */
export interface RequestedTask {
  name: string
  /** Agent whose target is used only when no other has capacity; empty for none. */
  avoid: string
  /** Absent for no isolation. */
  isolation?: Isolation
}

/** Tasks of one step for which capacity is requested. */
export interface RequestedStep extends Pick<Step, 'needs' | 'label' | 'rack' | 'perTarget'> {
  index: number
  /** Expected run time at an average target, in milliseconds. */
  expected: number
  tasks: RequestedTask[]
  /** Milliseconds until the tasks must end for the job to meet its objective; negative when that has passed. Earlier builds omit it. */
  endBy?: number
  /** Agents with placed tasks of the step, repeated for each task. */
  placed: string[]
}

/** Capacity granted to a task at the target of an agent. */
export interface Grant {
  task: string
  agent: string
}

/** Facts that an entry reports about itself. */
export interface MemberFacts {
  dataCentre: string
  /** Whether it may allocate capacity: it serves callers, is not stopping, and has been linked to targets for long enough. */
  able: boolean
  /** Base-2 logarithm of the speed of its processor, relative to other entries. */
  strength: number
  /** Event loop lag, in milliseconds; the entry holds no targets while it is high. Absent without partitions. */
  lag?: number
}

export type AllocationMessage =
  | { type: 'member' } & MemberFacts
  /**
   * Requests capacity of a group for tasks of a job; replaces an earlier request for the job. `within`: milliseconds until the
   * job would be refused; requests are served in this order. `waits`: the request waits for what does not fit now. `except`:
   * agents that the requesting entry cannot use.
   */
  | { type: 'ask', group: string, service: string, job: string, within: number, waits: boolean, steps: RequestedStep[], except: string[] }
  /** Withdraws the request for a job. */
  | { type: 'unask', job: string }
  /** Grants capacity. `waited`: how long the request waited for free capacity, in milliseconds. */
  | { type: 'grant', job: string, grants: Grant[], waited: number }
  /** Declines the rest of a request that does not fit and may not wait. `free`: as in `room`. */
  | { type: 'declined', job: string, group: string, free: number }
  /** Releases granted capacity that is not used. */
  | { type: 'release', grants: Grant[] }
  /** Keep-alive to an entry whose requests wait for free capacity. `crowded`: other jobs compete for the same capacity. */
  | { type: 'waiting', jobs: string[], crowded: boolean }
  /** Reports the free processors of a group of targets, in thousandths of a core; 0 while requests wait there. */
  | { type: 'room', group: string, free: number }

/** Demand of one queue as observed by an entry, in cores. */
export interface QueueDemand {
  /** Name of the queue. */
  name: string
  service: string
  priority: number
  /** Work that callers submit per second, whether refused or not. */
  offered: number
  /** Used by placed tasks. */
  running: number
  /** Needed by tasks that are admitted and not placed. */
  waiting: number
}

/** A caller that was refused with a time after which to retry. */
export interface ReturnNotice {
  /** Id of its job. */
  id: string
  /** Milliseconds until it is to retry. */
  within: number
  /** Number of times it was refused. */
  refusals: number
  /** Whether capacity is reserved for it. */
  booked: boolean
}

export type PeerMessage =
  | AllocationMessage
  /** Demand of the callers of the sender, and the callers that it asked to retry later. */
  | { type: 'demand', dataCentre: string, kinds: QueueDemand[], returns?: ReturnNotice[] }
  /** Evacuated data centres, as recorded by the sender. */
  | { type: 'evacuations', state: EvacuationState }
  /** Jobs cancelled by their callers. Earlier builds omit `complete` and `asks`, and ignore them. */
  | { type: 'cancel' } & CancellationsMessage
