/** Measurement and reporting of event loop delays. */
import { expect } from 'earl'
import { performance } from 'node:perf_hooks'
import { test } from 'node:test'
import { TICK_MILLISECONDS } from '../src/defaults.ts'
import { Exposition } from '../src/exposition.ts'
import { lateTurnThreshold, LoopLag } from '../src/looplag.ts'
import { Ticker } from '../src/ticker.ts'

const THRESHOLD = 100
const INTERVAL = 50

/** Simulates late ticks on a fake clock. */
class Ticks {
  readonly notes: Array<Record<string, unknown>> = []
  #now = 1000
  readonly lag = new LoopLag({ threshold: THRESHOLD, now: () => this.#now, note: (_what, fields) => { this.notes.push(fields) } })

  /** Simulates one tick for each argument, late by that many milliseconds. */
  late (...milliseconds: number[]): this {
    for (const late of milliseconds) {
      this.lag.expect(INTERVAL)
      this.#now += INTERVAL + late
      this.lag.ticked()
    }
    return this
  }

  lines (): string[] {
    const exposition = new Exposition()
    this.lag.expose(exposition)
    return exposition.text().split('\n').filter(line => line !== '' && !line.startsWith('#'))
  }
}

test('the threshold is the time that the limits reserve for a stop and for timers', () => {
  expect(lateTurnThreshold(50)).toEqual(100)
})

test('ticks that are late by no more than the threshold are not logged', () => {
  expect(new Ticks().late(0, 99, 100, 0).notes).toEqual([])
})

// Without this line, nothing shows that a process was delayed by more than its callers wait.
test('a tick later than the threshold is logged at once with its delay', () => {
  expect(new Ticks().late(0, 412).notes).toEqual([{ late: 412, interval: INTERVAL, ago: 0, turns: 1, threshold: THRESHOLD }])
})

// A process that is late all the time must not spend its time on logging it.
test('late ticks within a second share a line with the maximum delay, its time, and their number', () => {
  const ticks = new Ticks().late(101, 150, 300, 200)
  expect(ticks.notes.map(({ turns }) => turns)).toEqual([1])
  ticks.late(0, 0, 0)
  expect(ticks.notes.length).toEqual(1)
  ticks.late(0)
  expect(ticks.notes.slice(1)).toEqual([{ late: 300, interval: INTERVAL, ago: 450, turns: 3, threshold: THRESHOLD }])
  expect(ticks.late(...Array.from({ length: 100 }, () => 0)).notes.length).toEqual(2)
})

test('the time before the first tick was scheduled does not count as delay', () => {
  let now = 0
  const lag = new LoopLag({ threshold: THRESHOLD, now: () => now, note: () => { throw new Error('noted') } })
  now = 5000
  lag.expect(INTERVAL)
  now += INTERVAL
  lag.ticked()
})

test('delays are exposed as quantiles in seconds, and late ticks are counted', () => {
  expect(new Ticks().late(...Array.from({ length: 98 }, () => 0), 250, 250).lines()).toEqual([
    'amaranthmast_loop_late_seconds{quantile="0.5"} 0',
    'amaranthmast_loop_late_seconds{quantile="0.9"} 0',
    'amaranthmast_loop_late_seconds{quantile="0.99"} 0.25087',
    'amaranthmast_loop_late_seconds{quantile="1"} 0.25087',
    'amaranthmast_loop_late_seconds_sum 0.5',
    'amaranthmast_loop_late_seconds_count 100',
    'amaranthmast_loop_late_turns_total 2'
  ])
})

test('a blocked event loop is detected by the next tick of the timer', async () => {
  const notes: number[] = []
  const lag = new LoopLag({ threshold: THRESHOLD, now: () => performance.now(), note: (_what, { late }) => notes.push(late as number) })
  const first = new Promise<void>(resolve => {
    const ticker = new Ticker(() => {
      ticker.stop()
      resolve()
    }, () => true, lag)
    ticker.start()
  })
  const held = 4 * TICK_MILLISECONDS + THRESHOLD
  const begin = performance.now()
  while (performance.now() - begin < held);
  await first
  expect(notes.length).toEqual(1)
  expect((notes[0] ?? 0) >= held - TICK_MILLISECONDS).toEqual(true)
})
