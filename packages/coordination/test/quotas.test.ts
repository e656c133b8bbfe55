import { test } from 'node:test'
import { expect } from 'earl'
import { TenantQuotas } from '../src/quotas.ts'

function quotas (limits: { tasksPerSecond?: number, burst?: number, slots?: number }, entries = 1): TenantQuotas {
  const made = new TenantQuotas()
  made.configure({ team: { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1, ...limits } })
  made.setEntryCount(entries)
  return made
}

function startsWithin (made: TenantQuotas, from: number, until: number): number {
  let started = 0
  for (let now = from; now < until; now += 1) {
    while (made.mayStart('team', now) && started < 1e5) {
      made.start('team', now)
      started += 1
    }
  }
  return started
}

test('a tenant without a quota is not limited', () => {
  expect(startsWithin(quotas({}), 0, 1)).toEqual(100_000)
})

test('the rate is kept over ten seconds after the burst', () => {
  const made = quotas({ tasksPerSecond: 50, burst: 20 })
  const started = startsWithin(made, 0, 10_000)
  expect(started >= 518 && started <= 521).toEqual(true)
})

test('several entries together start as many tasks as one entry would', () => {
  const started = [0, 1, 2].map(() => startsWithin(quotas({ tasksPerSecond: 60, burst: 30 }, 3), 0, 10_000))
  const sum = started.reduce((one, other) => one + other, 0)
  expect(sum >= 620 && sum <= 633).toEqual(true)
})

test('the end of a task frees its slot', () => {
  const made = quotas({ slots: 2 })
  made.start('team', 0)
  made.start('team', 0)
  expect(made.mayStart('team', 0)).toEqual(false)
  made.end('team', true, 1)
  expect(made.mayStart('team', 1)).toEqual(true)
})

test('each entry gets at least one slot of a small quota', () => {
  expect(quotas({ slots: 2 }, 5).slots('team')).toEqual(1)
})

test('a task that was not started returns its token', () => {
  const made = quotas({ tasksPerSecond: 1, burst: 1 })
  made.start('team', 0)
  made.end('team', false, 0)
  expect(made.mayStart('team', 0)).toEqual(true)
})

test('nextStart is the time at which the rate allows the next task, and undefined while all slots are taken', () => {
  const byRate = quotas({ tasksPerSecond: 10, burst: 1 })
  byRate.start('team', 0)
  expect(byRate.nextStart('team', 0)).toEqual(100)
  const bySlots = quotas({ slots: 1 })
  bySlots.start('team', 0)
  expect(bySlots.nextStart('team', 0)).toEqual(undefined)
})
