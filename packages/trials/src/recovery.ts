/**
 * Measures how long the job ids of an entry that is lost go without service: from the moment of its
 * loss to the answer of the first job of its ids, submitted through another entry in that moment.
 */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { isClean } from '@amaranthmast/standins/audit'
import type { Daemon } from '@amaranthmast/standins/fleet'
import { Outage } from '@amaranthmast/standins/keyvaluefaults'
import { setTimeout as delay } from 'node:timers/promises'

import { kindOf } from './client.ts'
import { newJob } from './jobs.ts'
import { Trial } from './trial.ts'

/** How an entry is lost. */
export enum Loss {
  /** Killed; its address refuses connections. */
  Killed = 'killed',
  /** Killed while the store is down. */
  KilledInOutage = 'killedInOutage',
  /** Paused: its address is silent. */
  Paused = 'paused'
}

/** Times of one kind of job, in milliseconds. */
export interface RecoveryTimes {
  runs: number
  p50: number
  worst: number
  all: number[]
}

/** What was measured of one kind of loss. */
export interface Recovery {
  loss: Loss
  /** Job ids that nobody had submitted before. */
  newJobs: RecoveryTimes
  /** A job whose task ran when its entry was lost, submitted again; its run time is part of the time. */
  runningJobs: RecoveryTimes
  /** Answers other than complete. */
  otherAnswers: Record<string, number>
  /** Whether the targets' records bear every answer out. */
  clean: boolean
}

/** Options of a measurement. */
export interface RecoveryOptions {
  /** Losses of each kind. @default 10 */
  runs?: number
  /** @default every kind */
  losses?: readonly Loss[]
}

/** Run time of the task that runs when its entry is lost, in milliseconds. */
export const RUNNING_TASK = 400

/**
 * Time for which the system runs undisturbed before a loss, in milliseconds. During an outage of the store
 * an entry counts as a witness only of peers that it has heard for some time.
 */
const UNDISTURBED = 2 * DEFAULT_TIMINGS.suspect

const NEW_TASK = 10
const RUNS = 10

type LossHandler = (trial: Trial, entry: Daemon) => Promise<void>

const LOSE: Record<Loss, LossHandler> = {
  [Loss.Killed]: (trial, entry) => trial.fleet.killDaemon(entry),
  [Loss.KilledInOutage]: (trial, entry) => trial.fleet.killDaemon(entry),
  [Loss.Paused]: async (_trial, entry) => { entry.process?.pause() }
}

/** Measures each kind of loss on a system of its own. */
export async function measureRecovery ({ runs = RUNS, losses = Object.values(Loss) }: RecoveryOptions = {}): Promise<Recovery[]> {
  const measured: Recovery[] = []
  for (const loss of losses) measured.push(await measureLoss(loss, runs))
  return measured
}

async function measureLoss (loss: Loss, runs: number): Promise<Recovery> {
  const trial = await Trial.begin({ timings: { suspect: DEFAULT_TIMINGS.suspect } })
  const newTimes: number[] = []
  const runningTimes: number[] = []
  const otherAnswers: Record<string, number> = {}
  try {
    for (let run = 0; run < runs; run++) {
      const times = await measureOnce(trial, loss, run)
      newTimes.push(times.fresh.milliseconds)
      runningTimes.push(times.running.milliseconds)
      for (const { kind } of [times.fresh, times.running]) if (kind !== 'complete') otherAnswers[kind] = (otherAnswers[kind] ?? 0) + 1
    }
    const clean = isClean(await trial.judge())
    return { loss, newJobs: timesOf(newTimes), runningJobs: timesOf(runningTimes), otherAnswers, clean }
  } finally {
    await trial.end()
  }
}

/** One loss; the entry is started again afterwards. */
async function measureOnce (trial: Trial, loss: Loss, run: number): Promise<Record<'fresh' | 'running', { milliseconds: number, kind: string }>> {
  const entry = trial.entry(1 + run % 3)
  const other = trial.entry(1 + (run + 1) % 3)
  await delay(UNDISTURBED)
  const [freshId = '', runningId = ''] = await trial.idsOwnedBy(entry, 2, `${loss}-${run}`)
  const running = trial.caller.lodge(newJob(runningId, { run: RUNNING_TASK }))
  const first = trial.caller.send(running, entry.callersUrl)
  await trial.untilStarted(runningId)
  if (loss === Loss.KilledInOutage) await trial.storeFaults({ outage: Outage.Refuse })

  const lostAt = performance.now()
  await LOSE[loss](trial, entry)
  const fresh = trial.caller.lodge(newJob(freshId, { run: NEW_TASK }))
  const answers = await Promise.all([fresh, running].map(async job => {
    const attempt = await trial.caller.send(job, other.callersUrl)
    return { milliseconds: Math.round(performance.now() - lostAt), kind: kindOf(attempt) }
  }))

  await trial.storeFaults({ outage: Outage.None })
  await trial.fleet.killDaemon(entry)
  await first
  await trial.fleet.startDaemon(entry)
  await trial.untilReady()
  await Promise.all(trial.fleet.entries.map(each => trial.untilMembers(each, trial.fleet.entries)))
  await trial.untilConnected()
  const [ofFresh, ofRunning] = answers
  if (ofFresh === undefined || ofRunning === undefined) throw new RangeError('a submission is missing')
  return { fresh: ofFresh, running: ofRunning }
}

function timesOf (times: readonly number[]): RecoveryTimes {
  const sorted = [...times].sort((left, right) => left - right)
  return {
    runs: sorted.length,
    p50: sorted[Math.floor((sorted.length - 1) / 2)] ?? 0,
    worst: sorted.at(-1) ?? 0,
    all: [...times]
  }
}
