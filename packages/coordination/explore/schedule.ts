/**
 * Schedules: sequences of actions on the simulated system, as plain data that fast-check can generate and
 * shrink.
 */
import fc from 'fast-check'

/** The action of one step. Those marked as scenarios are sequences of several actions. */
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
  /** Scenario: the entry that runs a job crashes, and the job is submitted again elsewhere. */
  CrashRunnerAndResubmit = 'crashRunnerAndResubmit',
  /** Scenario: the entry that runs a job and an agent crash together, and the job is submitted again. */
  CrashBothAndResubmit = 'crashBothAndResubmit',
  /** Scenario: the entry that runs a job is paused beyond its lease and resumed. */
  PauseRunnerAndResubmit = 'pauseRunnerAndResubmit',
  /** Scenario: a network partition isolates the entry that runs a job together with one agent. */
  CutRunnerWithAgent = 'cutRunnerWithAgent',
  /** Scenario: an agent crashes with a task and is replaced at the same target. */
  ReplaceAgent = 'replaceAgent',
  /** Scenario: an entry joins while jobs are in transit. */
  JoinAndSubmit = 'joinAndSubmit',
  /**
   * Scenario: a long network partition splits the processes in two, and the same job is submitted on both
   * sides.
   */
  SplitAndSubmitBoth = 'splitAndSubmitBoth',
  /** Scenario: an agent starts while it can reach only one entry, and that entry is lost. */
  HideNewAgent = 'hideNewAgent',
  /**
   * Scenario: an entry joins through the store while all older entries are partitioned from it and from the
   * store.
   */
  JoinBehindCut = 'joinBehindCut',
  Wait = 'wait'
}

export interface Step {
  action: Action
  /** Selects a process, a job or a request, by its index modulo the number of candidates. */
  first: number
  second: number
  /** Duration of a pause, partition or outage, in milliseconds. */
  duration: number
  /** Time before the step, in milliseconds. */
  wait: number
}

export interface Schedule {
  seed: number
  entries: number
  agents: number
  /**
   * Whether records are retained for a few seconds only; callers then always state the time of submission.
   */
  shortRetention: boolean
  /** Whether entries use the scheduler of the product instead of one that places tasks at random. */
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

/** Factor by which the weight of actions in the focus of a search is raised. */
const FOCUS_WEIGHT_FACTOR = 20

const SELECTOR = fc.integer({ min: 0, max: 63 })
const DURATION = fc.oneof(fc.integer({ min: 50, max: 1500 }), fc.integer({ min: 1500, max: 6000 }))
const WAIT = fc.oneof({ weight: 5, arbitrary: fc.integer({ min: 0, max: 60 }) }, { weight: 3, arbitrary: fc.integer({ min: 60, max: 800 }) }, { weight: 1, arbitrary: fc.integer({ min: 800, max: 4000 }) })

function weightedActions (focus: readonly Action[]): fc.Arbitrary<Action> {
  const weighted = Object.values(Action).map(action => {
    const weight = WEIGHTS[action] * (focus.includes(action) ? FOCUS_WEIGHT_FACTOR : 1)
    return { weight, arbitrary: fc.constant(action) }
  })
  return fc.oneof(...weighted)
}

/** Generates schedules; the actions in `focus` occur more often. */
export function schedules (focus: readonly Action[] = []): fc.Arbitrary<Schedule> {
  const step = fc.record({ action: weightedActions(focus), first: SELECTOR, second: SELECTOR, duration: DURATION, wait: WAIT })
  return fc.record({
    seed: fc.integer({ min: 0, max: 0x7fffffff }),
    entries: fc.integer({ min: 2, max: 4 }),
    agents: fc.integer({ min: 2, max: 4 }),
    shortRetention: fc.oneof({ weight: 6, arbitrary: fc.constant(false) }, { weight: 1, arbitrary: fc.constant(true) }),
    realScheduler: fc.oneof({ weight: 6, arbitrary: fc.constant(false) }, { weight: 1, arbitrary: fc.constant(true) }),
    steps: fc.array(step, { minLength: 4, maxLength: 28, size: 'max' })
  })
}
