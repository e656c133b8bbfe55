/**
 * Simulation of late binding by reservation. It is modelled only: the protocol between entries and
 * agents has no messages for it. For each task, an entry places two reservations in the queues of
 * agents, in round-robin order. An agent with a free slot requests a task from the entry of its
 * oldest reservation and holds the slot until the reply arrives. The reply is the longest task left
 * of the job, or none. Provider shares are not applied, which favours late binding in a comparison.
 */
import { EventLoop } from './eventloop.ts'
import { AGENT_LATENCY, CLIENT_LATENCY } from './latencies.ts'
import { seededRandom } from './random.ts'
import type { ModelJob } from './workload.ts'

const RESERVATIONS_PER_TASK = 2

/** Result of a simulation of late binding. */
export interface LateBindingResult {
  /** Response time by job key, in milliseconds. */
  responses: Map<string, number>
  /** Number of messages: reservations, requests for a task, replies with or without a task, and results. */
  messages: number
  /** Number of tasks that ran. */
  tasks: number
}

interface OpenJob {
  job: ModelJob
  /** Run times of the tasks not yet assigned, in ascending order. */
  runs: number[]
  /** Tasks that have not ended. */
  left: number
}

interface Agent {
  /** Free slots. */
  free: number
  reservations: OpenJob[]
}

/** Runs the jobs on `agentCount` agents with `slots` slots each. */
export function runLateBinding (jobs: readonly ModelJob[], agentCount: number, slots: number, seed: number): LateBindingResult {
  const loop = new EventLoop()
  const random = seededRandom(seed)
  const agents: Agent[] = Array.from({ length: agentCount }, () => ({ free: slots, reservations: [] }))
  const result: LateBindingResult = { responses: new Map(), messages: 0, tasks: 0 }

  function requestTask (agent: Agent): void {
    while (agent.free > 0) {
      const openJob = agent.reservations.shift()
      if (openJob === undefined) return
      agent.free -= 1
      result.messages += 2
      loop.after(2 * AGENT_LATENCY, () => assignTask(agent, openJob))
    }
  }

  function assignTask (agent: Agent, openJob: OpenJob): void {
    const run = openJob.runs.pop()
    if (run === undefined) {
      agent.free += 1
      requestTask(agent)
      return
    }
    result.tasks += 1
    loop.after(run, () => finishTask(agent, openJob))
  }

  function finishTask (agent: Agent, openJob: OpenJob): void {
    agent.free += 1
    result.messages += 1
    loop.after(AGENT_LATENCY, () => completeTask(openJob))
    requestTask(agent)
  }

  function completeTask (openJob: OpenJob): void {
    openJob.left -= 1
    if (openJob.left === 0) result.responses.set(openJob.job.key, loop.now + CLIENT_LATENCY - openJob.job.sentAt)
  }

  function receiveJob (job: ModelJob): void {
    const runs = job.tasks.map(task => task.run).sort((one, other) => one - other)
    const openJob = { job, runs, left: runs.length }
    const first = Math.floor(random() * agents.length)
    for (let number = 0; number < RESERVATIONS_PER_TASK * runs.length; number += 1) {
      const agent = agents[(first + number) % agents.length] as Agent
      result.messages += 1
      loop.after(AGENT_LATENCY, () => {
        agent.reservations.push(openJob)
        requestTask(agent)
      })
    }
  }

  for (const job of jobs) loop.at(job.sentAt + CLIENT_LATENCY, () => receiveJob(job))
  loop.run(Infinity)
  return result
}
