/** What the callers of this entry want, and what its jobs hold. */
import type { DemandMeter } from './demandmeter.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, JobRequest, Step } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Queue } from './queues.ts'
import type { QueueDemand } from './peermessages.ts'
import { TaskState } from './job.ts'

const THOUSANDTHS = 1000

/** Work of a job, in cores times milliseconds. */
export function workOf ({ steps }: Pick<JobRequest, 'steps'>, expected: readonly number[]): number {
  return steps.reduce((sum, { count, needs }, index) => sum + count * needs.cpu * (expected[index] ?? 0), 0) / THOUSANDTHS
}

/** Cores that all tasks of a job hold if they run at one time. */
export function coresWanted ({ steps }: Pick<JobRequest, 'steps'>): number {
  return steps.reduce((sum, { count, needs }) => sum + count * needs.cpu, 0) / THOUSANDTHS
}

/** Cores that the tasks of a job wait for. */
export function coresWaiting (job: Job): number {
  let cpu = 0
  for (const task of job.tasks) if (task.state === TaskState.Queued) cpu += (job.request.steps[task.step] as Step).needs.cpu
  return cpu / THOUSANDTHS
}

/** Cores of the targets, and those in use there by the tasks of all entries. */
export function coresOf (agents: readonly AgentView[]): { capacity: number, used: number } {
  let capacity = 0
  let used = 0
  for (const { target, used: own, others } of agents) {
    capacity += target?.capacity.cpu ?? 0
    used += own.cpu + others.cpu
  }
  return { capacity: capacity / THOUSANDTHS, used: used / THOUSANDTHS }
}

/**
 * How soon cores in use come free, in parts of them a millisecond. While none are, by what callers want.
 *
 * @param meanRun of a queue's tasks, in milliseconds
 */
export function turnoverOf (kinds: readonly QueueDemand[], meanRun: (name: string, service: string) => number): number {
  const idle = kinds.every(({ running }) => running === 0)
  let held = 0
  let freed = 0
  for (const { name, service, running, offered } of kinds) {
    const cores = idle ? offered : running
    held += cores
    freed += cores / Math.max(1, meanRun(name, service))
  }
  return held === 0 ? 0 : freed / held
}

/** What each of the queues has here. */
export function demandOf (queues: readonly Queue[], meter: DemandMeter, agents: readonly AgentView[], waiting: JobQueue | undefined, now: number): QueueDemand[] {
  const kinds = new Map(queues.map(({ name, service, priority }) => [name, { name, service, priority, offered: meter.rate(name, now), running: 0, waiting: 0 }]))
  for (const { placements } of agents) {
    for (const { task, needs } of placements.values()) {
      const kind = kinds.get(task.job.request.queue.name)
      if (kind !== undefined) kind.running += needs.cpu / THOUSANDTHS
    }
  }
  for (const job of waiting?.jobs() ?? []) {
    const kind = kinds.get(job.request.queue.name)
    if (kind !== undefined) kind.waiting += coresWaiting(job)
  }
  return [...kinds.values()]
}
