/** The traps: several deeds in a row that together try one weak place. */
import type { Deeds } from './deeds.ts'
import type { JobLot } from './joblot.ts'
import type { Picks } from './picks.ts'
import type { Step } from './schedule.ts'
import type { World } from './world.ts'
import { STORE } from './names.ts'

const MOST_AGENTS = 6
/** Long enough for the near side to remove the far one, and for the far one to stop starting tasks. */
const SPLIT = 5000

export interface TrapsParts {
  world: World
  picks: Picks
  jobs: JobLot
  deeds: Deeds
  /** Agents that the world begins with. */
  agents: number
}

export class Traps {
  readonly #world: World
  readonly #picks: Picks
  readonly #jobs: JobLot
  readonly #deeds: Deeds
  readonly #agents: number
  #newTargets = 0

  constructor (parts: TrapsParts) {
    this.#world = parts.world
    this.#picks = parts.picks
    this.#jobs = parts.jobs
    this.#deeds = parts.deeds
    this.#agents = parts.agents
  }

  crashRunnerAndResubmit (step: Step): void {
    const job = this.#jobs.lodgedJob(step.first)
    this.#deeds.crash(this.#picks.runner(job))
    this.#deeds.resubmitLater(job, step)
  }

  crashBothAndResubmit (step: Step): void {
    const job = this.#jobs.lodgedJob(step.first)
    const runner = this.#picks.runner(job)
    this.#deeds.crash(this.#picks.agent(step.second))
    this.#deeds.crash(runner)
    this.#deeds.resubmitLater(job, step)
  }

  pauseRunnerAndResubmit (step: Step): void {
    const job = this.#jobs.lodgedJob(step.first)
    this.#deeds.freeze(this.#picks.runner(job), 1200 + step.duration)
    this.#deeds.resubmitLater(job, step)
  }

  replaceAgent (step: Step): void {
    const agent = this.#picks.agent(step.first)
    if (agent === undefined) return
    this.#deeds.crash(agent)
    this.#deeds.later(step.second * 10, () => this.#world.startAgent(agent.target))
  }

  joinAndSubmit (step: Step): void {
    this.#deeds.join()
    const job = this.#jobs.job(step.second)
    this.#deeds.submit(step.first, job)
    this.#deeds.resubmitLater(job, step)
  }

  cutRunnerWithAgent (step: Step): void {
    const job = this.#jobs.lodgedJob(step.first)
    const runner = this.#picks.runner(job)
    const companion = this.#picks.agent(step.second)
    if (runner === undefined || companion === undefined) return
    const far = [runner.id, companion.id]
    const near = this.#picks.others(far)
    this.#deeds.separate(far, [...near, STORE], 2000 + step.duration)
    this.#deeds.later(2000, () => this.#deeds.submitAt(near, job))
    this.#deeds.resubmitLater(job, step)
  }

  /** The side without the store keeps some entries and one agent at least. */
  splitAndSubmitBoth (step: Step): void {
    const entries = this.#world.liveEntries().map(entry => entry.id)
    const agents = this.#world.liveAgents().map(agent => agent.id)
    if (entries.length < 2 || agents.length < 2) return
    const far = [...entries.slice(0, 1 + step.first % (entries.length - 1)), ...agents.slice(0, 1 + step.second % (agents.length - 1))]
    const near = this.#picks.others(far)
    const duration = SPLIT + step.duration
    this.#deeds.separate(far, [...near, STORE], duration)
    const job = this.#jobs.trapJob()
    this.#deeds.later(duration * 0.8, () => this.#deeds.submitAt(far, job))
    this.#deeds.later(duration * 0.9, () => this.#deeds.submitAt(near, job))
  }

  hideNewAgent (step: Step): void {
    const job = this.#jobs.trapJob()
    const runner = this.#picks.runner(job)
    if (runner === undefined || this.#world.liveAgents().length >= MOST_AGENTS) return
    const duration = 1500 + step.duration
    this.#newTargets += 1
    const target = String(this.#agents + this.#newTargets)
    const hidden = this.#world.liveEntries().map(entry => entry.id).filter(id => id !== runner.id)
    this.#deeds.separate([`agent-${target}`], hidden, duration)
    this.#world.startAgent(target)
    this.#deeds.later(400, () => this.#deeds.submitAt(hidden, job))
    this.#deeds.later(400 + step.second * 10, () => this.#deeds.crash(runner))
    this.#deeds.later(700 + step.second * 10, () => this.#deeds.submitAt(hidden, job))
  }

  joinBehindCut (step: Step): void {
    const companion = this.#picks.agent(step.second)
    const newcomer = this.#deeds.nextEntry
    if (companion === undefined || newcomer === undefined) return
    const far = [...this.#world.liveEntries().map(entry => entry.id), companion.id]
    const duration = SPLIT + step.duration
    this.#deeds.separate(far, [...this.#picks.others(far), newcomer, STORE], duration)
    this.#deeds.join()
    const job = this.#jobs.trapJob()
    this.#deeds.later(duration * 0.8, () => this.#deeds.submitAt(far, job))
    this.#deeds.later(duration * 0.9, () => this.#deeds.submitAt([newcomer], job))
  }
}
