/** One day, drawn from an experiment by its seed: the same machines, jobs and troubles for every variant. */
import type { Resources } from '@amaranthmast/dispatch/resources'
import type { Queue } from '@amaranthmast/dispatch/queues'
import type { Draw } from './distributions.ts'
import type { Experiment, KindPlan, TroublePlan } from './experiment.ts'
import { SeededRandom } from '@amaranthmast/standins/random'
import { mean } from 'simple-statistics'
import { drawFigure, factorDraw, pauseDraw, spreadDraw } from './distributions.ts'
import { TroubleKind } from './troubletypes.ts'

const MILLISECONDS_PER_SECOND = 1000

/** Period of the wave of the load, in milliseconds. */
const WAVE_MILLISECONDS = 11_000

/** How much the tasks of one job differ from each other: deviation of the logarithm. */
const UNEVEN = 0.15

/** Part of a job's worth that does not depend on its work (the users' rule of credit), and the most that it may be worth. */
const FIXED_WORTH = 0.3
const MOST_WORTH = 4

export interface TargetPlan {
  dataCentre: string
  capacity: Resources
  labels: string[]
  speed: number
}

export interface JobPlan {
  id: string
  kind: string
  queue: Queue
  /** Milliseconds from the start of the load. */
  at: number
  dataCentre: string
  deadline: number
  /** Work of each task on a target of speed 1, in milliseconds. */
  tasks: number[]
  /** How many times as long each task takes, whatever its work. */
  stretch: number[]
  cpu: number
  /** As the caller declares it. */
  declared: number
  /** What its caller gets from an answer in time: 1 for the mean job of its kind. */
  worth: number
  /** Tasks that fail whenever they run. */
  poisoned: boolean
  /** The task that crashes each target that starts it, and after which part of its run. */
  crashing: { task: number, after: number } | undefined
  /** Refused, its caller comes back when it is told to. */
  returns: boolean
  /** Its caller leaves after this time, in milliseconds. */
  leavesAfter: number
}

export interface TroubleAt {
  kind: TroubleKind
  /** Milliseconds from the start of the load. */
  at: number
  lasts: number
  share: number
  factor: number
  kindOfJob: string | undefined
  /** Whose callers a burst comes from, counted from 0. */
  dataCentre: number | undefined
}

export interface DayPlan {
  dataCentres: string[]
  entries: Array<{ dataCentre: string }>
  targets: TargetPlan[]
  /** Whether targets refuse what does not fit. */
  rejectsOverload: boolean
  delays: { within: number, between: number, callers: number }
  /** Milliseconds of each event, or where cores are stated what each kind of event costs on them. */
  processor: { entry: number, agent: number, entries: Array<number | undefined>, agents: Array<number | undefined> }
  startMilliseconds: number
  queues: Queue[]
  jobs: JobPlan[]
  troubles: TroubleAt[]
  /** Length of the load in milliseconds. */
  length: number
}

/** A kind of job with its figures drawn. */
interface Kind {
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
    const place = Math.floor(index / dataCentres.length)
    const kind = fleet.kinds[place % Math.max(1, fleet.kinds.length)]
    const dataCentre = dataCentres[index % dataCentres.length] as string
    const size = (fleet.sizes[index % fleet.sizes.length] ?? 1) * (kind?.size ?? 1)
    return {
      dataCentre,
      capacity: { cpu: cpu * size, memory, accelerators: 0 },
      labels: [...(kind === undefined ? [] : [kind.label]), ...(fleet.racks === 0 ? [] : [`${dataCentre}-rack${rackOf(place, fleet)}`])],
      speed: random.pick(fleet.speeds) * (kind?.speed ?? 1)
    }
  })
}

/** Each rack holds targets of every kind. */
function rackOf (place: number, { racks, kinds }: Experiment['fleet']): number {
  return Math.floor(place / Math.max(1, kinds.length)) % racks
}

function drawKind (plan: KindPlan, random: SeededRandom): Kind {
  const tasks = spreadDraw(plan.tasks, random)
  const work = spreadDraw(plan.milliseconds, random)
  const cpu = spreadDraw(plan.cpu, random)
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
    declaredFactor: factorDraw(drawFigure(plan.estimateError, random), random),
    tail: { share: drawFigure(plan.tail.share, random), factor: drawFigure(plan.tail.factor, random) },
    meanWork: meanOf(() => Math.max(1, Math.round(tasks())) * work() * cpu())
  }
}

/** Draws enough to know a mean to a few hundredths. */
function meanOf (draw: Draw): number {
  const draws = 2000
  let sum = 0
  for (let index = 0; index < draws; index += 1) sum += draw()
  return sum / draws
}

function scaleToLoad ({ load }: Experiment, kinds: Kind[], targets: readonly TargetPlan[], random: SeededRandom): void {
  if (load === undefined) return
  const capacity = targets.reduce((sum, target) => sum + target.capacity.cpu * target.speed, 0)
  const demand = kinds.reduce((sum, kind) => sum + kind.perMillisecond * kind.meanWork, 0)
  const factor = drawFigure(load, random) * capacity / demand
  for (const kind of kinds) kind.perMillisecond *= factor
}

function drawTrouble (trouble: TroublePlan, random: SeededRandom): TroubleAt {
  return {
    kind: trouble.kind,
    at: drawFigure(trouble.at, random) * MILLISECONDS_PER_SECOND,
    lasts: drawFigure(trouble.for, random) * MILLISECONDS_PER_SECOND,
    share: drawFigure(trouble.share, random),
    factor: drawFigure(trouble.factor, random),
    kindOfJob: trouble.kindOfJob,
    dataCentre: trouble.dataCentre
  }
}

function drawJobs ({ seconds, wave, returning, peaks }: Experiment, kinds: readonly Kind[], dataCentres: readonly string[], troubles: readonly TroubleAt[], random: SeededRandom): JobPlan[] {
  const swing = drawFigure(wave, random)
  const phase = random.next() * WAVE_MILLISECONDS
  const share = drawFigure(returning, random)
  const peak = drawFigure(peaks, random)
  const jobs: JobPlan[] = []
  for (const kind of kinds) {
    let now = 0
    const rate = (): number => kind.perMillisecond * (1 + swing * Math.sin((now + phase) / WAVE_MILLISECONDS * 2 * Math.PI)) * mean(dataCentres.map((_name, index) => burstAt(troubles, kind, now, index)))
    const pause = pauseDraw(rate, random)
    for (now = pause(); now < seconds * MILLISECONDS_PER_SECOND; now += pause()) {
      const weights = dataCentres.map((_name, index) => burstAt(troubles, kind, now, index) * peakAt(peak, now, index / dataCentres.length))
      jobs.push({ ...drawJob(kind, now, pickDataCentre(dataCentres, weights, random), jobs.length, troubles, random), returns: share > 0 && random.next() < share })
    }
  }
  return jobs.sort((one, other) => one.at - other.at)
}

/**
 * Part of its mean load that a data centre has: one after the other has its peak, once in a wave.
 *
 * @param position of the data centre among all, from 0 to 1
 */
function peakAt (swing: number, at: number, position: number): number {
  return 1 + swing * Math.sin((at / WAVE_MILLISECONDS + position) * 2 * Math.PI)
}

function activeAt (troubles: readonly TroubleAt[], wanted: TroubleKind, kind: Kind, at: number): TroubleAt[] {
  return troubles.filter(trouble => trouble.kind === wanted && at >= trouble.at && at < trouble.at + trouble.lasts &&
    (trouble.kindOfJob === undefined || trouble.kindOfJob === kind.plan.name))
}

function burstAt (troubles: readonly TroubleAt[], kind: Kind, at: number, dataCentre: number): number {
  const bursts = activeAt(troubles, TroubleKind.Burst, kind, at).filter(trouble => trouble.dataCentre === undefined || trouble.dataCentre === dataCentre)
  return bursts.reduce((factor, trouble) => factor * trouble.factor, 1)
}

/** One of the data centres, each as likely as its weight. */
function pickDataCentre (dataCentres: readonly string[], weights: readonly number[], random: SeededRandom): string {
  let left = random.next() * mean(weights) * weights.length
  for (const [index, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return dataCentres[index] as string
  }
  return dataCentres[dataCentres.length - 1] as string
}

function drawJob (kind: Kind, at: number, dataCentre: string, number: number, troubles: readonly TroubleAt[], random: SeededRandom): JobPlan {
  const count = Math.max(1, Math.round(kind.tasks()))
  const work = kind.work()
  const cpu = Math.round(kind.cpu())
  const uneven = factorDraw(UNEVEN, random)
  const { slackFactor, latency } = kind.queue
  const leaving = activeAt(troubles, TroubleKind.GiveUp, kind, at).find(({ share }) => random.next() < share)
  const poisoned = activeAt(troubles, TroubleKind.Poison, kind, at).some(({ share }) => random.next() < share)
  const crashing = activeAt(troubles, TroubleKind.Crashing, kind, at).find(({ share }) => random.next() < share)
  const works = Array.from({ length: count }, () => work * uneven())
  const declared = work * kind.declaredFactor()
  return {
    id: `job${number}`,
    kind: kind.plan.name,
    queue: kind.queue,
    at,
    dataCentre,
    deadline: kind.deadline,
    tasks: works,
    stretch: works.map(() => kind.tail.share > 0 && random.next() < kind.tail.share ? kind.tail.factor : 1),
    cpu,
    declared,
    worth: Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * count * work * cpu / kind.meanWork),
    poisoned,
    crashing: crashing === undefined ? undefined : { task: random.integer(0, count - 1), after: crashing.factor },
    returns: false,
    leavesAfter: leaving === undefined ? Infinity : leaving.factor * (slackFactor * work + latency)
  }
}
