/** The capacity that an entry expects at its targets, now and later. */
import type { TargetFacts } from '../src/messages.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { CapacityForecast } from '../src/capacityforecast.ts'
import { AgentView } from '../src/fleetview.ts'
import { Job } from '../src/job.ts'
import { TARGET } from './agentbench.ts'
import { QUEUE, step } from './entrybench.ts'

const NOW = 1000

function agent (name: string, facts: Partial<TargetFacts> = {}): AgentView {
  const view = new AgentView(name)
  view.linked = true
  view.announced = true
  view.heardAt = NOW
  const target = { ...TARGET, ...facts }
  view.noteTarget(target, NOW + (target.remaining ?? -Infinity))
  return view
}

/** Total and free cores of the bench's service. */
function cores (forecast: CapacityForecast, agents: readonly AgentView[], ahead: number, now = NOW): [total: number, free: number] {
  const { total, free } = forecast.at(agents, TARGET.service, ahead, now)
  return [total / 1000, free / 1000]
}

test('targets that take work count, those of other services do not', () => {
  expect(cores(new CapacityForecast(), [agent('one'), agent('two', { service: 'other' })], 0)).toEqual([8, 8])
})

test('a target that leaves counts until it is gone', () => {
  const agents = [agent('stays'), agent('leaves', { leaving: true, remaining: 500 }), agent('silent', { leaving: true })]
  expect([0, 400, 600].map(ahead => cores(new CapacityForecast(), agents, ahead))).toEqual([[16, 16], [16, 16], [8, 8]])
})

test('an evacuated target counts neither now nor later', () => {
  const evacuated = agent('one')
  evacuated.evacuated = true
  expect([0, 5000].map(ahead => cores(new CapacityForecast(), [evacuated], ahead))).toEqual([[0, 0], [0, 0]])
})

test('capacity held by own tasks is free when they are expected to have ended', () => {
  const view = agent('one')
  const [task] = new Job({ id: 'a', queue: QUEUE, payload: '', steps: [step(1)], remaining: 1000 }, NOW).tasks
  if (task === undefined) throw new Error('a job without tasks')
  view.add({ task, attempt: 1, incarnation: 'a', needs: step(1).needs, expected: 300, placedAt: NOW, stopping: false })
  expect([0, 200, 300].map(ahead => cores(new CapacityForecast(), [view], ahead))).toEqual([[8, 6], [8, 6], [8, 8]])
})

test('a shrunk target counts what it has left', () => {
  const view = agent('one')
  view.noteTarget({ ...TARGET, capacity: { ...TARGET.capacity, cpu: 3000 } })
  expect(cores(new CapacityForecast(), [view], 0)).toEqual([3, 3])
})

/** The agent is away between two times. */
function away (forecast: CapacityForecast, view: AgentView, from: number, to = Infinity): void {
  forecast.note(view, from)
  view.linked = false
  forecast.note(view, from)
  if (to === Infinity) return
  view.linked = true
  forecast.note(view, to)
}

test('a target that is away is expected back after as long as others were', () => {
  const forecast = new CapacityForecast()
  const [one, two] = [agent('one'), agent('two')]
  away(forecast, one, 0, 600)
  away(forecast, two, NOW)
  expect([0, 500, 600].map(ahead => cores(forecast, [one, two], ahead))).toEqual([[8, 8], [8, 8], [16, 16]])
  expect(forecast.status([one, two], TARGET.service, NOW)).toEqual({ total: 8000, free: 8000, targets: 1, leaving: 0, evacuated: 0, away: 1, awayWhenLost: 600, awayWhenLeft: 0 })
})

test('a target that is away for much longer than others were is not expected back', () => {
  const forecast = new CapacityForecast()
  const [one, two] = [agent('one'), agent('two')]
  away(forecast, one, 0, 100)
  away(forecast, two, NOW - 300)
  expect(cores(forecast, [one, two], 5000)).toEqual([8, 8])
})

test('a target that left as announced is not expected back because lost ones were', () => {
  const forecast = new CapacityForecast()
  const [one, two] = [agent('one'), agent('two', { leaving: true, remaining: 100 })]
  away(forecast, one, 0, 600)
  away(forecast, two, NOW)
  expect(cores(forecast, [one, two], 5000)).toEqual([8, 8])
})

// An agent reports no remaining time once nothing may start at its leaving target.
test('a target that took no more tasks before it left as announced is not expected back because lost ones were', () => {
  const forecast = new CapacityForecast()
  const [one, two] = [agent('one'), agent('two', { leaving: true, remaining: 100 })]
  away(forecast, one, 0, 600)
  forecast.note(two, NOW - 50)
  two.noteTarget({ ...TARGET, leaving: true })
  forecast.note(two, NOW - 20)
  away(forecast, two, NOW)
  expect(cores(forecast, [one, two], 5000)).toEqual([8, 8])
})

test('a target that takes work again after its notice and is then lost is expected back as lost ones are', () => {
  const forecast = new CapacityForecast()
  const [one, two] = [agent('one'), agent('two', { leaving: true, remaining: 100 })]
  away(forecast, one, 0, 600)
  forecast.note(two, NOW - 50)
  two.noteTarget(TARGET)
  away(forecast, two, NOW)
  expect(cores(forecast, [one, two], 600)).toEqual([16, 16])
})

test('a target of a removed agent is not expected back', () => {
  const forecast = new CapacityForecast()
  const [one, two] = [agent('one'), agent('two')]
  away(forecast, one, 0, 600)
  away(forecast, two, NOW)
  forecast.remove(two)
  expect(cores(forecast, [one], 5000)).toEqual([8, 8])
})
