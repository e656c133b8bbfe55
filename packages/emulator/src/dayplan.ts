/** Draws the plan of a day from an experiment and a seed. All variants run with the same machines, jobs and troubles. */
import type { Resources } from '@amaranthmast/dispatch/resources'
import type { Queue } from '@amaranthmast/dispatch/queues'
import type { Draw } from './distributions.ts'
import type { Experiment, KindPlan, TroublePlan } from './experiment.ts'
import { SeededRandom } from '@amaranthmast/standins/random'
import { mean } from 'simple-statistics'
import { drawFigure, interarrivalDraw, logNormalDraw, logNormalFactorDraw } from './distributions.ts'
import { TroubleKind } from './troubletypes.ts'

const MILLISECONDS_PER_SECOND = 1000

/** Period of the load's sine wave, in milliseconds. */
const WAVE_MILLISECONDS = 11_000

/** Standard deviation of the logarithm of the work of tasks within one job. */
const TASK_WORK_DEVIATION = 0.15

/** Fraction of a job's worth that does not depend on its work (the users' rule of credit), and the maximum worth. */
const FIXED_WORTH = 0.3
const MAX_WORTH = 4

/** A target as drawn for the day. */
export interface TargetPlan {
  dataCentre: string
  capacity: Resources
  labels: string[]
  speed: number
}

/** A job as drawn for the day, with the behaviour of its tasks and its caller. Durations in milliseconds. */
export interface JobPlan {
  id: string
  kind: string
  queue: Queue
  /** Milliseconds from the start of the load; from the start of the timeline once the callers have started. */
  at: number
  dataCentre: string
  deadline: number
  /** Work of each task on a target of speed 1, in milliseconds. */
  tasks: number[]
  /** Factor on the run time of each task, for a heavy tail. */
  tailFactors: number[]
  cpu: number
  /** Work of a task as the caller declares it, in milliseconds. */
  declared: number
  /** Credit for an answer in time; 1 for the mean job of its kind. */
  worth: number
  /** Whether its tasks fail on every run. */
  poisoned: boolean
  /** The task that crashes each target that starts it, and the fraction of its run after which it does. */
  crashing: { task: number, after: number } | undefined
  /** Whether its caller resubmits a refused job after the time that the refusal states. */
  returns: boolean
  /** Time after which its caller leaves, in milliseconds; Infinity if it waits until the deadline. */
  leavesAfter: number
}

/** A trouble with its figures drawn. Durations in milliseconds. */
export interface ScheduledTrouble {
  kind: TroubleKind
  /** Milliseconds from the start of the load. */
  at: number
  duration: number
  share: number
  factor: number
  kindOfJob: string | undefined
  /** Index of the data centre whose callers send a burst, from 0. */
  dataCentre: number | undefined
}

/** Everything about a day that does not depend on the policy. */
export interface DayPlan {
  dataCentres: string[]
  entries: Array<{ dataCentre: string }>
  targets: TargetPlan[]
  /** Whether targets refuse tasks over their capacity. */
  rejectsOverload: boolean
  delays: { within: number, between: number, callers: number }
  /** Processor time of each event in milliseconds, or the cores on which each kind of event has its own cost. */
  processor: { entry: number, agent: number, entries: Array<number | undefined>, agents: Array<number | undefined> }
  startMilliseconds: number
  queues: Queue[]
  jobs: JobPlan[]
  troubles: ScheduledTrouble[]
  /** Duration of the load, in milliseconds. */
  length: number
}

/** A kind of job with the figures drawn for the day. */
interface DrawnKind {
  plan: KindPlan
  queue: Queue
  perMillisecond: number
  deadline: number
  tasks: Draw
  work: Draw
  cpu: Draw
  declaredFactor: Draw
  tail: { share: number, factor: number }
  meanWork: number
}

/** Draws the plan of a day. The order of the draws determines the day of a seed, so it must not change. */
export function drawDay (experiment: Experiment, seed: number): DayPlan {
  const random = new SeededRandom(seed)
  const { fleet } = experiment
  const dataCentres = Array.from({ length: fleet.dataCentres }, (_none, index) => `dc${index}`)
  const targets = drawTargets(experiment, dataCentres, random)
  const kinds = experiment.kinds.map(plan => drawKind(plan, random))
  scaleToLoad(experiment, kinds, targets, random)
  const troubles = experiment.troubles.map(trouble => drawTrouble(trouble, random))
  const draw = (figure: Experiment['fleet']['cpu']): number => drawFigure(figure, random)
  return {
    dataCentres,
    entries: Array.from({ length: fleet.entries }, (_none, index) => ({ dataCentre: dataCentres[index % dataCentres.length] as string })),
    targets,
    rejectsOverload: fleet.rejectsOverload,
    delays: { within: draw(fleet.within), between: draw(fleet.between), callers: draw(fleet.callers) },
    processor: {
      entry: draw(fleet.entryMilliseconds),
      agent: draw(fleet.agentMilliseconds),
      entries: Array.from({ length: fleet.entries }, (_none, index) => fleet.entryCores[Math.floor(index / dataCentres.length) % fleet.entryCores.length]),
      agents: Array.from({ length: fleet.targets }, () => fleet.agentCores)
    },
    startMilliseconds: draw(fleet.startMilliseconds),
    queues: kinds.map(({ queue }) => queue),
    jobs: drawJobs(experiment, kinds, dataCentres, troubles, random),
    troubles,
    length: experiment.seconds * MILLISECONDS_PER_SECOND
  }
}

function drawTargets ({ fleet }: Experiment, dataCentres: readonly string[], random: SeededRandom): TargetPlan[] {
  const cpu = drawFigure(fleet.cpu, random)
  const memory = drawFigure(fleet.memory, random)
  return Array.from({ length: fleet.targets }, (_none, index) => {
    const position = Math.floor(index / dataCentres.length)
    const kind = fleet.kinds[position % Math.max(1, fleet.kinds.length)]
    const dataCentre = dataCentres[index % dataCentres.length] as string
    const size = (fleet.sizes[index % fleet.sizes.length] ?? 1) * (kind?.size ?? 1)
    return {
      dataCentre,
      capacity: { cpu: cpu * size, memory, accelerators: 0 },
      labels: [...(kind === undefined ? [] : [kind.label]), ...(fleet.racks === 0 ? [] : [`${dataCentre}-rack${rackOf(position, fleet)}`])],
      speed: random.pick(fleet.speeds) * (kind?.speed ?? 1)
    }
  })
}

/** Index of a target's rack. Each rack holds targets of every kind. */
function rackOf (position: number, { racks, kinds }: Experiment['fleet']): number {
  return Math.floor(position / Math.max(1, kinds.length)) % racks
}

function drawKind (plan: KindPlan, random: SeededRandom): DrawnKind {
  const tasks = logNormalDraw(plan.tasks, random)
  const work = logNormalDraw(plan.milliseconds, random)
  const cpu = logNormalDraw(plan.cpu, random)
  const queue: Queue = {
    name: plan.name,
    host: 'host',
    prefix: `/${plan.name}/`,
    service: 'service',
    priority: plan.priority,
    attempts: plan.attempts,
    slackFactor: drawFigure(plan.slackFactor, random),
    latency: drawFigure(plan.latency, random),
    timeout: 0
  }
  return {
    plan,
    queue,
    perMillisecond: drawFigure(plan.perSecond, random) / MILLISECONDS_PER_SECOND,
    deadline: drawFigure(plan.deadline, random),
    tasks,
    work,
    cpu,
    declaredFactor: logNormalFactorDraw(drawFigure(plan.estimateError, random), random),
    tail: { share: drawFigure(plan.tail.share, random), factor: drawFigure(plan.tail.factor, random) },
    meanWork: meanOf(() => Math.max(1, Math.round(tasks())) * work() * cpu())
  }
}

/** Estimates a mean from enough draws to be accurate to a few hundredths. */
function meanOf (draw: Draw): number {
  const draws = 2000
  let sum = 0
  for (let index = 0; index < draws; index += 1) sum += draw()
  return sum / draws
}

function scaleToLoad ({ load }: Experiment, kinds: DrawnKind[], targets: readonly TargetPlan[], random: SeededRandom): void {
  if (load === undefined) return
  const capacity = targets.reduce((sum, target) => sum + target.capacity.cpu * target.speed, 0)
  const demand = kinds.reduce((sum, kind) => sum + kind.perMillisecond * kind.meanWork, 0)
  const factor = drawFigure(load, random) * capacity / demand
  for (const kind of kinds) kind.perMillisecond *= factor
}

function drawTrouble (trouble: TroublePlan, random: SeededRandom): ScheduledTrouble {
  return {
    kind: trouble.kind,
    at: drawFigure(trouble.at, random) * MILLISECONDS_PER_SECOND,
    duration: drawFigure(trouble.for, random) * MILLISECONDS_PER_SECOND,
    share: drawFigure(trouble.share, random),
    factor: drawFigure(trouble.factor, random),
    kindOfJob: trouble.kindOfJob,
    dataCentre: trouble.dataCentre
  }
}

function drawJobs ({ seconds, wave, returning, peaks }: Experiment, kinds: readonly DrawnKind[], dataCentres: readonly string[], troubles: readonly ScheduledTrouble[], random: SeededRandom): JobPlan[] {
  const amplitude = drawFigure(wave, random)
  const phase = random.next() * WAVE_MILLISECONDS
  const returningShare = drawFigure(returning, random)
  const peak = drawFigure(peaks, random)
  const jobs: JobPlan[] = []
  for (const kind of kinds) {
    let now = 0
    const rate = (): number => kind.perMillisecond * (1 + amplitude * Math.sin((now + phase) / WAVE_MILLISECONDS * 2 * Math.PI)) * mean(dataCentres.map((_name, index) => burstAt(troubles, kind, now, index)))
    const nextInterval = interarrivalDraw(rate, random)
    for (now = nextInterval(); now < seconds * MILLISECONDS_PER_SECOND; now += nextInterval()) {
      const weights = dataCentres.map((_name, index) => burstAt(troubles, kind, now, index) * peakAt(peak, now, index / dataCentres.length))
      jobs.push({ ...drawJob(kind, now, pickDataCentre(dataCentres, weights, random), jobs.length, troubles, random), returns: returningShare > 0 && random.next() < returningShare })
    }
  }
  return jobs.sort((one, other) => one.at - other.at)
}

/**
 * Load of a data centre relative to its mean. The peaks of the data centres follow each other, one each per wave period.
 *
 * @param position of the data centre among all, from 0 to 1
 */
function peakAt (amplitude: number, at: number, position: number): number {
  return 1 + amplitude * Math.sin((at / WAVE_MILLISECONDS + position) * 2 * Math.PI)
}

function activeAt (troubles: readonly ScheduledTrouble[], wanted: TroubleKind, kind: DrawnKind, at: number): ScheduledTrouble[] {
  return troubles.filter(trouble => trouble.kind === wanted && at >= trouble.at && at < trouble.at + trouble.duration &&
    (trouble.kindOfJob === undefined || trouble.kindOfJob === kind.plan.name))
}

function burstAt (troubles: readonly ScheduledTrouble[], kind: DrawnKind, at: number, dataCentre: number): number {
  const bursts = activeAt(troubles, TroubleKind.Burst, kind, at).filter(trouble => trouble.dataCentre === undefined || trouble.dataCentre === dataCentre)
  return bursts.reduce((factor, trouble) => factor * trouble.factor, 1)
}

/** Draws a data centre, with a probability in proportion to its weight. */
function pickDataCentre (dataCentres: readonly string[], weights: readonly number[], random: SeededRandom): string {
  let remaining = random.next() * mean(weights) * weights.length
  for (const [index, weight] of weights.entries()) {
    remaining -= weight
    if (remaining < 0) return dataCentres[index] as string
  }
  return dataCentres[dataCentres.length - 1] as string
}

function drawJob (kind: DrawnKind, at: number, dataCentre: string, number: number, troubles: readonly ScheduledTrouble[], random: SeededRandom): JobPlan {
  const count = Math.max(1, Math.round(kind.tasks()))
  const work = kind.work()
  const cpu = Math.round(kind.cpu())
  const taskFactor = logNormalFactorDraw(TASK_WORK_DEVIATION, random)
  const { slackFactor, latency } = kind.queue
  const leaving = activeAt(troubles, TroubleKind.GiveUp, kind, at).find(({ share }) => random.next() < share)
  const poisoned = activeAt(troubles, TroubleKind.Poison, kind, at).some(({ share }) => random.next() < share)
  const crashing = activeAt(troubles, TroubleKind.Crashing, kind, at).find(({ share }) => random.next() < share)
  const taskWork = Array.from({ length: count }, () => work * taskFactor())
  const declared = work * kind.declaredFactor()
  return {
    id: `job${number}`,
    kind: kind.plan.name,
    queue: kind.queue,
    at,
    dataCentre,
    deadline: kind.deadline,
    tasks: taskWork,
    tailFactors: taskWork.map(() => kind.tail.share > 0 && random.next() < kind.tail.share ? kind.tail.factor : 1),
    cpu,
    declared,
    worth: Math.min(MAX_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * count * work * cpu / kind.meanWork),
    poisoned,
    crashing: crashing === undefined ? undefined : { task: random.integer(0, count - 1), after: crashing.factor },
    returns: false,
    leavesAfter: leaving === undefined ? Infinity : leaving.factor * (slackFactor * work + latency)
  }
}
