/** Plays the days of an experiment on several threads. */
import type { Experiment } from './experiment.ts'
import type { Played } from './comparison.ts'
import { Worker } from 'node:worker_threads'
import { playDay } from './day.ts'
import { creditByKind, creditOverTime, inTimeByKind } from './figures.ts'

/** The thread's program as it is built, beside this one. */
const THREAD_FILE = './playthread.js'

/** A day to play. */
export interface Order {
  variant: string
  seed: number
}

/** All days of the experiment, a seed's variants together. */
export function ordersOf ({ seeds, variants }: Experiment): Order[] {
  const names = Object.keys(variants)
  return Array.from({ length: seeds.count }, (_none, index) => seeds.first + index).flatMap(seed => names.map(variant => ({ variant, seed })))
}

export function play (experiment: Experiment, { variant, seed }: Order): Played {
  const { figures, verdicts } = playDay(experiment, seed, experiment.variants[variant] ?? {})
  return { variant, seed, figures, overTime: creditOverTime(verdicts), byKind: creditByKind(verdicts), inTimeByKind: inTimeByKind(verdicts) }
}

/** @param threads days played at one time */
export async function playAll (experiment: Experiment, threads: number): Promise<Played[]> {
  const orders = ordersOf(experiment)
  if (threads <= 1) return orders.map(order => play(experiment, order))
  const played: Played[] = []
  await Promise.all(Array.from({ length: Math.min(threads, orders.length) }, () => drive(experiment, orders, played)))
  return played
}

/** One thread takes the next day until none is left. */
function drive (experiment: Experiment, orders: Order[], played: Played[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL(THREAD_FILE, import.meta.url), { workerData: experiment })
    const next = (): void => {
      const order = orders.shift()
      if (order !== undefined) return worker.postMessage(order)
      worker.terminate().then(() => resolve(), reject)
    }
    worker.on('message', (day: Played) => {
      played.push(day)
      next()
    })
    worker.on('error', reject)
    next()
  })
}
