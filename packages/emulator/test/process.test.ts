import { test } from 'node:test'
import { expect } from 'earl'
import { Process } from '../src/process.ts'
import { Timeline } from '../src/timeline.ts'

interface Core {
  handle: (event: string, now: number) => never[]
}

interface Handled {
  event: string
  at: number
}

const PAUSE = 200

function processOn (timeline: Timeline, handled: Handled[], arrange?: (events: readonly string[]) => readonly string[]): Process<string, never> {
  const make = (): Core => ({
    handle: (event, now) => {
      if (event !== 'tick') handled.push({ event, at: now })
      return []
    }
  })
  const process = new Process<string, never>('process', timeline, make, 'tick', () => {}, arrange === undefined ? {} : { arrange })
  process.start()
  return process
}

test('a delayed process handles all pending events in one turn, in the order of their arrival', () => {
  const timeline = new Timeline()
  const handled: Handled[] = []
  const process = processOn(timeline, handled)
  process.delay(300, () => PAUSE)
  timeline.after(10, () => process.post('a'))
  timeline.after(150, () => process.post('b'))
  timeline.after(250, () => process.post('c'))
  timeline.after(450, () => process.post('d'))
  timeline.runUntil(1000)
  expect(handled).toEqual([{ event: 'a', at: 200 }, { event: 'b', at: 200 }, { event: 'c', at: 400 }, { event: 'd', at: 450 }])
})

test('a delayed process handles one tick per turn, before the other events', () => {
  const timeline = new Timeline()
  const seen: string[] = []
  const make = (): Core => ({
    handle: event => {
      seen.push(event)
      return []
    }
  })
  const process = new Process<string, never>('process', timeline, make, 'tick', () => {})
  process.start()
  process.delay(170, () => 180)
  timeline.after(10, () => process.post('a'))
  timeline.runUntil(190)
  expect(seen).toEqual(['tick', 'tick', 'a'])
})

test('a timer of a delayed process runs in the next turn, after the events that had arrived', () => {
  const timeline = new Timeline()
  const handled: Handled[] = []
  const process = processOn(timeline, handled)
  process.delay(190, () => PAUSE)
  process.after(50, () => process.post('timer'))
  timeline.after(150, () => process.post('answer'))
  timeline.runUntil(1000)
  expect(handled).toEqual([{ event: 'answer', at: 200 }, { event: 'timer', at: 200 }])
})

test('a delayed process handles the events of a turn in the order that its option returns', () => {
  const timeline = new Timeline()
  const handled: Handled[] = []
  const process = processOn(timeline, handled, events => [...events].sort())
  process.delay(190, () => PAUSE)
  for (const event of ['b', 'c', 'a']) process.post(event)
  timeline.runUntil(1000)
  expect(handled.map(({ event }) => event)).toEqual(['a', 'b', 'c'])
})

test('a process that is killed while delayed restarts without its pending events and timers', () => {
  const timeline = new Timeline()
  const handled: Handled[] = []
  const process = processOn(timeline, handled)
  process.delay(1000, () => PAUSE)
  process.post('lost')
  process.after(20, () => process.post('lost too'))
  timeline.after(50, () => {
    process.kill()
    process.start()
    process.post('new')
  })
  timeline.runUntil(2000)
  expect(handled).toEqual([{ event: 'new', at: 50 }])
})
