import type { PlacementRequest } from '../src/placement.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@amaranthmast/standins/random'
import { FarCost } from '../src/farcost.ts'
import { AgentView } from '../src/fleetview.ts'
import { Isolation } from '../src/messages.ts'
import { choose } from '../src/placement.ts'
import { DEFAULT_POLICY } from '../src/policy.ts'
import { chooseBySlack } from '../src/slackplacement.ts'

const FASTEST = 1.2

function target (name: string, speed = 1, { cpu = 8000, used = 0, dataCentre = 'one' } = {}): AgentView {
  const agent = new AgentView(name)
  agent.linked = true
  agent.noteTarget({ instance: name, service: 'checks', dataCentre, capacity: { cpu, memory: 1000, accelerators: 0 }, labels: [], leaving: false })
  agent.noteLoad({ others: { cpu: used, memory: 0, accelerators: 0 }, pace: 0 })
  agent.noteInferredSpeed(speed, false)
  return agent
}

function request (extra: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    step: { needs: { cpu: 1000, memory: 10, accelerators: 0 }, label: '', rack: '', perTarget: 0 },
    expected: 300,
    now: 0,
    left: 1000,
    avoid: '',
    isolation: Isolation.None,
    dataCentre: 'one',
    placedAt: () => 0,
    hasPlace: () => true,
    isUsed: () => true,
    entries: 1,
    policy: { ...DEFAULT_POLICY, placesBySlack: true },
    farPenalty: 60,
    farWay: 2,
    ...extra
  }
}

const slow = target('slow', 0.55)
const fast = target('fast', FASTEST)

test('a task that is in time on a slow target leaves the fast one to others', () => {
  expect(chooseBySlack(request({ left: 900 }), [fast, slow], FASTEST)?.name).toEqual('slow')
})

test('a task that is in time on a slow target only as expected takes the fast one', () => {
  expect(chooseBySlack(request({ left: 600 }), [slow, fast], FASTEST)?.name).toEqual('fast')
})

test('a task that would be late on a slow target waits for a fast one', () => {
  expect(chooseBySlack(request({ left: 480 }), [slow], FASTEST)).toEqual(undefined)
})

test('a task that can be in time nowhere does not take the best', () => {
  expect(chooseBySlack(request({ left: 200 }), [fast, slow], FASTEST)?.name).toEqual('slow')
})

// A target at a tenth of its speed would hold a task until nobody waits for it.
test('a task that is late anyway is not given where it would be of no use', () => {
  expect(chooseBySlack(request({ left: 200 }), [target('broken', 0.1), fast], FASTEST)?.name).toEqual('fast')
})

test('on an even fleet the choice is that of the soonest end', () => {
  const random = new SeededRandom(1)
  for (let round = 0; round < 500; round += 1) {
    const agents = Array.from({ length: 12 }, (_none, index) =>
      target(`agent${index}`, 1, { used: Math.floor(random.next() * 9000), dataCentre: random.next() < 0.5 ? 'one' : 'two' }))
    const asked = request({ left: random.next() * 1000 - 200 })
    const nearest = request({ ...asked, farPenalty: asked.expected > asked.left ? 60 : asked.expected * 1.3 > asked.left ? 2 : 60 })
    expect(chooseBySlack(asked, agents, 1)?.name).toEqual(choose(nearest, agents)?.name)
  }
})

// Bytes between data centres cost, and the 60 ms that stood for a way of 1 made callers late where theirs was full.
test('a far target costs the whole penalty while there is room nearby, and its measured way when there is none', () => {
  const near = target('near')
  const cost = new FarCost({ penalty: 60, agents: () => [near, target('far', 1, { dataCentre: 'two' })] })
  for (let ends = 0; ends < 500; ends += 1) {
    cost.noteRun(true, 4)
    cost.noteRun(false, 7)
  }
  expect(cost.of('one')).toEqual(60)
  near.noteLoad({ others: { cpu: 8000, memory: 0, accelerators: 0 }, pace: 0 })
  cost.begin()
  expect(cost.of('one')).toEqual(3)
})

test('a way that is longer than the penalty counts as it was measured', () => {
  const cost = new FarCost({ penalty: 60, agents: () => [target('near')] })
  cost.noteRun(true, 5)
  cost.noteRun(false, 105)
  expect(cost.of('one')).toEqual(100)
})
