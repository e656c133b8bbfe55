import { test } from 'node:test'
import { expect } from 'earl'
import { Pressure } from '../src/pressure.ts'

const JOBS = Array.from({ length: 200 }, (_none, index) => `job${index}`)

function told (pressure: Pressure, now: number): number[] {
  return JOBS.map(job => pressure.retryAfter(job, now))
}

test('without pressure a caller may come back soon', () => {
  expect(Math.max(...told(new Pressure(), 1000))).toEqual(200)
})

// A burst has three of four callers refused. Told the same time, they would be the next burst.
test('under pressure callers are told times that lie apart', () => {
  const pressure = new Pressure()
  for (let index = 0; index < 40; index += 1) {
    pressure.noteRefused(1000)
    if (index % 4 === 0) pressure.noteBegun(1000)
  }
  const times = told(pressure, 1000)
  const early = times.filter(time => time < 2500).length
  expect([Math.min(...times) < 400, Math.max(...times) > 4500, Math.abs(early - 100) < 25]).toEqual([true, true, true])
})

test('pressure is forgotten', () => {
  const pressure = new Pressure()
  for (let index = 0; index < 10; index += 1) pressure.noteRefused(1000)
  expect(Math.max(...told(pressure, 31_000)) < 300).toEqual(true)
})

test('the same job is told the same', () => {
  expect(new Pressure().retryAfter('job', 5)).toEqual(new Pressure().retryAfter('job', 5))
})

test('jobs that are refused or late count as missed', () => {
  const pressure = new Pressure()
  expect(pressure.missedShare(1000)).toEqual(0)
  for (let index = 0; index < 8; index += 1) pressure.noteBegun(1000)
  pressure.noteRefused(1000)
  pressure.noteRefused(1000)
  expect(pressure.missedShare(1000)).toEqual(0.2)
  pressure.noteLate(1000)
  expect(pressure.missedShare(1000)).toEqual(0.3)
})
