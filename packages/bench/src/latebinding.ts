/**
 * Late binding by reservation, modelled: the inner protocol has no messages for it. For each task an
 * entry puts two reservations into the queues of agents, spread evenly; an agent whose slot comes
 * free asks the entry of its oldest reservation for a task and holds the slot until the answer
 * comes, which is the longest task left or none. Provider shares are not applied, which favours it.
 */
import { EventLoop } from './eventloop.ts'
import { AGENT_LEG, CLIENT_LEG } from './latencies.ts'
import { seededRandom } from './random.ts'
import type { ModelJob } from './workload.ts'

const RESERVATIONS_PER_TASK = 2

/** What a run of late binding yields. */
export interface LateBindingResult {
  /** Response time by job key, in milliseconds. */
  responses: Map<string, number>
  /** Items sent: reservations, requests for a task, tasks or refusals to send one, and answers. */
  messages: number
  tasks: number
}

interface OpenJob {
  job: ModelJob
  /** Run times not yet handed out, the longest last. */
  runs: number[]
  left: number
}

interface Agent {
  free: number
  reservations: OpenJob[]
}

/** Runs the jobs over that many agents. */
export function runLateBinding (jobs: readonly ModelJob[], agentCount: number, slots: number, seed: number): LateBindingResult {
  const loop = new EventLoop()
  const random = seededRandom(seed)
  const agents: Agent[] = Array.from({ length: agentCount }, () => ({ free: slots, reservations: [] }))
  const result: LateBindingResult = { responses: new Map(), messages: 0, tasks: 0 }

  function ask (agent: Agent): void {
    while (agent.free > 0) {
      const open = agent.reservations.shift()
      if (open === undefined) return
      agent.free -= 1
      result.messages += 2
      loop.after(2 * AGENT_LEG, () => handOut(agent, open))
    }
  }

  function handOut (agent: Agent, open: OpenJob): void {
    const run = open.runs.pop()
    if (run === undefined) {
      agent.free += 1
      ask(agent)
      return
    }
    result.tasks += 1
    loop.after(run, () => end(agent, open))
  }

  function end (agent: Agent, open: OpenJob): void {
    agent.free += 1
    result.messages += 1
    loop.after(AGENT_LEG, () => finish(open))
    ask(agent)
  }

  function finish (open: OpenJob): void {
    open.left -= 1
    if (open.left === 0) result.responses.set(open.job.key, loop.now + CLIENT_LEG - open.job.sentAt)
  }

  function arrive (job: ModelJob): void {
    const runs = job.tasks.map(task => task.run).sort((one, other) => one - other)
    const open = { job, runs, left: runs.length }
    const first = Math.floor(random() * agents.length)
    for (let number = 0; number < RESERVATIONS_PER_TASK * runs.length; number += 1) {
      const agent = agents[(first + number) % agents.length] as Agent
      result.messages += 1
      loop.after(AGENT_LEG, () => {
        agent.reservations.push(open)
        ask(agent)
      })
    }
  }

  for (const job of jobs) loop.at(job.sentAt + CLIENT_LEG, () => arrive(job))
  loop.run(Infinity)
  return result
}
