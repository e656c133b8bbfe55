import { test } from 'node:test'
import { expect } from 'earl'
import { Pressure } from '../src/pressure.ts'

const JOBS = Array.from({ length: 200 }, (_none, index) => `job${index}`)

function returnTimes (pressure: Pressure, now: number): number[] {
  return JOBS.map(job => pressure.retryAfter(job, now))
}

test('without pressure a caller may return soon', () => {
  expect(Math.max(...returnTimes(new Pressure(), 1000))).toEqual(200)
})

// A burst has three of four callers refused. Given the same time, they would be the next burst.
test('under pressure callers are given spread times', () => {
  const pressure = new Pressure()
  for (let index = 0; index < 40; index += 1) {
    pressure.noteRefused(1000)
    if (index % 4 === 0) pressure.noteBegun(1000)
  }
  const times = returnTimes(pressure, 1000)
  const early = times.filter(time => time < 2500).length
  expect([Math.min(...times) < 400, Math.max(...times) > 4500, Math.abs(early - 100) < 25]).toEqual([true, true, true])
})

test('pressure decays', () => {
  const pressure = new Pressure()
  for (let index = 0; index < 10; index += 1) pressure.noteRefused(1000)
  expect(Math.max(...returnTimes(pressure, 31_000)) < 300).toEqual(true)
})

test('the same job gets the same time', () => {
  expect(new Pressure().retryAfter('job', 5)).toEqual(new Pressure().retryAfter('job', 5))
})

test('refused and late jobs count as missed', () => {
  const pressure = new Pressure()
  expect(pressure.missedFraction(1000)).toEqual(0)
  for (let index = 0; index < 8; index += 1) pressure.noteBegun(1000)
  pressure.noteRefused(1000)
  pressure.noteRefused(1000)
  expect(pressure.missedFraction(1000)).toEqual(0.2)
  pressure.noteLate(1000)
  expect(pressure.missedFraction(1000)).toEqual(0.3)
})
