/** Runs the days of an experiment on several threads. */
import type { Experiment } from './experiment.ts'
import type { PlayedDay } from './comparison.ts'
import { Worker } from 'node:worker_threads'
import { playDay } from './day.ts'
import { creditByKind, creditOverTime, inTimeByKind } from './figures.ts'

/** The built program of a worker thread, in the same folder as this one. */
const WORKER_FILE = './playthread.js'

/** A day to run: a seed under a variant. */
export interface DayToPlay {
  variant: string
  seed: number
}

/** All days of the experiment, ordered by seed. */
export function daysToPlay ({ seeds, variants }: Experiment): DayToPlay[] {
  const names = Object.keys(variants)
  return Array.from({ length: seeds.count }, (_none, index) => seeds.first + index).flatMap(seed => names.map(variant => ({ variant, seed })))
}

export function play (experiment: Experiment, { variant, seed }: DayToPlay): PlayedDay {
  const { figures, results } = playDay(experiment, seed, experiment.variants[variant] ?? {})
  return { variant, seed, figures, overTime: creditOverTime(results), byKind: creditByKind(results), inTimeByKind: inTimeByKind(results) }
}

/** @param threads maximum number of days that run in parallel */
export async function playAll (experiment: Experiment, threads: number): Promise<PlayedDay[]> {
  const days = daysToPlay(experiment)
  if (threads <= 1) return days.map(dayToPlay => play(experiment, dayToPlay))
  const played: PlayedDay[] = []
  await Promise.all(Array.from({ length: Math.min(threads, days.length) }, () => runWorker(experiment, days, played)))
  return played
}

/** Runs a worker thread that takes the next day until none is left. */
function runWorker (experiment: Experiment, days: DayToPlay[], played: PlayedDay[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL(WORKER_FILE, import.meta.url), { workerData: experiment })
    const next = (): void => {
      const dayToPlay = days.shift()
      if (dayToPlay !== undefined) return worker.postMessage(dayToPlay)
      worker.terminate().then(() => resolve(), reject)
    }
    worker.on('message', (result: PlayedDay) => {
      played.push(result)
      next()
    })
    worker.on('error', reject)
    next()
  })
}
