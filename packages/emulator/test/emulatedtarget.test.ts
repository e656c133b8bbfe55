import type { AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { TargetOptions } from '../src/emulatedtarget.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { PollFailure, StartAnswer } from '@amaranthmast/dispatch/agenttypes'
import { SeededRandom } from '@amaranthmast/standins/random'
import { EmulatedTarget } from '../src/emulatedtarget.ts'
import { Timeline } from '../src/timeline.ts'

const TOKEN = 1
const TIMEOUT = 100
const DEADLINE = 1000

interface Fixture {
  timeline: Timeline
  target: EmulatedTarget
  events: AgentEvent[]
  instance: string
}

function targetWithTask (changes: Partial<TargetOptions> = {}): Fixture {
  const timeline = new Timeline()
  const events: AgentEvent[] = []
  const options = {
    service: 'checks',
    dataCentre: 'one',
    labels: [],
    capacity: { cpu: 8000, memory: 1000, accelerators: 0 },
    clockRate: 1,
    longestLease: 2000,
    heartbeat: 10_000,
    capacityGrace: 4000,
    pollsWait: true,
    plan: () => ({ duration: 5000, fails: false }),
    cpuOf: () => 1000,
    ...changes
  }
  const target = new EmulatedTarget(timeline, new SeededRandom(1), options, event => { events.push(event) })
  const instance = events.flatMap(event => event.type === 'targetSeen' ? [event.facts.instance] : [])[0] ?? ''
  target.start({ type: 'start', instance, token: TOKEN, task: 'a', run: 1, payload: '', deadline: DEADLINE, timeout: TIMEOUT })
  timeline.runUntil(10)
  events.length = 0
  return { timeline, target, events, instance }
}

function tasksOf ({ target }: Fixture): string[] {
  return target.running().map(({ task }) => task)
}

test('a target that refuses connections breaks open calls, and its tasks continue', () => {
  const fixture = targetWithTask()
  const { timeline, target, events, instance } = fixture
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
  expect(tasksOf(fixture)).toEqual(['a'])
})

test('a target answers again after it has refused connections', () => {
  const fixture = targetWithTask()
  fixture.target.refuse(200)
  fixture.timeline.runUntil(250)
  fixture.target.poll({ type: 'poll', instance: fixture.instance, token: TOKEN, sent: 250, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
  fixture.timeline.runUntil(300)
  expect(fixture.events.map(({ type }) => type)).toEqual(['polled'])
})

test('a target that loses stop calls still answers polls, and its tasks continue', () => {
  const fixture = targetWithTask()
  const { timeline, target, events, instance } = fixture
  target.loseStops(500)
  target.stop({ type: 'stop', instance, token: TOKEN, task: 'a', run: 1, timeout: TIMEOUT })
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 10, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
  timeline.runUntil(200)
  expect(events.map(({ type }) => type)).toEqual(['polled', 'stopAnswered'])
  expect(tasksOf(fixture)).toEqual(['a'])
})

test('a slow target answers with a delay of 50 to 400 ms', () => {
  const { timeline, target, events, instance } = targetWithTask()
  target.answerSlowly(500)
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 10, deadline: undefined, acknowledged: 0, wait: 0, timeout: 1000 })
  timeline.runUntil(60)
  expect(events).toEqual([])
  timeline.runUntil(420)
  expect(events.map(({ type }) => type)).toEqual(['polled'])
})

test('a lingering target continues its tasks after it has deregistered, and sends no more heartbeats', () => {
  const fixture = targetWithTask()
  const { timeline, target, events, instance } = fixture
  target.leave(100, { lingers: 150 })
  timeline.runUntil(150)
  target.announce()
  expect(events.map(({ type }) => type)).toEqual(['targetSeen', 'targetLeft'])
  expect(events.at(-1)).toEqual({ type: 'targetLeft', instance })
  expect(tasksOf(fixture)).toEqual(['a'])
  timeline.runUntil(300)
  expect(tasksOf(fixture)).toEqual([])
})

test('a lingering target can refuse connections', () => {
  const fixture = targetWithTask()
  const { timeline, target, events, instance } = fixture
  target.leave(100, { lingers: 150, refuses: true })
  timeline.runUntil(150)
  target.poll({ type: 'poll', instance, token: TOKEN, sent: 150, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
  timeline.runUntil(200)
  expect(events.at(-1)).toEqual({ type: 'pollFailed', instance, sent: 150, failure: PollFailure.NoListener })
  expect(tasksOf(fixture)).toEqual(['a'])
})

test('a failure counts as listed from the first poll that lists it, and only once', () => {
  const failures: string[] = []
  const { timeline, target, instance } = targetWithTask({ plan: () => ({ duration: 50, fails: true }), failureListed: task => failures.push(task) })
  timeline.runUntil(100)
  expect(failures).toEqual([])
  for (let poll = 1; poll <= 2; poll += 1) {
    target.poll({ type: 'poll', instance, token: TOKEN, sent: timeline.now, deadline: undefined, acknowledged: 0, wait: 0, timeout: TIMEOUT })
    timeline.runUntil(100 + 50 * poll)
  }
  expect(failures).toEqual(['a'])
})
