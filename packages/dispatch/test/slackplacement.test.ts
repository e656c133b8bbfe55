import type { PlacementRequest } from '../src/placement.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@amaranthmast/standins/random'
import { RemoteCost } from '../src/farcost.ts'
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
    remoteDelay: 2,
    ...extra
  }
}

const slow = target('slow', 0.55)
const fast = target('fast', FASTEST)

test('a task that is in time on a slow target with a margin does not take the fast one', () => {
  expect(chooseBySlack(request({ left: 900 }), [fast, slow], FASTEST)?.name).toEqual('slow')
})

test('a task that is in time on a slow target without a margin takes the fast one', () => {
  expect(chooseBySlack(request({ left: 600 }), [slow, fast], FASTEST)?.name).toEqual('fast')
})

test('a task that would be late on a slow target waits for a fast one', () => {
  expect(chooseBySlack(request({ left: 480 }), [slow], FASTEST)).toEqual(undefined)
})

test('a task that cannot be in time anywhere does not take the fastest target', () => {
  expect(chooseBySlack(request({ left: 200 }), [fast, slow], FASTEST)?.name).toEqual('slow')
})

// A target at a tenth of its speed would finish a task only after its caller has stopped waiting.
test('a task that is late anyway is not placed where its result would have no value', () => {
  expect(chooseBySlack(request({ left: 200 }), [target('broken', 0.1), fast], FASTEST)?.name).toEqual('fast')
})

test('on a fleet of equally fast targets the choice is that of the soonest end', () => {
  const random = new SeededRandom(1)
  for (let round = 0; round < 500; round += 1) {
    const agents = Array.from({ length: 12 }, (_none, index) =>
      target(`agent${index}`, 1, { used: Math.floor(random.next() * 9000), dataCentre: random.next() < 0.5 ? 'one' : 'two' }))
    const asked = request({ left: random.next() * 1000 - 200 })
    const nearest = request({ ...asked, farPenalty: asked.expected > asked.left ? 60 : asked.expected * 1.3 > asked.left ? 2 : 60 })
    expect(chooseBySlack(asked, agents, 1)?.name).toEqual(choose(nearest, agents)?.name)
  }
})

// Traffic between data centres costs money, but a fixed penalty of 60 ms for a delay of 1 ms makes callers late whose own
// data centre is full.
test('a remote target costs the whole penalty while there is local capacity, and its measured delay when there is none', () => {
  const near = target('near')
  const cost = new RemoteCost({ penalty: 60, agents: () => [near, target('far', 1, { dataCentre: 'two' })] })
  for (let ends = 0; ends < 500; ends += 1) {
    cost.noteRun(true, 4)
    cost.noteRun(false, 7)
  }
  expect(cost.of('one')).toEqual(60)
  near.noteLoad({ others: { cpu: 8000, memory: 0, accelerators: 0 }, pace: 0 })
  cost.clearLoads()
  expect(cost.of('one')).toEqual(3)
})

test('a measured delay above the penalty is used as it is', () => {
  const cost = new RemoteCost({ penalty: 60, agents: () => [target('near')] })
  cost.noteRun(true, 5)
  cost.noteRun(false, 105)
  expect(cost.of('one')).toEqual(100)
})
