/** How late the event loop is, and what is said of it. */
import { expect } from 'earl'
import { performance } from 'node:perf_hooks'
import { test } from 'node:test'
import { TICK_MILLISECONDS } from '../src/defaults.ts'
import { Exposition } from '../src/exposition.ts'
import { lateTurnThreshold, LoopLag } from '../src/looplag.ts'
import { Ticker } from '../src/ticker.ts'

const THRESHOLD = 100
const INTERVAL = 50

/** Lateness of ticks on a clock of its own. */
class Ticks {
  readonly notes: Array<Record<string, unknown>> = []
  #now = 1000
  readonly lag = new LoopLag({ threshold: THRESHOLD, now: () => this.#now, note: (_what, fields) => { this.notes.push(fields) } })

  /** Ticks that come so many milliseconds late, one after the other. */
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

test('the threshold is what limits set aside for a stop and for timers', () => {
  expect(lateTurnThreshold(50)).toEqual(100)
})

test('ticks up to the threshold are not noted', () => {
  expect(new Ticks().late(0, 99, 100, 0).notes).toEqual([])
})

// A process that was late by more than its callers wait for left no trace of it.
test('a tick later than the threshold is noted at once with how late it was', () => {
  expect(new Ticks().late(0, 412).notes).toEqual([{ late: 412, interval: INTERVAL, ago: 0, turns: 1, threshold: THRESHOLD }])
})

// A process that is late all the time must not spend its time on saying so.
test('late ticks within a second share a line that tells the worst, when it was, and their number', () => {
  const ticks = new Ticks().late(101, 150, 300, 200)
  expect(ticks.notes.map(({ turns }) => turns)).toEqual([1])
  ticks.late(0, 0, 0)
  expect(ticks.notes.length).toEqual(1)
  ticks.late(0)
  expect(ticks.notes.slice(1)).toEqual([{ late: 300, interval: INTERVAL, ago: 450, turns: 3, threshold: THRESHOLD }])
  expect(ticks.late(...Array.from({ length: 100 }, () => 0)).notes.length).toEqual(2)
})

test('the time before the first tick was expected is no lateness', () => {
  let now = 0
  const lag = new LoopLag({ threshold: THRESHOLD, now: () => now, note: () => { throw new Error('noted') } })
  now = 5000
  lag.expect(INTERVAL)
  now += INTERVAL
  lag.ticked()
})

test('lateness is exposed as quantiles in seconds, and late ticks are counted', () => {
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

test('a loop that is held up shows in the next tick of the one timer', async () => {
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
