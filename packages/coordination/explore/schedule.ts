/** Schedules: what is done to the world, as plain data that fast-check can generate and shrink. */
import fc from 'fast-check'

/** What one step does. */
export enum Action {
  Submit = 'submit',
  Resubmit = 'resubmit',
  SubmitOther = 'submitOther',
  Cancel = 'cancel',
  LookUp = 'lookUp',
  CallerGone = 'callerGone',
  CrashEntry = 'crashEntry',
  CrashAgent = 'crashAgent',
  RestartEntry = 'restartEntry',
  RestartAgent = 'restartAgent',
  JoinEntry = 'joinEntry',
  StopEntry = 'stopEntry',
  StopAgent = 'stopAgent',
  PauseEntry = 'pauseEntry',
  PauseAgent = 'pauseAgent',
  Cut = 'cut',
  CutOneWay = 'cutOneWay',
  CutStore = 'cutStore',
  BreakLink = 'breakLink',
  Slow = 'slow',
  Repeat = 'repeat',
  StoreDown = 'storeDown',
  StoreSlow = 'storeSlow',
  StoreLossy = 'storeLossy',
  /** The trap: an entry that runs a job dies, and the job is submitted again elsewhere. */
  CrashRunnerAndResubmit = 'crashRunnerAndResubmit',
  /** The trap: the entry and the agent that run a job die together, and the job is submitted again. */
  CrashBothAndResubmit = 'crashBothAndResubmit',
  /** The trap: the entry that runs a job is paused past its lease and woken. */
  PauseRunnerAndResubmit = 'pauseRunnerAndResubmit',
  /** The trap: a cut leaves the entry that runs a job and one agent together on the far side. */
  CutRunnerWithAgent = 'cutRunnerWithAgent',
  /** The trap: an agent dies with a task and is replaced beside the same target. */
  ReplaceAgent = 'replaceAgent',
  /** The trap: an entry joins while jobs are on their way. */
  JoinAndSubmit = 'joinAndSubmit',
  /** The trap: a cut splits the processes in two for long, and the same job is submitted on both sides. */
  SplitAndSubmitBoth = 'splitAndSubmitBoth',
  /** The trap: an agent starts while only one entry can be reached, and that entry is lost. */
  HideNewAgent = 'hideNewAgent',
  /** The trap: an entry joins by the store while every older one is cut off from it and from the store. */
  JoinBehindCut = 'joinBehindCut',
  Wait = 'wait'
}

export interface Step {
  action: Action
  /** Chooses a process, a job or a request. */
  first: number
  second: number
  /** Milliseconds that a pause, cut or outage lasts. */
  duration: number
  /** Milliseconds to wait before the step. */
  wait: number
}

export interface Schedule {
  seed: number
  entries: number
  agents: number
  /** The memory is kept for a few seconds only, and callers always say when they lodged a job. */
  shortRetention: boolean
  /** The scheduler of the product, in place of one that places at random. */
  realScheduler: boolean
  steps: Step[]
}

const WEIGHTS: Record<Action, number> = {
  [Action.Submit]: 30,
  [Action.Resubmit]: 16,
  [Action.SubmitOther]: 1,
  [Action.Cancel]: 3,
  [Action.LookUp]: 1,
  [Action.CallerGone]: 1,
  [Action.CrashEntry]: 3,
  [Action.CrashAgent]: 3,
  [Action.RestartEntry]: 4,
  [Action.RestartAgent]: 4,
  [Action.JoinEntry]: 2,
  [Action.StopEntry]: 2,
  [Action.StopAgent]: 1,
  [Action.PauseEntry]: 4,
  [Action.PauseAgent]: 3,
  [Action.Cut]: 4,
  [Action.CutOneWay]: 3,
  [Action.CutStore]: 3,
  [Action.BreakLink]: 3,
  [Action.Slow]: 2,
  [Action.Repeat]: 3,
  [Action.StoreDown]: 3,
  [Action.StoreSlow]: 1,
  [Action.StoreLossy]: 2,
  [Action.CrashRunnerAndResubmit]: 4,
  [Action.CrashBothAndResubmit]: 3,
  [Action.PauseRunnerAndResubmit]: 4,
  [Action.CutRunnerWithAgent]: 4,
  [Action.ReplaceAgent]: 3,
  [Action.JoinAndSubmit]: 2,
  [Action.SplitAndSubmitBoth]: 2,
  [Action.HideNewAgent]: 2,
  [Action.JoinBehindCut]: 1,
  [Action.Wait]: 6
}

/** How much likelier the steps that a search looks for are made. */
const FOCUS_FACTOR = 20

const SELECTOR = fc.integer({ min: 0, max: 63 })
const DURATION = fc.oneof(fc.integer({ min: 50, max: 1500 }), fc.integer({ min: 1500, max: 6000 }))
const PAUSE = fc.oneof({ weight: 5, arbitrary: fc.integer({ min: 0, max: 60 }) }, { weight: 3, arbitrary: fc.integer({ min: 60, max: 800 }) }, { weight: 1, arbitrary: fc.integer({ min: 800, max: 4000 }) })

function actions (focus: readonly Action[]): fc.Arbitrary<Action> {
  const weighted = Object.values(Action).map(action => {
    const weight = WEIGHTS[action] * (focus.includes(action) ? FOCUS_FACTOR : 1)
    return { weight, arbitrary: fc.constant(action) }
  })
  return fc.oneof(...weighted)
}

/** Any schedule; `focus` names steps that are to come up more often. */
export function schedules (focus: readonly Action[] = []): fc.Arbitrary<Schedule> {
  const step = fc.record({ action: actions(focus), first: SELECTOR, second: SELECTOR, duration: DURATION, wait: PAUSE })
  return fc.record({
    seed: fc.integer({ min: 0, max: 0x7fffffff }),
    entries: fc.integer({ min: 2, max: 4 }),
    agents: fc.integer({ min: 2, max: 4 }),
    shortRetention: fc.oneof({ weight: 6, arbitrary: fc.constant(false) }, { weight: 1, arbitrary: fc.constant(true) }),
    realScheduler: fc.oneof({ weight: 6, arbitrary: fc.constant(false) }, { weight: 1, arbitrary: fc.constant(true) }),
    steps: fc.array(step, { minLength: 4, maxLength: 28, size: 'max' })
  })
}
