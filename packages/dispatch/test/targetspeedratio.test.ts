import type { HeldTask } from '../src/heldtasks.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@amaranthmast/standins/random'
import { randomNormal } from 'd3-random'
import { SLOW_SPEED_RATIO } from '../src/defaults.ts'
import { TargetSpeedRatio } from '../src/progress.ts'
import { learnSpeeds } from '../src/targetspeeds.ts'
import { order } from './agentbench.ts'

const POLL_MILLISECONDS = 100
const SLOTS = 8

interface Running {
  held: HeldTask
  /** Work done and total work, in milliseconds at a healthy target. */
  done: number
  work: number
}

interface Run {
  seed: number
  milliseconds: number
  /** Speed of the target at a given time. */
  speed?: (now: number) => number
  /** Fraction of the tasks that take seven times as long. */
  tail?: number
  each?: (pace: TargetSpeedRatio, now: number) => void
}

/** Simulates a busy target whose tasks are estimated with an error of 40%. */
function simulate ({ seed, milliseconds, speed = () => 1, tail = 0, each = () => {} }: Run): TargetSpeedRatio {
  const random = new SeededRandom(seed)
  const estimationError = randomNormal.source(() => random.next())(0, 0.4)
  const ratio = new TargetSpeedRatio({ learnsKinds: true })
  let running: Running[] = []
  const begin = (now: number): Running => {
    const expected = 60 + random.next() * random.next() * 1200
    const work = expected * Math.exp(estimationError()) * (random.next() < tail ? 7 : 1)
    return { held: { order: { ...order('job.0.0'), expected }, startedAt: now, observedAt: now, observedPercent: 0 } as HeldTask, done: 0, work }
  }
  for (let now = 0; now < milliseconds; now += POLL_MILLISECONDS) {
    for (const task of running) {
      const left = (task.work - task.done) / speed(now)
      task.done = left <= POLL_MILLISECONDS ? task.work : task.done + POLL_MILLISECONDS * speed(now)
      ratio.observe(task.held, Math.floor(100 * task.done / task.work), left <= POLL_MILLISECONDS ? now - POLL_MILLISECONDS + left : now)
    }
    running = running.filter(({ done, work }) => done < work)
    while (running.length < SLOTS) running.push(begin(now))
    each(ratio, now)
  }
  return ratio
}

// One of ten tasks that takes seven times its expected time reduces the mean speed ratio by a tenth, and several of them make a
// healthy target look slow.
test('with a heavy tail of run times no healthy target counts as slow', () => {
  let lowest = Infinity
  for (let seed = 1; seed <= 48; seed += 1) {
    simulate({ seed, milliseconds: 10_000, tail: 0.03, each: (pace, now) => { if (now > 1000 && pace.value(now) > 0) lowest = Math.min(lowest, pace.value(now)) } })
  }
  expect(lowest > SLOW_SPEED_RATIO).toEqual(true)
})

test('with a heavy tail of run times equal targets count as equally fast', () => {
  const estimates = Array.from({ length: 48 }, (_none, index) => simulate({ seed: 100 + index, milliseconds: 8000, tail: 0.03 }).steady(8000))
  const { byTarget } = learnSpeeds(estimates.map((estimate, index) => ({ name: `agent${index}`, labels: [], pace: estimate?.pace ?? 0, error: estimate?.error ?? 1 })))
  expect([...byTarget.values()].filter(({ speed }) => speed < 0.85 || speed > 1.18)).toEqual([])
})

test('a slow target among healthy ones is detected within two seconds', () => {
  const ratioOf = (seed: number, speed: number): number => simulate({ seed, milliseconds: 2000, speed: () => speed }).steady(2000)?.pace ?? 0
  for (let seed = 1; seed <= 20; seed += 1) expect(ratioOf(seed, 0.55) < 0.75 * ratioOf(seed + 50, 1.2)).toEqual(true)
})

// Guards against a target that is throttled while tasks run and keeps the steady speed ratio of the previous seconds.
test('a target that becomes slow is detected within a second and a half', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const ratio = simulate({ seed, milliseconds: 6500, speed: now => now < 5000 ? 1 : 0.2 })
    const value = ratio.steady(6500)?.pace ?? ratio.value(6500)
    expect(value < 0.5).toEqual(true)
  }
})

test('with learning of kinds off no steady speed ratio is reported', () => {
  expect(new TargetSpeedRatio({ learnsKinds: false }).steady(0)).toEqual(undefined)
})
