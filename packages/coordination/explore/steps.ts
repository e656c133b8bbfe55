/** Carries the steps of a schedule out. */
import type { Violation } from './invariants.ts'
import type { Guards } from './processes.ts'
import type { Schedule, Step } from './schedule.ts'
import { Deeds } from './deeds.ts'
import { JobLot } from './joblot.ts'
import { STORE } from './names.ts'
import { pick, Picks } from './picks.ts'
import { Recovery } from './recovery.ts'
import { Action } from './schedule.ts'
import { Traps } from './traps.ts'
import { World } from './world.ts'

const WARM_UP = 2600
/** Pause between looks at whether every deed is done. */
const DEEDS_PAUSE = 250

/** Runs one schedule; the first violation, or undefined. */
export function runSchedule (schedule: Schedule, guards: Guards, trace?: (line: string) => void): { violation: Violation | undefined, world: World } {
  const world = new World(schedule, guards, trace)
  const runner = new Runner(world, schedule)
  return { violation: runner.run(), world }
}

class Runner {
  readonly #world: World
  readonly #schedule: Schedule
  readonly #jobs: JobLot
  readonly #picks: Picks
  readonly #deeds: Deeds
  readonly #traps: Traps
  readonly #recovery: Recovery

  readonly #handlers: Record<Action, (step: Step) => void> = {
    [Action.Submit]: step => this.#deeds.submit(step.first, this.#jobs.job(step.second)),
    [Action.Resubmit]: step => this.#deeds.submit(step.first, this.#jobs.lodgedJob(step.second)),
    [Action.SubmitOther]: step => this.#deeds.submit(step.first, this.#jobs.other(this.#jobs.lodgedJob(step.second))),
    [Action.Cancel]: step => {
      const entry = this.#picks.entry(step.first)
      const job = this.#jobs.lodgedJob(step.second)
      if (entry !== undefined && job !== undefined) this.#world.callers.cancel(entry, job)
    },
    [Action.LookUp]: step => {
      const entry = this.#picks.entry(step.first)
      const job = this.#jobs.lodgedJob(step.second)
      if (entry !== undefined && job !== undefined) this.#world.callers.lookUp(entry, job)
    },
    [Action.CallerGone]: step => {
      const request = pick(this.#world.judge.open(), step.first)
      if (request !== undefined) this.#world.callers.callerGone(request.name)
    },
    [Action.CrashEntry]: step => this.#deeds.crash(this.#picks.entry(step.first)),
    [Action.CrashAgent]: step => this.#deeds.crash(this.#picks.agent(step.first)),
    [Action.RestartEntry]: step => this.#deeds.restartEntry(step.first),
    [Action.RestartAgent]: step => this.#world.startAgent(String(step.first % this.#schedule.agents + 1)),
    [Action.JoinEntry]: () => this.#deeds.join(),
    [Action.StopEntry]: step => {
      const entry = this.#picks.entry(step.first)
      if (entry !== undefined) this.#world.stopEntry(entry)
    },
    [Action.StopAgent]: step => {
      const agent = this.#picks.agent(step.first)
      if (agent !== undefined) this.#world.stopAgent(agent)
    },
    [Action.PauseEntry]: step => this.#deeds.freeze(this.#picks.entry(step.first), step.duration),
    [Action.PauseAgent]: step => this.#deeds.freeze(this.#picks.agent(step.first), step.duration),
    [Action.Cut]: step => this.#deeds.cut(step, true),
    [Action.CutOneWay]: step => this.#deeds.cut(step, false),
    [Action.CutStore]: step => {
      const process = this.#picks.any(step.first)
      if (process === undefined) return
      this.#world.network.cut(process.id, STORE, step.duration)
      if (step.second % 2 === 0) this.#world.network.cut(STORE, process.id, step.duration)
    },
    [Action.BreakLink]: step => {
      const left = this.#picks.any(step.first)
      const right = this.#picks.any(step.second)
      if (left !== undefined && right !== undefined) this.#world.network.breakLink(left.instance, right.instance)
    },
    [Action.Slow]: step => this.#world.network.slow(step.duration),
    [Action.Repeat]: step => this.#world.network.repeat(step.duration),
    [Action.StoreDown]: step => this.#world.store.goDown(step.duration),
    [Action.StoreSlow]: step => this.#world.store.goSlow(step.duration),
    [Action.StoreLossy]: step => this.#world.store.loseAnswers(step.duration),
    [Action.CrashRunnerAndResubmit]: step => this.#traps.crashRunnerAndResubmit(step),
    [Action.CrashBothAndResubmit]: step => this.#traps.crashBothAndResubmit(step),
    [Action.PauseRunnerAndResubmit]: step => this.#traps.pauseRunnerAndResubmit(step),
    [Action.CutRunnerWithAgent]: step => this.#traps.cutRunnerWithAgent(step),
    [Action.ReplaceAgent]: step => this.#traps.replaceAgent(step),
    [Action.JoinAndSubmit]: step => this.#traps.joinAndSubmit(step),
    [Action.SplitAndSubmitBoth]: step => this.#traps.splitAndSubmitBoth(step),
    [Action.HideNewAgent]: step => this.#traps.hideNewAgent(step),
    [Action.JoinBehindCut]: step => this.#traps.joinBehindCut(step),
    [Action.Wait]: () => {}
  }

  constructor (world: World, schedule: Schedule) {
    const { entries, agents } = schedule
    const jobs = new JobLot(world, schedule)
    const picks = new Picks(world)
    const deeds = new Deeds({ world, picks, jobs, entries })
    this.#world = world
    this.#schedule = schedule
    this.#jobs = jobs
    this.#picks = picks
    this.#deeds = deeds
    this.#traps = new Traps({ world, picks, jobs, deeds, agents })
    this.#recovery = new Recovery({ world, jobs, deeds, agents })
  }

  run (): Violation | undefined {
    const world = this.#world
    for (let number = 1; number <= this.#schedule.entries; number++) world.startEntry(`entry-${number}`)
    for (let number = 1; number <= this.#schedule.agents; number++) world.startAgent(String(number))
    if (world.advance(WARM_UP)) return world.judge.violation
    for (const step of this.#schedule.steps) {
      if (world.advance(step.wait)) return world.judge.violation
      this.#handlers[step.action](step)
      if (world.judge.violation !== undefined) return world.judge.violation
    }
    while (this.#deeds.pending > 0) if (world.advance(DEEDS_PAUSE)) return world.judge.violation
    this.#recovery.run()
    return world.judge.violation
  }
}
