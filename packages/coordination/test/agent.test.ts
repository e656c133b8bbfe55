import { test } from 'node:test'
import { expect } from 'earl'
import type { AgentEffect } from '../src/agenttypes.ts'
import type { Dispatch, EntryToAgent, View } from '../src/messages.ts'
import { Agent } from '../src/agent.ts'
import { DEFAULT_TIMINGS } from '../src/defaults.ts'
import { TaskOutcome } from '../src/messages.ts'
import { Slots } from '../src/slots.ts'

const SLOTS = { slots: 1, accelerators: 0, memoryMegabytes: 1024, queueLimit: 2 }

function view (version: number, ...instances: string[]): View {
  const members = instances.map(instance => ({ instance, address: '', dataCentre: '', leaving: false }))
  return { version, members, fenced: [] }
}

function dispatch (job: string, agent = 'x#1', attempt = 1): EntryToAgent {
  const value: Dispatch = {
    job,
    index: 0,
    attempt,
    agent,
    tenant: 'tenant',
    service: 'service',
    payload: new Uint8Array(),
    remainingMilliseconds: 1000,
    patienceMilliseconds: 0,
    runMilliseconds: 0,
    needs: { accelerators: 0, memoryMegabytes: 0 }
  }
  return { case: 'dispatch', value }
}

function reply (sent: number, confirmedAgeMilliseconds: number, viewVersion = 1): EntryToAgent {
  return { case: 'heartbeatReply', value: { sent, viewVersion, confirmedAgeMilliseconds } }
}

/** An agent connected to the entries a and b of view 1. */
function connectedAgent (): Agent {
  const target = { target: 'x', provider: 'p', services: ['service'], slots: 1, accelerators: 0, memoryMegabytes: 1024, dataCentre: '', rack: '' }
  const agent = new Agent({ instance: 'x#1', target, slots: new Slots(SLOTS), timings: DEFAULT_TIMINGS })
  agent.handle({ type: 'viewRead', view: view(1, 'a', 'b') }, 0)
  agent.handle({ type: 'entryConnected', entry: 'a' }, 0)
  agent.handle({ type: 'entryConnected', entry: 'b' }, 0)
  return agent
}

function servingAgent (): Agent {
  const agent = connectedAgent()
  for (const entry of ['a', 'b']) agent.handle({ type: 'entryMessage', entry, message: reply(0, 0) }, 1)
  return agent
}

function from (agent: Agent, entry: string, message: EntryToAgent, now: number): AgentEffect[] {
  return agent.handle({ type: 'entryMessage', entry, message }, now)
}

function starts (effects: AgentEffect[]): string[] {
  return effects.flatMap(effect => effect.type === 'startTask' ? [effect.dispatch.job] : [])
}

function outcomes (effects: AgentEffect[]): TaskOutcome[] {
  return effects.flatMap(effect => effect.type === 'sendEntry' && effect.message.case === 'result' ? [effect.message.value.outcome] : [])
}

test('a dispatch from a member starts', () => {
  expect(starts(from(servingAgent(), 'a', dispatch('job'), 10))).toEqual(['job'])
})

// A job would run twice: a new agent takes a task from the only entry it has reached, that entry is lost, and the
// others, which have never been in contact with the agent, read only the ledgers they know of.
test('a new agent starts nothing before every entry of its view has answered it', () => {
  const agent = connectedAgent()
  from(agent, 'a', reply(0, 0), 1)
  expect(outcomes(from(agent, 'a', dispatch('job'), 10))).toEqual([TaskOutcome.NotStarted])
})

// A job would run twice: an entry is paused past its lease and removed, then resumes and dispatches from its old queue
// to an agent that has adopted the view without it.
test('a dispatch from a removed entry is refused', () => {
  const agent = servingAgent()
  from(agent, 'b', { case: 'view', value: { view: view(2, 'b') } }, 5)
  expect(outcomes(from(agent, 'a', dispatch('job'), 10))).toEqual([TaskOutcome.NotStarted])
})

test('waiting tasks of an entry are refused permanently when the entry is removed', () => {
  const agent = servingAgent()
  from(agent, 'a', dispatch('first'), 10)
  from(agent, 'a', dispatch('second'), 11)
  from(agent, 'b', { case: 'view', value: { view: view(2, 'b') } }, 12)
  const ended = { outcome: TaskOutcome.Succeeded, payload: new Uint8Array(), detail: '', runMilliseconds: 1 }
  expect(starts(agent.handle({ type: 'taskEnded', task: 1, ...ended }, 20))).toEqual([])
})

// An agent is replaced beside the same target while its task still runs. A dispatch meant for the old incarnation
// reaches the new one, whose ledger is empty.
test('a dispatch for another incarnation of the agent is ignored', () => {
  expect(starts(from(servingAgent(), 'a', dispatch('job', 'x#0'), 10))).toEqual([])
})

// A partition isolates one entry and one agent together, while the other side takes over.
test('an agent without a confirmed view and without one of its entries starts nothing', () => {
  const agent = servingAgent()
  from(agent, 'a', reply(2400, 9999), 2401)
  expect(starts(from(agent, 'a', dispatch('before'), 2500))).toEqual(['before'])
  expect(outcomes(from(agent, 'a', dispatch('after'), 2600))).toEqual([TaskOutcome.NotStarted])
})

test('an agent continues without the store while every entry answers', () => {
  const agent = servingAgent()
  for (const entry of ['a', 'b']) from(agent, entry, reply(60_000, 60_000), 60_001)
  expect(starts(from(agent, 'a', dispatch('job'), 60_010))).toEqual(['job'])
})

test('an agent continues without a lost entry while the store confirms the view', () => {
  const agent = servingAgent()
  from(agent, 'a', reply(60_000, 500), 60_001)
  expect(starts(from(agent, 'a', dispatch('job'), 60_010))).toEqual(['job'])
})

// A job would run twice: the agent has adopted a newer view than the entry that recalls the records of a lost entry.
// They belong to a third entry by then, and the asking entry would take an empty answer as "never started".
test('the answer to a recall names the epoch that the agent is in', () => {
  const agent = servingAgent()
  from(agent, 'b', { case: 'view', value: { view: view(3, 'b', 'c') } }, 5)
  const effects = from(agent, 'b', { case: 'recall', value: { epoch: '2', view: view(2, 'b') } }, 10)
  const epochs = effects.flatMap(effect => effect.type === 'sendEntry' && effect.message.case === 'recalled' ? [effect.message.value.epoch] : [])
  expect(epochs).toEqual(['3'])
})

// Every dispatch would be refused until the next heartbeat whenever an entry joins.
test('an agent that adopts a new view asks every entry at once whether it is confirmed', () => {
  const agent = servingAgent()
  const effects = from(agent, 'b', { case: 'view', value: { view: view(2, 'a', 'b', 'c') } }, 5)
  const asked = effects.flatMap(effect => effect.type === 'sendEntry' && effect.message.case === 'heartbeat' ? [[effect.entry, effect.message.value.viewVersion]] : [])
  expect(asked).toEqual([['a', 2], ['b', 2]])
  from(agent, 'b', reply(5, 0, 2), 6)
  expect(starts(from(agent, 'a', dispatch('job'), 7))).toEqual(['job'])
})

function hasStopped (effects: AgentEffect[]): boolean {
  return effects.some(({ type }) => type === 'stopped')
}

/** An agent whose stop was ordered at 10 and that sent its heartbeats at 20. */
function stoppingAgent (agent = servingAgent()): Agent {
  agent.handle({ type: 'stopOrdered' }, 10)
  agent.handle({ type: 'tick' }, 20)
  return agent
}

test('a planned stop ends once every entry has acknowledged it', () => {
  const agent = stoppingAgent()
  expect(hasStopped(from(agent, 'a', reply(20, 0), 21))).toEqual(false)
  expect(hasStopped(from(agent, 'b', reply(20, 0), 21))).toEqual(true)
})

// A task that never started would be answered as lost: its entry sends it again over the next link, after the agent has
// stopped.
test('a planned stop waits for an entry whose link is down', () => {
  const agent = servingAgent()
  agent.handle({ type: 'entryDisconnected', entry: 'b' }, 9)
  stoppingAgent(agent)
  expect(hasStopped(from(agent, 'a', reply(20, 0), 21))).toEqual(false)
  agent.handle({ type: 'entryConnected', entry: 'b' }, 30)
  expect(outcomes(from(agent, 'b', dispatch('job'), 31))).toEqual([TaskOutcome.NotStarted])
  from(agent, 'b', { case: 'acknowledge', value: { tasks: [{ job: 'job', index: 0, attempt: 1 }] } }, 32)
  expect(hasStopped(from(agent, 'b', reply(30, 0), 33))).toEqual(true)
})

// Same failure, when the refusal is lost because the process ends too early.
test('a planned stop waits until its refusals have arrived', () => {
  const agent = stoppingAgent()
  expect(outcomes(from(agent, 'a', dispatch('job'), 20))).toEqual([TaskOutcome.NotStarted])
  from(agent, 'a', reply(20, 0), 21)
  expect(hasStopped(from(agent, 'b', reply(20, 0), 21))).toEqual(false)
  const acknowledge: EntryToAgent = { case: 'acknowledge', value: { tasks: [{ job: 'job', index: 0, attempt: 1 }] } }
  expect(hasStopped(from(agent, 'a', acknowledge, 22))).toEqual(true)
})

test('a planned stop does not wait indefinitely for an entry that does not respond', () => {
  const agent = stoppingAgent()
  from(agent, 'a', reply(20, 0), 21)
  expect(hasStopped(agent.handle({ type: 'tick' }, 3009))).toEqual(false)
  expect(hasStopped(agent.handle({ type: 'tick' }, 3010))).toEqual(true)
})

// A new incarnation would receive tasks only to refuse them, and count as unreachable.
test('an agent that is not known to every entry yet reports that it takes no work', () => {
  const reports = (effects: AgentEffect[]): boolean[] => effects.flatMap(effect => {
    if (effect.type !== 'sendEntry') return []
    if (effect.message.case === 'announce') return [effect.message.value.report.leaving]
    return effect.message.case === 'report' ? [effect.message.value.leaving] : []
  })
  const agent = connectedAgent()
  expect(reports(agent.handle({ type: 'entryConnected', entry: 'a' }, 0))).toEqual([true])
  from(agent, 'a', reply(0, 0), 1)
  expect(reports(from(agent, 'b', reply(0, 0), 1))).toEqual([false, false])
})
