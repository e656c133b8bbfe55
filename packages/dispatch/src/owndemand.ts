/** The demand of this entry's callers, and the cores that its jobs hold. */
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

/** Cores that all tasks of a job hold if they run at the same time. */
export function coresWanted ({ steps }: Pick<JobRequest, 'steps'>): number {
  return steps.reduce((sum, { count, needs }) => sum + count * needs.cpu, 0) / THOUSANDTHS
}

/** Cores that the tasks of a job wait for. */
export function coresWaiting (job: Job): number {
  let cpu = 0
  for (const task of job.tasks) if (task.state === TaskState.Queued) cpu += (job.request.steps[task.step] as Step).needs.cpu
  return cpu / THOUSANDTHS
}

/** Cores of the targets, and those used there by the tasks of all entries. */
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
 * Fraction of the cores in use that is released each millisecond. While none are in use, it is computed from the
 * demand.
 *
 * @param meanRun mean run time of a queue's tasks, in milliseconds
 */
export function turnoverOf (demands: readonly QueueDemand[], meanRun: (name: string, service: string) => number): number {
  const idle = demands.every(({ running }) => running === 0)
  let held = 0
  let freed = 0
  for (const { name, service, running, offered } of demands) {
    const cores = idle ? offered : running
    held += cores
    freed += cores / Math.max(1, meanRun(name, service))
  }
  return held === 0 ? 0 : freed / held
}

/** Demand of each queue at this entry. */
export function demandOf (queues: readonly Queue[], meter: DemandMeter, agents: readonly AgentView[], waiting: JobQueue | undefined, now: number): QueueDemand[] {
  const demands = new Map(queues.map(({ name, service, priority }) => [name, { name, service, priority, offered: meter.rate(name, now), running: 0, waiting: 0 }]))
  for (const { placements } of agents) {
    for (const { task, needs } of placements.values()) {
      const demand = demands.get(task.job.request.queue.name)
      if (demand !== undefined) demand.running += needs.cpu / THOUSANDTHS
    }
  }
  for (const job of waiting?.jobs() ?? []) {
    const demand = demands.get(job.request.queue.name)
    if (demand !== undefined) demand.waiting += coresWaiting(job)
  }
  return [...demands.values()]
}
