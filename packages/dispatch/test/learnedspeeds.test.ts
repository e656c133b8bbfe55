import { test } from 'node:test'
import { expect } from 'earl'
import { FleetSpeeds } from '../src/fleetspeeds.ts'
import { AgentView } from '../src/fleetview.ts'
import { EntryBench, NO_LOAD, step } from './entrybench.ts'

const POLICY = { learnsKinds: true, placesBySlack: true }
const SLOW = ['slow0', 'slow1']
const FAST = ['fast0', 'fast1', 'fast2', 'fast3']

function reportSpeed (bench: EntryBench, agent: string, pace: number, error = 0.05): void {
  bench.do({ type: 'agentMessage', agent, message: { type: 'ping', sent: bench.now, load: { ...NO_LOAD, pace, steady: { pace, error } } } })
}

/** An entry that has just been linked to its fleet. */
function startedEntry (): EntryBench {
  const bench = EntryBench.withPolicy(POLICY)
  for (const name of SLOW) bench.link(name, { labels: ['a'] })
  for (const name of FAST) bench.link(name, { labels: ['b'] })
  return bench
}

function reportSpeeds (bench: EntryBench): void {
  for (const name of SLOW) reportSpeed(bench, name, 0.5)
  for (const name of FAST) reportSpeed(bench, name, 1.1)
}

function placedAt (bench: EntryBench): string[] {
  const agents = bench.starts().map(start => start.split(' ')[0] as string)
  bench.take()
  return agents
}

/** Submits a task with an estimated run time and returns the agent at which it was placed. */
function place (bench: EntryBench, id: string, estimated: number): string | undefined {
  bench.submit(id, [step(1, { estimated })])
  return placedAt(bench)[0]
}

// Guards against an entry that restarts without learned speeds and places long tasks at slow targets for seconds.
test('an entry that has just started places tasks by the speeds that agents report', () => {
  const bench = startedEntry()
  reportSpeeds(bench)
  bench.advance(100)
  bench.take()
  expect(SLOW.includes(place(bench, 'short', 50) ?? '')).toEqual(true)
  expect(FAST.includes(place(bench, 'long', 900) ?? '')).toEqual(true)
})

// Guards against placing long tasks at a target that is throttled and has stopped reporting a steady speed ratio.
test('a target that becomes slow gets one task at a time until its speed is certain', () => {
  const bench = startedEntry()
  reportSpeeds(bench)
  bench.advance(100)
  for (const name of FAST.slice(1)) bench.ping(name, 8000)
  for (const name of SLOW) bench.ping(name, 8000)
  bench.do({ type: 'agentMessage', agent: 'fast0', message: { type: 'ping', sent: bench.now, load: { ...NO_LOAD, pace: 0.1 } } })
  bench.advance(150)
  bench.take()
  for (const id of ['one', 'two', 'three']) bench.submit(id, [step(1, { estimated: 20 })])
  expect(placedAt(bench).length <= 1).toEqual(true)
})

test('a target without measurements gets tasks by the speed of its machine kind', () => {
  const bench = startedEntry()
  reportSpeeds(bench)
  bench.advance(100)
  for (const name of [...SLOW, ...FAST]) bench.ping(name, 8000)
  bench.link('new', { labels: ['a'] })
  bench.advance(150)
  bench.take()
  expect(place(bench, 'long', 900)).toEqual(undefined)
  expect(place(bench, 'short', 50)).toEqual('new')
})

test('the status lists targets by speed class, how many are certain, and the speeds of machine kinds', () => {
  const speeds = new FleetSpeeds({ policy: { ...POLICY, learnsSpeed: true, probesSlow: true }, note: () => {} })
  const agents = [...SLOW, ...FAST].map(name => {
    const agent = new AgentView(name)
    agent.linked = true
    agent.noteTarget({ instance: name, service: 'checks', dataCentre: 'one', capacity: { cpu: 1000, memory: 0, accelerators: 0 }, labels: [name.slice(0, 4)], leaving: false })
    const pace = name.startsWith('slow') ? 0.5 : 1
    agent.noteLoad({ ...NO_LOAD, pace, steady: { pace, error: 0.05 } })
    return agent
  })
  speeds.review(agents, 0)
  const { classes, kinds } = speeds.status()
  expect(classes.map(({ targets, certain }) => [targets, certain])).toEqual([[2, 2], [4, 4]])
  expect(Math.abs((kinds['fast'] ?? 0) / (kinds['slow'] ?? 1) - 2) < 0.1).toEqual(true)
})

// Leaving targets and those in an evacuated data centre will not have free capacity soon.
test('tasks do not wait for targets that accept no work', () => {
  const speeds = new FleetSpeeds({ policy: { ...POLICY, learnsSpeed: true, probesSlow: true }, note: () => {} })
  const agents = ['slow', 'leaving', 'evacuated'].map(name => {
    const agent = new AgentView(name)
    agent.linked = true
    agent.evacuated = name === 'evacuated'
    agent.noteTarget({ instance: name, service: 'checks', dataCentre: 'one', capacity: { cpu: 1000, memory: 0, accelerators: 0 }, labels: [], leaving: name === 'leaving' })
    return agent
  })
  speeds.review(agents, 0)
  agents[0]?.noteInferredSpeed(0.5, false)
  expect(speeds.fastest('checks', '')).toEqual(0.5)
})

test('the speed of a machine kind is logged once', () => {
  const bench = startedEntry()
  const notes: unknown[] = []
  for (let second = 0; second < 40; second += 1) {
    reportSpeeds(bench)
    bench.advance(250)
    notes.push(...bench.take().flatMap(effect => effect.type === 'note' && effect.what === 'speed of a kind learned' ? [effect.fields['kind']] : []))
  }
  expect(notes.sort()).toEqual(['a', 'b'])
})
