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

/** An agent that is connected to the entries a and b of view 1. */
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

test('a dispatch of a member starts', () => {
  expect(starts(from(servingAgent(), 'a', dispatch('job'), 10))).toEqual(['job'])
})

// A job runs twice. A new agent takes a task from the only entry that it has reached; that entry
// dies, and the others, which have never heard of the agent, read every ledger that they know.
test('a new agent starts nothing before every entry of its view has answered it', () => {
  const agent = connectedAgent()
  from(agent, 'a', reply(0, 0), 1)
  expect(outcomes(from(agent, 'a', dispatch('job'), 10))).toEqual([TaskOutcome.NotStarted])
})

// A job runs twice. An entry is paused past its lease and removed; it wakes and dispatches from its
// old queue to an agent that has adopted the view without it.
test('a dispatch of an entry that was removed is refused', () => {
  const agent = servingAgent()
  from(agent, 'b', { case: 'view', value: { view: view(2, 'b') } }, 5)
  expect(outcomes(from(agent, 'a', dispatch('job'), 10))).toEqual([TaskOutcome.NotStarted])
})

test('what waits here for an entry is refused for good when the entry is removed', () => {
  const agent = servingAgent()
  from(agent, 'a', dispatch('first'), 10)
  from(agent, 'a', dispatch('second'), 11)
  from(agent, 'b', { case: 'view', value: { view: view(2, 'b') } }, 12)
  const ended = { outcome: TaskOutcome.Succeeded, payload: new Uint8Array(), detail: '', runMilliseconds: 1 }
  expect(starts(agent.handle({ type: 'taskEnded', task: 1, ...ended }, 20))).toEqual([])
})

// An agent dies and is replaced beside the same target while its task still runs. A dispatch meant
// for the first run reaches the second, whose ledger is empty.
test('a dispatch for another run of the agent is ignored', () => {
  expect(starts(from(servingAgent(), 'a', dispatch('job', 'x#0'), 10))).toEqual([])
})

// A cut leaves an entry and an agent together on the far side, while the near side takes over.
test('an agent without a confirmed view and without one of its entries starts nothing', () => {
  const agent = servingAgent()
  from(agent, 'a', reply(2400, 9999), 2401)
  expect(starts(from(agent, 'a', dispatch('before'), 2500))).toEqual(['before'])
  expect(outcomes(from(agent, 'a', dispatch('after'), 2600))).toEqual([TaskOutcome.NotStarted])
})

test('an agent goes on without the store while every entry answers', () => {
  const agent = servingAgent()
  for (const entry of ['a', 'b']) from(agent, entry, reply(60_000, 60_000), 60_001)
  expect(starts(from(agent, 'a', dispatch('job'), 60_010))).toEqual(['job'])
})

test('an agent goes on without a lost entry while the store confirms the view', () => {
  const agent = servingAgent()
  from(agent, 'a', reply(60_000, 500), 60_001)
  expect(starts(from(agent, 'a', dispatch('job'), 60_010))).toEqual(['job'])
})

// A job runs twice. An agent has adopted a newer view than the entry that asks it for the lines of a
// lost one; the lines belong to a third entry by then, and the asker takes "none" for "never started".
test('the answer to a recall names the epoch that the agent is in', () => {
  const agent = servingAgent()
  from(agent, 'b', { case: 'view', value: { view: view(3, 'b', 'c') } }, 5)
  const effects = from(agent, 'b', { case: 'recall', value: { epoch: '2', view: view(2, 'b') } }, 10)
  const epochs = effects.flatMap(effect => effect.type === 'sendEntry' && effect.message.case === 'recalled' ? [effect.message.value.epoch] : [])
  expect(epochs).toEqual(['3'])
})

function hasStopped (effects: AgentEffect[]): boolean {
  return effects.some(({ type }) => type === 'stopped')
}

/** An agent whose stop was ordered at 10 and that has sent its heartbeats at 20. */
function stoppingAgent (agent = servingAgent()): Agent {
  agent.handle({ type: 'stopOrdered' }, 10)
  agent.handle({ type: 'tick' }, 20)
  return agent
}

test('a planned stop ends once every entry knows of it', () => {
  const agent = stoppingAgent()
  expect(hasStopped(from(agent, 'a', reply(20, 0), 21))).toEqual(false)
  expect(hasStopped(from(agent, 'b', reply(20, 0), 21))).toEqual(true)
})

// Guards against a task answered as lost that never began: its entry sends it again over the next link, and finds nobody.
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

// Guards against the same when the refusal is lost with the process that ends.
test('a planned stop waits until its refusals have arrived', () => {
  const agent = stoppingAgent()
  expect(outcomes(from(agent, 'a', dispatch('job'), 20))).toEqual([TaskOutcome.NotStarted])
  from(agent, 'a', reply(20, 0), 21)
  expect(hasStopped(from(agent, 'b', reply(20, 0), 21))).toEqual(false)
  const acknowledge: EntryToAgent = { case: 'acknowledge', value: { tasks: [{ job: 'job', index: 0, attempt: 1 }] } }
  expect(hasStopped(from(agent, 'a', acknowledge, 22))).toEqual(true)
})

test('a planned stop does not wait for ever for an entry that is not heard of', () => {
  const agent = stoppingAgent()
  from(agent, 'a', reply(20, 0), 21)
  expect(hasStopped(agent.handle({ type: 'tick' }, 3009))).toEqual(false)
  expect(hasStopped(agent.handle({ type: 'tick' }, 3010))).toEqual(true)
})

// Guards against a new run that gets tasks only to refuse them, and is taken for one that cannot be reached.
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
