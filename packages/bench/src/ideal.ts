/**
 * The ideal scheduler that response times are compared with. It has exact run times and the current
 * state of every slot, applies no provider shares, and starts the next task of a slot without delay.
 * The only latencies are those that no design can avoid: caller to entry, entry to agent, and back.
 *
 * Jobs are served in the same order as by the real scheduler: short before long without starvation,
 * and within a job the longest task first. No slot is idle while a task waits. The mean response
 * time is a lower bound for any dispatcher with this order of jobs; a single job can have a shorter
 * response than here when other jobs are slower.
 */
import { IndexedHeap } from '@amaranthmast/coordination/heap'
import { OVERTAKING_FACTOR } from '@amaranthmast/coordination/schedulingdefaults'
import { EventLoop } from './eventloop.ts'
import { AGENT_LATENCY, CLIENT_LATENCY } from './latencies.ts'
import type { ModelJob } from './workload.ts'

interface WaitingTask {
  job: ModelJob
  run: number
}

/** Returns the response time of each job under the ideal scheduler, in milliseconds, by job key. */
export function idealResponses (jobs: readonly ModelJob[], slots: number, orderFactor = OVERTAKING_FACTOR): Map<string, number> {
  const loop = new EventLoop()
  const waiting = new IndexedHeap<WaitingTask>()
  const remainingTasks = new Map<string, number>()
  const responses = new Map<string, number>()
  let freeSlots = slots

  function startWaiting (): void {
    while (freeSlots > 0 && waiting.size > 0) {
      const task = waiting.pop() as WaitingTask
      freeSlots -= 1
      loop.after(task.run, () => finishTask(task))
    }
  }

  function finishTask (task: WaitingTask): void {
    freeSlots += 1
    const remaining = (remainingTasks.get(task.job.key) as number) - 1
    remainingTasks.set(task.job.key, remaining)
    if (remaining === 0) responses.set(task.job.key, loop.now + AGENT_LATENCY + CLIENT_LATENCY - task.job.sentAt)
    startWaiting()
  }

  function receiveJob (job: ModelJob): void {
    const runs = job.tasks.map(task => task.run)
    const work = runs.reduce((sum, run) => sum + run, 0)
    const priority = loop.now + orderFactor * Math.max(Math.max(...runs), work / slots)
    remainingTasks.set(job.key, runs.length)
    for (const run of runs) waiting.set({ job, run }, priority - run * 1e-7)
    startWaiting()
  }

  for (const job of jobs) loop.at(job.sentAt + CLIENT_LATENCY + AGENT_LATENCY, () => receiveJob(job))
  loop.run(Infinity)
  return responses
}

/** Returns the response time of a job on an empty fleet, in milliseconds. No schedule can be faster. */
export function emptyFleetResponse (job: ModelJob, slots: number): number {
  const runs = job.tasks.map(task => task.run)
  const work = runs.reduce((sum, run) => sum + run, 0)
  return Math.max(Math.max(...runs), work / slots) + 2 * (CLIENT_LATENCY + AGENT_LATENCY)
}
