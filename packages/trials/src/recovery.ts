/**
 * Measures how long the job ids of a lost entry are not served: from the loss to the answer of the first
 * job with one of these ids, submitted through another entry at the moment of the loss.
 */
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { isClean } from '@amaranthmast/standins/audit'
import type { Daemon } from '@amaranthmast/standins/fleet'
import { Outage } from '@amaranthmast/standins/keyvaluefaults'
import { setTimeout as delay } from 'node:timers/promises'

import { answerKind } from './client.ts'
import { newJob } from './jobs.ts'
import { Trial } from './trial.ts'

/** How an entry is lost. */
export enum Loss {
  /** Killed: its address refuses connections. */
  Killed = 'killed',
  /** Killed while the store is down. */
  KilledInOutage = 'killedInOutage',
  /** Paused: its address accepts connections and does not respond. */
  Paused = 'paused'
}

/** Recovery times for one type of job, in milliseconds. */
export interface RecoveryTimes {
  runs: number
  p50: number
  worst: number
  all: number[]
}

/** Measurements for one type of loss. */
export interface Recovery {
  loss: Loss
  /** Jobs that were not submitted before the loss. */
  newJobs: RecoveryTimes
  /** Resubmitted jobs whose task was running when the entry was lost. The times include the task's run time. */
  runningJobs: RecoveryTimes
  /** Number of answers other than complete, by kind. */
  otherAnswers: Record<string, number>
  /** Whether the targets' records confirm every answer. */
  clean: boolean
}

/** Options of {@link measureRecovery}. */
export interface RecoveryOptions {
  /** Number of losses of each type. @default 10 */
  runs?: number
  /** Types of loss to measure. @default all types */
  losses?: readonly Loss[]
}

/** Run time of the task that is running when its entry is lost, in milliseconds. */
export const RUNNING_TASK_RUN_TIME = 400

/**
 * Time without faults before each loss, in milliseconds. During a store outage, a peer whose address refuses
 * connections counts as ended only if the entry had been in contact with it for some time until then.
 */
const SETTLE_TIME = 2 * DEFAULT_TIMINGS.suspect

const NEW_TASK_RUN_TIME = 10
const DEFAULT_RUNS = 10

type LossHandler = (trial: Trial, entry: Daemon) => Promise<void>

const LOSS_HANDLERS: Record<Loss, LossHandler> = {
  [Loss.Killed]: (trial, entry) => trial.fleet.killDaemon(entry),
  [Loss.KilledInOutage]: (trial, entry) => trial.fleet.killDaemon(entry),
  [Loss.Paused]: async (_trial, entry) => { entry.process?.pause() }
}

/** Measures each type of loss on a fleet of its own. */
export async function measureRecovery ({ runs = DEFAULT_RUNS, losses = Object.values(Loss) }: RecoveryOptions = {}): Promise<Recovery[]> {
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
    const clean = isClean(await trial.audit())
    return { loss, newJobs: summarizeTimes(newTimes), runningJobs: summarizeTimes(runningTimes), otherAnswers, clean }
  } finally {
    await trial.end()
  }
}

/** Measures one loss, then restarts the entry and waits until the fleet is whole again. */
async function measureOnce (trial: Trial, loss: Loss, run: number): Promise<Record<'fresh' | 'running', { milliseconds: number, kind: string }>> {
  const entry = trial.entry(1 + run % 3)
  const otherEntry = trial.entry(1 + (run + 1) % 3)
  await delay(SETTLE_TIME)
  const [freshId = '', runningId = ''] = await trial.idsOwnedBy(entry, 2, `${loss}-${run}`)
  const running = trial.caller.addJob(newJob(runningId, { run: RUNNING_TASK_RUN_TIME }))
  const interruptedSubmission = trial.caller.send(running, entry.callersUrl)
  await trial.waitUntilStarted(runningId)
  if (loss === Loss.KilledInOutage) await trial.setStoreFaults({ outage: Outage.Refuse })

  const lostAt = performance.now()
  await LOSS_HANDLERS[loss](trial, entry)
  const fresh = trial.caller.addJob(newJob(freshId, { run: NEW_TASK_RUN_TIME }))
  const answers = await Promise.all([fresh, running].map(async job => {
    const attempt = await trial.caller.send(job, otherEntry.callersUrl)
    return { milliseconds: Math.round(performance.now() - lostAt), kind: answerKind(attempt) }
  }))

  await trial.setStoreFaults({ outage: Outage.None })
  await trial.fleet.killDaemon(entry)
  await interruptedSubmission
  await trial.fleet.startDaemon(entry)
  await trial.waitUntilReady()
  await Promise.all(trial.fleet.entries.map(each => trial.waitUntilMembers(each, trial.fleet.entries)))
  await trial.waitUntilConnected()
  const [freshAnswer, runningAnswer] = answers
  if (freshAnswer === undefined || runningAnswer === undefined) throw new RangeError('the answer to a submission is missing')
  return { fresh: freshAnswer, running: runningAnswer }
}

function summarizeTimes (times: readonly number[]): RecoveryTimes {
  const sorted = [...times].sort((left, right) => left - right)
  return {
    runs: sorted.length,
    p50: sorted[Math.floor((sorted.length - 1) / 2)] ?? 0,
    worst: sorted.at(-1) ?? 0,
    all: [...times]
  }
}
