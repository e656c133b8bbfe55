import type { AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure, StartAnswer } from '@amaranthmast/dispatch/agenttypes'
import { SeededRandom } from '@amaranthmast/standins/random'
import { EmulatedTarget } from '../src/emulatedtarget.ts'
import { Timeline } from '../src/timeline.ts'

const TOKEN = 1
const TIMEOUT = 100
const DEADLINE = 1000

interface Bench {
  timeline: Timeline
  target: EmulatedTarget
  events: AgentEvent[]
  instance: string
}

function targetWithTask (): Bench {
  const timeline = new Timeline()
  const events: AgentEvent[] = []
  const traits = {
    service: 'checks',
    dataCentre: 'one',
    labels: [],
    capacity: { cpu: 8000, memory: 1000, accelerators: 0 },
    clockRate: 1,
    longestLease: 2000,
    heartbeat: 10_000,
    news: 4000,
    pollsWait: true,
    plan: () => ({ duration: 5000, fails: false }),
    cpuOf: () => 1000
  }
  const target = new EmulatedTarget(timeline, new SeededRandom(1), traits, event => { events.push(event) })
  const instance = events.flatMap(event => event.type === 'targetSeen' ? [event.facts.instance] : [])[0] ?? ''
  target.start({ type: 'start', instance, token: TOKEN, task: 'a', run: 1, payload: '', deadline: DEADLINE, timeout: TIMEOUT })
  timeline.runUntil(10)
  events.length = 0
  return { timeline, target, events, instance }
}

function tasksOf ({ target }: Bench): string[] {
  return target.running().map(({ task }) => task)
}

test('a target that refuses connections breaks open calls off, and its tasks run on', () => {
  const bench = targetWithTask()
  const { timeline, target, events, instance } = bench
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 10, deadline: undefined, acknowledged: 0, wait: 500, timeout: 600 })
  timeline.runUntil(20)
  target.refuse(200)
  timeline.runUntil(30)
  target.start({ type: 'start', instance, token: TOKEN, task: 'b', run: 1, payload: '', deadline: DEADLINE, timeout: TIMEOUT })
  timeline.runUntil(200)
  expect(events).toEqual([
    { type: 'pollFailed', instance, sent: 10, failure: PollFailure.NoResponse },
    { type: 'startAnswered', instance, task: 'b', run: 1, answer: StartAnswer.NoListener }
  ])
  expect(tasksOf(bench)).toEqual(['a'])
})

test('a target that refused connections answers again', () => {
  const bench = targetWithTask()
  bench.target.refuse(200)
  bench.timeline.runUntil(250)
  bench.target.poll({ type: 'poll', instance: bench.instance, token: TOKEN, sent: 250, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
  bench.timeline.runUntil(300)
  expect(bench.events.map(({ type }) => type)).toEqual(['polled'])
})

test('a target that loses stops answers polls, and its tasks run on', () => {
  const bench = targetWithTask()
  const { timeline, target, events, instance } = bench
  target.loseStops(500)
  target.stop({ type: 'stop', instance, token: TOKEN, task: 'a', run: 1, timeout: TIMEOUT })
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 10, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
  timeline.runUntil(200)
  expect(events.map(({ type }) => type)).toEqual(['polled', 'stopAnswered'])
  expect(tasksOf(bench)).toEqual(['a'])
})

test('a slow target answers 50 to 400 ms later', () => {
  const { timeline, target, events, instance } = targetWithTask()
  target.answerSlowly(500)
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 10, deadline: undefined, acknowledged: 0, wait: 0, timeout: 1000 })
  timeline.runUntil(60)
  expect(events).toEqual([])
  timeline.runUntil(420)
  expect(events.map(({ type }) => type)).toEqual(['polled'])
})

test('a target that lingers runs its tasks on after it has deregistered, and is heard no more', () => {
  const bench = targetWithTask()
  const { timeline, target, events, instance } = bench
  target.leave(100, { lingers: 150 })
  timeline.runUntil(150)
  target.announce()
  expect(events.map(({ type }) => type)).toEqual(['targetSeen', 'targetLeft'])
  expect(events.at(-1)).toEqual({ type: 'targetLeft', instance })
  expect(tasksOf(bench)).toEqual(['a'])
  timeline.runUntil(300)
  expect(tasksOf(bench)).toEqual([])
})

test('a target that lingers may refuse connections meanwhile', () => {
  const bench = targetWithTask()
  const { timeline, target, events, instance } = bench
  target.leave(100, { lingers: 150, refuses: true })
  timeline.runUntil(150)
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 150, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
  timeline.runUntil(200)
  expect(events.at(-1)).toEqual({ type: 'pollFailed', instance, sent: 150, failure: PollFailure.NoListener })
  expect(tasksOf(bench)).toEqual(['a'])
})
