import { test } from 'node:test'
import { expect } from 'earl'
import { Slots } from '../src/slots.ts'
import type { SlotTask } from '../src/slots.ts'

const noNeeds = { accelerators: 0, memoryMegabytes: 0 }

function slots (options: { slots?: number, accelerators?: number, queueLimit?: number } = {}, entries = ['one', 'two']): Slots {
  const made = new Slots({ slots: 2, accelerators: 0, memoryMegabytes: 1000, queueLimit: 4, ...options })
  made.setEntries(entries)
  return made
}

function task (id: number, more: Partial<SlotTask> = {}): SlotTask {
  return { id, entry: 'one', needs: noNeeds, runMilliseconds: 0, ...more }
}

test('starts tasks while slots are free, then queues them', () => {
  const made = slots()
  expect([1, 2, 3].map(id => made.offer(task(id), 0))).toEqual(['start', 'start', 'queue'])
  expect(made.load('one')).toEqual({ running: 2, queued: 1, credit: 6 })
})

test('a free slot goes to the waiting task that may be overtaken for the shortest time', () => {
  const made = slots()
  made.offer(task(1), 0)
  made.offer(task(2), 0)
  made.offer(task(3, { patienceMilliseconds: 900 }), 0)
  made.offer(task(4, { patienceMilliseconds: 100, entry: 'two' }), 500)
  expect(made.release(1)).toEqual([4])
  expect(made.release(2)).toEqual([3])
})

test('without overtaking limits the oldest task goes first', () => {
  const made = slots()
  for (const id of [1, 2, 3, 4]) made.offer(task(id), 0)
  expect(made.release(1)).toEqual([3])
})

// One entry's burst fills the queue of every agent. Without a guaranteed minimum, an entry that has no
// tasks there would be refused everywhere for as long as the burst lasts.
test('a task of an entry below its equal share is accepted although the queue is full', () => {
  const made = slots()
  for (let id = 1; id <= 6; id += 1) made.offer(task(id), 0)
  expect(made.offer(task(7), 0)).toEqual('full')
  expect(made.offer(task(8, { entry: 'two' }), 0)).toEqual('queue')
})

test('a task that needs an accelerator waits for one and does not block the others', () => {
  const made = slots({ slots: 3, accelerators: 1 })
  const needs = { accelerators: 1, memoryMegabytes: 0 }
  expect(made.offer(task(1, { needs }), 0)).toEqual('start')
  expect(made.offer(task(2, { needs }), 0)).toEqual('queue')
  expect(made.offer(task(3), 0)).toEqual('start')
  expect(made.release(3)).toEqual([])
  expect(made.release(1)).toEqual([2])
})

// Small tasks arrive continuously and each fits beside the running ones. If they started on arrival, a
// large task that waits for memory would see it taken again each time a little is freed.
test('a small task that needs memory is queued behind a larger one that waits for memory', () => {
  const made = slots({ slots: 8 })
  const small = { accelerators: 0, memoryMegabytes: 400 }
  expect([1, 2].map(id => made.offer(task(id, { needs: small }), 0))).toEqual(['start', 'start'])
  expect(made.offer(task(3, { needs: { accelerators: 0, memoryMegabytes: 900 } }), 0)).toEqual('queue')
  expect(made.offer(task(4, { needs: { accelerators: 0, memoryMegabytes: 100 } }), 0)).toEqual('queue')
  expect(made.release(1)).toEqual([4])
})

test('cancels only tasks that still wait', () => {
  const made = slots()
  for (const id of [1, 2, 3]) made.offer(task(id), 0)
  expect([1, 3, 3].map(id => made.cancelWaiting(id))).toEqual([false, true, false])
  expect(made.release(1)).toEqual([])
})

test('releasing an unknown task has no effect', () => {
  const made = slots()
  made.offer(task(1), 0)
  made.release(9)
  expect(made.load('one').running).toEqual(1)
})

test('credit falls as other entries use the target, but never below the equal share', () => {
  const made = slots({ slots: 4, queueLimit: 4 })
  for (let id = 0; id < 400; id += 1) {
    made.offer(task(id, { entry: 'two' }), 0)
    if (id >= 7) made.release(id - 7)
  }
  expect(made.load('one').credit).toEqual(4)
  expect(made.load('two').credit).toEqual(8)
})

test('the number of reports stays below a tenth of the tasks however the load changes', () => {
  const made = slots({ slots: 8, queueLimit: 8 }, ['one', 'two', 'three'])
  for (const entry of ['one', 'two', 'three']) made.load(entry)
  let reports = 0
  let id = 0
  for (let round = 0; round < 40; round += 1) {
    const entry = ['one', 'two', 'three'][round % 3] as string
    for (let number = 0; number < 50; number += 1) {
      id += 1
      made.offer(task(id, { entry }), 0)
      if (number > 12) made.release(id - 12)
      reports += made.entriesToReport().length
    }
  }
  expect(reports > 0 && reports <= id / 10).toEqual(true)
})
