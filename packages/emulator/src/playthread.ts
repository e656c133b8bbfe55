/** Program of a worker thread that runs the days it receives, one at a time. */
import type { Experiment } from './experiment.ts'
import type { DayToPlay } from './player.ts'
import { parentPort, workerData } from 'node:worker_threads'
import { play } from './player.ts'

parentPort?.on('message', (dayToPlay: DayToPlay) => parentPort?.postMessage(play(workerData as Experiment, dayToPlay)))
