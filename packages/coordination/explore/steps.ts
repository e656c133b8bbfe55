/** Runs the steps of a schedule. */
import type { Violation } from './invariants.ts'
import type { Guards } from './processes.ts'
import type { Schedule, Step } from './schedule.ts'
import { Actions } from './actions.ts'
import { JobSet } from './jobset.ts'
import { STORE } from './names.ts'
import { pick, ProcessPicker } from './processpicker.ts'
import { Recovery } from './recovery.ts'
import { Action } from './schedule.ts'
import { Scenarios } from './traps.ts'
import { World } from './world.ts'

const WARM_UP = 2600
/** Interval at which pending delayed actions are checked, in milliseconds. */
const PENDING_CHECK_INTERVAL = 250

/** Runs one schedule. Returns the first violation, or undefined, and the simulated system. */
export function runSchedule (schedule: Schedule, guards: Guards, trace?: (line: string) => void): { violation: Violation | undefined, world: World } {
  const world = new World(schedule, guards, trace)
  const runner = new ScheduleRunner(world, schedule)
  return { violation: runner.run(), world }
}

class ScheduleRunner {
  readonly #world: World
  readonly #schedule: Schedule
  readonly #jobs: JobSet
  readonly #picker: ProcessPicker
  readonly #actions: Actions
  readonly #scenarios: Scenarios
  readonly #recovery: Recovery

  readonly #handlers: Record<Action, (step: Step) => void> = {
    [Action.Submit]: step => this.#actions.submit(step.first, this.#jobs.job(step.second)),
    [Action.Resubmit]: step => this.#actions.submit(step.first, this.#jobs.submittedJob(step.second)),
    [Action.SubmitOther]: step => this.#actions.submit(step.first, this.#jobs.other(this.#jobs.submittedJob(step.second))),
    [Action.Cancel]: step => {
      const entry = this.#picker.entry(step.first)
      const job = this.#jobs.submittedJob(step.second)
      if (entry !== undefined && job !== undefined) this.#world.callers.cancel(entry, job)
    },
    [Action.LookUp]: step => {
      const entry = this.#picker.entry(step.first)
      const job = this.#jobs.submittedJob(step.second)
      if (entry !== undefined && job !== undefined) this.#world.callers.lookUp(entry, job)
    },
    [Action.CallerGone]: step => {
      const request = pick(this.#world.checker.open(), step.first)
      if (request !== undefined) this.#world.callers.callerGone(request.name)
    },
    [Action.CrashEntry]: step => this.#actions.crash(this.#picker.entry(step.first)),
    [Action.CrashAgent]: step => this.#actions.crash(this.#picker.agent(step.first)),
    [Action.RestartEntry]: step => this.#actions.restartEntry(step.first),
    [Action.RestartAgent]: step => this.#world.startAgent(String(step.first % this.#schedule.agents + 1)),
    [Action.JoinEntry]: () => this.#actions.join(),
    [Action.StopEntry]: step => {
      const entry = this.#picker.entry(step.first)
      if (entry !== undefined) this.#world.stopEntry(entry)
    },
    [Action.StopAgent]: step => {
      const agent = this.#picker.agent(step.first)
      if (agent !== undefined) this.#world.stopAgent(agent)
    },
    [Action.PauseEntry]: step => this.#actions.pause(this.#picker.entry(step.first), step.duration),
    [Action.PauseAgent]: step => this.#actions.pause(this.#picker.agent(step.first), step.duration),
    [Action.Cut]: step => this.#actions.cut(step, true),
    [Action.CutOneWay]: step => this.#actions.cut(step, false),
    [Action.CutStore]: step => {
      const process = this.#picker.any(step.first)
      if (process === undefined) return
      this.#world.network.cut(process.id, STORE, step.duration)
      if (step.second % 2 === 0) this.#world.network.cut(STORE, process.id, step.duration)
    },
    [Action.BreakLink]: step => {
      const left = this.#picker.any(step.first)
      const right = this.#picker.any(step.second)
      if (left !== undefined && right !== undefined) this.#world.network.breakLink(left.instance, right.instance)
    },
    [Action.Slow]: step => this.#world.network.slow(step.duration),
    [Action.Repeat]: step => this.#world.network.repeat(step.duration),
    [Action.StoreDown]: step => this.#world.store.goDown(step.duration),
    [Action.StoreSlow]: step => this.#world.store.goSlow(step.duration),
    [Action.StoreLossy]: step => this.#world.store.loseAnswers(step.duration),
    [Action.CrashRunnerAndResubmit]: step => this.#scenarios.crashRunnerAndResubmit(step),
    [Action.CrashBothAndResubmit]: step => this.#scenarios.crashBothAndResubmit(step),
    [Action.PauseRunnerAndResubmit]: step => this.#scenarios.pauseRunnerAndResubmit(step),
    [Action.CutRunnerWithAgent]: step => this.#scenarios.cutRunnerWithAgent(step),
    [Action.ReplaceAgent]: step => this.#scenarios.replaceAgent(step),
    [Action.JoinAndSubmit]: step => this.#scenarios.joinAndSubmit(step),
    [Action.SplitAndSubmitBoth]: step => this.#scenarios.splitAndSubmitBoth(step),
    [Action.HideNewAgent]: step => this.#scenarios.hideNewAgent(step),
    [Action.JoinBehindCut]: step => this.#scenarios.joinBehindCut(step),
    [Action.Wait]: () => {}
  }

  constructor (world: World, schedule: Schedule) {
    const { entries, agents } = schedule
    const jobs = new JobSet(world, schedule)
    const picker = new ProcessPicker(world)
    const actions = new Actions({ world, picker, jobs, entries })
    this.#world = world
    this.#schedule = schedule
    this.#jobs = jobs
    this.#picker = picker
    this.#actions = actions
    this.#scenarios = new Scenarios({ world, picker, jobs, actions, agents })
    this.#recovery = new Recovery({ world, jobs, actions, agents })
  }

  run (): Violation | undefined {
    const world = this.#world
    for (let number = 1; number <= this.#schedule.entries; number++) world.startEntry(`entry-${number}`)
    for (let number = 1; number <= this.#schedule.agents; number++) world.startAgent(String(number))
    if (world.advance(WARM_UP)) return world.checker.violation
    for (const step of this.#schedule.steps) {
      if (world.advance(step.wait)) return world.checker.violation
      this.#handlers[step.action](step)
      if (world.checker.violation !== undefined) return world.checker.violation
    }
    while (this.#actions.pending > 0) if (world.advance(PENDING_CHECK_INTERVAL)) return world.checker.violation
    this.#recovery.run()
    return world.checker.violation
  }
}
