import { test } from 'node:test'
import { expect } from 'earl'
import { FleetHealth, TargetHealth, Trust } from '../src/health.ts'

function fleetOf (size: number): { fleet: FleetHealth, targets: TargetHealth[] } {
  const fleet = new FleetHealth()
  const targets = Array.from({ length: size }, () => new TargetHealth(8))
  for (const target of targets) fleet.add(target)
  return { fleet, targets }
}

function fail (fleet: FleetHealth, target: TargetHealth, now: number): void {
  fleet.remove(target)
  target.recordFailure()
  fleet.add(target)
  if (!fleet.shouldEject(target)) return
  fleet.remove(target)
  target.eject(now)
  fleet.add(target)
}

// A target with a full disk fails each task within milliseconds. It is always idle, so a scheduler that
// considers load first would send it the work of the whole fleet.
test('a target that fails every task is ejected after three failures', () => {
  const { fleet, targets } = fleetOf(11)
  const bad = targets[0] as TargetHealth
  fail(fleet, bad, 0)
  fail(fleet, bad, 0)
  expect(bad.trust).not.toEqual(Trust.Ejected)
  fail(fleet, bad, 0)
  expect(bad.trust).toEqual(Trust.Ejected)
  expect(bad.limit()).toEqual(0)
})

test('no target is ejected when all fail alike', () => {
  const { fleet, targets } = fleetOf(11)
  for (let round = 0; round < 20; round += 1) {
    for (const target of targets) fail(fleet, target, 0)
  }
  expect(targets.filter(target => target.trust === Trust.Ejected)).toEqual([])
})

for (const { size, spared } of [{ size: 1, spared: 1 }, { size: 2, spared: 1 }, { size: 4, spared: 1 }, { size: 11, spared: 3 }]) {
  test(`of ${size} targets at least ${spared} stay in use, whichever fail`, () => {
    const { fleet, targets } = fleetOf(size)
    for (const target of targets) {
      for (let round = 0; round < 9; round += 1) fail(fleet, target, 0)
    }
    expect(targets.filter(target => target.trust !== Trust.Ejected).length >= spared).toEqual(true)
  })
}

test('a failed probe doubles the ejection time, up to eight seconds', () => {
  const { fleet, targets } = fleetOf(11)
  const bad = targets[0] as TargetHealth
  for (let round = 0; round < 3; round += 1) fail(fleet, bad, 0)
  const lengths: number[] = [bad.probeAt]
  let now = bad.probeAt
  for (let round = 0; round < 3; round += 1) {
    fleet.remove(bad)
    bad.probe()
    fleet.add(bad)
    fail(fleet, bad, now)
    lengths.push(bad.probeAt - now)
    now = bad.probeAt
  }
  expect(lengths).toEqual([2000, 4000, 8000, 8000])
})

test('the limit of a probed target doubles with each success', () => {
  const health = new TargetHealth(8)
  health.eject(0)
  health.probe()
  const limits = [1, 2, 3].map(() => {
    const limit = health.limit()
    health.recordSuccess(1, 0)
    return limit
  })
  expect(limits).toEqual([1, 2, 4])
  expect(health.trust).toEqual(Trust.Full)
})

test('a slow target is detected, and tried again after some time', () => {
  const health = new TargetHealth(8)
  for (let round = 0; round < 60; round += 1) health.recordSuccess(4, 0)
  expect(health.slowness(0) > 3).toEqual(true)
  expect(health.slowness(300_000)).toEqual(1)
})

// The link of an agent fails and returns every second. The target looks idle whenever it is connected and
// gets work, which is lost or late each time the link fails.
test('a target that reconnects repeatedly is ejected for a while', () => {
  const health = new TargetHealth(8)
  for (const now of [0, 1000, 2000]) health.recordReturn(now)
  expect(health.trust).toEqual(Trust.Probing)
  health.recordReturn(3000)
  health.recordReturn(4000)
  expect(health.trust).toEqual(Trust.Ejected)
})
