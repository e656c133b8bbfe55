/** Scenarios: sequences of actions that together test one known weak point. */
import type { Actions } from './actions.ts'
import type { JobSet } from './jobset.ts'
import type { ProcessPicker } from './processpicker.ts'
import type { Step } from './schedule.ts'
import type { World } from './world.ts'
import { STORE } from './names.ts'

const MAX_AGENTS = 6
/**
 * Duration of a partition, in milliseconds: long enough for the side with the store to remove the entries
 * of the other side, and for that side to stop starting tasks.
 */
const SPLIT_DURATION = 5000

export interface ScenariosDependencies {
  world: World
  picker: ProcessPicker
  jobs: JobSet
  actions: Actions
  /** Number of agents at the start. */
  agents: number
}

/** Runs the scenarios that a step can select. */
export class Scenarios {
  readonly #world: World
  readonly #picker: ProcessPicker
  readonly #jobs: JobSet
  readonly #actions: Actions
  readonly #agents: number
  #addedTargets = 0

  constructor (dependencies: ScenariosDependencies) {
    this.#world = dependencies.world
    this.#picker = dependencies.picker
    this.#jobs = dependencies.jobs
    this.#actions = dependencies.actions
    this.#agents = dependencies.agents
  }

  crashRunnerAndResubmit (step: Step): void {
    const job = this.#jobs.submittedJob(step.first)
    this.#actions.crash(this.#picker.executor(job))
    this.#actions.resubmitLater(job, step)
  }

  crashBothAndResubmit (step: Step): void {
    const job = this.#jobs.submittedJob(step.first)
    const runner = this.#picker.executor(job)
    this.#actions.crash(this.#picker.agent(step.second))
    this.#actions.crash(runner)
    this.#actions.resubmitLater(job, step)
  }

  pauseRunnerAndResubmit (step: Step): void {
    const job = this.#jobs.submittedJob(step.first)
    this.#actions.pause(this.#picker.executor(job), 1200 + step.duration)
    this.#actions.resubmitLater(job, step)
  }

  replaceAgent (step: Step): void {
    const agent = this.#picker.agent(step.first)
    if (agent === undefined) return
    this.#actions.crash(agent)
    this.#actions.later(step.second * 10, () => this.#world.startAgent(agent.target))
  }

  joinAndSubmit (step: Step): void {
    this.#actions.join()
    const job = this.#jobs.job(step.second)
    this.#actions.submit(step.first, job)
    this.#actions.resubmitLater(job, step)
  }

  cutRunnerWithAgent (step: Step): void {
    const job = this.#jobs.submittedJob(step.first)
    const runner = this.#picker.executor(job)
    const companion = this.#picker.agent(step.second)
    if (runner === undefined || companion === undefined) return
    const separated = [runner.id, companion.id]
    const remaining = this.#picker.others(separated)
    this.#actions.separate(separated, [...remaining, STORE], 2000 + step.duration)
    this.#actions.later(2000, () => this.#actions.submitAt(remaining, job))
    this.#actions.resubmitLater(job, step)
  }

  /** Splits the processes so that the side without the store has at least one entry and one agent. */
  splitAndSubmitBoth (step: Step): void {
    const entries = this.#world.liveEntries().map(entry => entry.id)
    const agents = this.#world.liveAgents().map(agent => agent.id)
    if (entries.length < 2 || agents.length < 2) return
    const separated = [...entries.slice(0, 1 + step.first % (entries.length - 1)), ...agents.slice(0, 1 + step.second % (agents.length - 1))]
    const remaining = this.#picker.others(separated)
    const duration = SPLIT_DURATION + step.duration
    this.#actions.separate(separated, [...remaining, STORE], duration)
    const job = this.#jobs.scenarioJob()
    this.#actions.later(duration * 0.8, () => this.#actions.submitAt(separated, job))
    this.#actions.later(duration * 0.9, () => this.#actions.submitAt(remaining, job))
  }

  hideNewAgent (step: Step): void {
    const job = this.#jobs.scenarioJob()
    const runner = this.#picker.executor(job)
    if (runner === undefined || this.#world.liveAgents().length >= MAX_AGENTS) return
    const duration = 1500 + step.duration
    this.#addedTargets += 1
    const target = String(this.#agents + this.#addedTargets)
    const unreachable = this.#world.liveEntries().map(entry => entry.id).filter(id => id !== runner.id)
    this.#actions.separate([`agent-${target}`], unreachable, duration)
    this.#world.startAgent(target)
    this.#actions.later(400, () => this.#actions.submitAt(unreachable, job))
    this.#actions.later(400 + step.second * 10, () => this.#actions.crash(runner))
    this.#actions.later(700 + step.second * 10, () => this.#actions.submitAt(unreachable, job))
  }

  joinBehindCut (step: Step): void {
    const companion = this.#picker.agent(step.second)
    const newcomer = this.#actions.nextEntry
    if (companion === undefined || newcomer === undefined) return
    const separated = [...this.#world.liveEntries().map(entry => entry.id), companion.id]
    const duration = SPLIT_DURATION + step.duration
    this.#actions.separate(separated, [...this.#picker.others(separated), newcomer, STORE], duration)
    this.#actions.join()
    const job = this.#jobs.scenarioJob()
    this.#actions.later(duration * 0.8, () => this.#actions.submitAt(separated, job))
    this.#actions.later(duration * 0.9, () => this.#actions.submitAt([newcomer], job))
  }
}
