/**
 * The ideal that response times are measured against: one scheduler that knows every true run time
 * and the state of every slot at once, owes no shares, loses no time between two tasks of a slot
 * and pays only the network legs that no design can avoid (caller to entry and back, entry to agent
 * and back). It serves jobs in the same order as the product, short before long without
 * starvation, and within a job the longest task first, and never leaves a slot idle while a task
 * waits. It is a lower bound for what any dispatcher with this order of jobs can reach on the
 * average; a single job can come out below it when others were slower.
 */
import { IndexedHeap } from '@amaranthmast/coordination/heap'
import { OVERTAKING_FACTOR } from '@amaranthmast/coordination/schedulingdefaults'
import { EventLoop } from './eventloop.ts'
import { AGENT_LEG, CLIENT_LEG } from './latencies.ts'
import type { ModelJob } from './workload.ts'

interface WaitingTask {
  job: ModelJob
  run: number
}

/** Response time of each job under the ideal, in milliseconds, by job key. */
export function idealResponses (jobs: readonly ModelJob[], slots: number, orderFactor = OVERTAKING_FACTOR): Map<string, number> {
  const loop = new EventLoop()
  const waiting = new IndexedHeap<WaitingTask>()
  const left = new Map<string, number>()
  const responses = new Map<string, number>()
  let free = slots

  function startWaiting (): void {
    while (free > 0 && waiting.size > 0) {
      const task = waiting.pop() as WaitingTask
      free -= 1
      loop.after(task.run, () => end(task))
    }
  }

  function end (task: WaitingTask): void {
    free += 1
    const rest = (left.get(task.job.key) as number) - 1
    left.set(task.job.key, rest)
    if (rest === 0) responses.set(task.job.key, loop.now + AGENT_LEG + CLIENT_LEG - task.job.sentAt)
    startWaiting()
  }

  function arrive (job: ModelJob): void {
    const runs = job.tasks.map(task => task.run)
    const work = runs.reduce((sum, run) => sum + run, 0)
    const key = loop.now + orderFactor * Math.max(Math.max(...runs), work / slots)
    left.set(job.key, runs.length)
    for (const run of runs) waiting.set({ job, run }, key - run * 1e-7)
    startWaiting()
  }

  for (const job of jobs) loop.at(job.sentAt + CLIENT_LEG + AGENT_LEG, () => arrive(job))
  loop.run(Infinity)
  return responses
}

/** Response time of the job on an empty fleet: no schedule whatever can go below it. */
export function emptyFleetResponse (job: ModelJob, slots: number): number {
  const runs = job.tasks.map(task => task.run)
  const work = runs.reduce((sum, run) => sum + run, 0)
  return Math.max(Math.max(...runs), work / slots) + 2 * (CLIENT_LEG + AGENT_LEG)
}
