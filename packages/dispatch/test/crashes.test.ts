import type { AgentEffect } from '../src/agenttypes.ts'
import type { CrashRecord } from '../src/messages.ts'
import { after, test } from 'node:test'
import { expect } from 'earl'
import { PollFailure, StartAnswer } from '../src/agenttypes.ts'
import { AnswerKind, Reason } from '../src/entrytypes.ts'
import { CrashEvidence, Isolation } from '../src/messages.ts'
import { ALL_GUARDS, World } from '../explore/world.ts'
import { AgentBench, ENTRY, NEW_ID_EACH_INCARNATION, order, TARGET, TIMINGS } from './agentbench.ts'
import { EntryBench, NO_LOAD, step } from './entrybench.ts'
import { Cause, Outcome } from '../src/messages.ts'

// Results that are still queued when the runner forces the exit are lost; a lost failure here would pass for a listed one.
after(() => new Promise(resolve => { setTimeout(resolve, 100) }))

const ISOLATES = { isolatesSuspects: true }
const AGENTS = ['a', 'b', 'c', 'd', 'e', 'f']

/** A crash of a target that had not confirmed the start of the task. */
const UNCONFIRMED = { evidence: CrashEvidence.Unresponsive, unconfirmed: CrashEvidence.Crashed }

function entry (): EntryBench {
  return EntryBench.withPolicy(ISOLATES, ...AGENTS)
}

/** An agent reports tasks that were on its target when it was lost. */
function lost (bench: EntryBench, agent: string, tasks: string[], changes: Partial<CrashRecord> = {}): void {
  const records = tasks.map(task => ({ task, instance: `${agent}-target`, beside: tasks.length - 1, evidence: CrashEvidence.Crashed, ago: 0, ...changes }))
  bench.do({ type: 'agentMessage', agent, message: { type: 'crashes', records } })
}

/** The agent announces that its target is gone; the ends of its tasks follow. */
function loseTarget (bench: EntryBench, agent: string): void {
  bench.do({ type: 'agentMessage', agent, message: { type: 'announce', target: undefined, held: [], load: NO_LOAD } })
}

/** Agent and attempt of a task's latest start. */
function lastStart (bench: EntryBench, task: string): { agent: string, attempt: number } {
  const [agent = '', , attempt = ''] = bench.starts().filter(start => start.includes(` ${task} `)).at(-1)?.split(' ') ?? []
  return { agent, attempt: Number(attempt) }
}

/** The target of a task crashes, with others running beside it. */
function crash (bench: EntryBench, task: string, beside: string[] = [], changes: Partial<CrashRecord> = {}): string {
  const { agent, attempt } = lastStart(bench, task)
  lost(bench, agent, [task, ...beside], changes)
  loseTarget(bench, agent)
  bench.end(agent, task, Outcome.Gone, Cause.Crashed, attempt)
  return agent
}

function isolations (bench: EntryBench): string[] {
  return bench.take().flatMap(effect => effect.type === 'send' && effect.message.type === 'start' ? effect.message.tasks.map(({ isolation = Isolation.None }) => isolation) : [])
}

const OTHERS = ['x.0.0', 'x.0.1', 'x.0.2', 'x.0.3']

test('tasks that were on a target when it crashed are started again at different targets', () => {
  const bench = EntryBench.withPolicy(ISOLATES, 'a')
  bench.submit('one', [step(2)])
  for (const other of ['b', 'c']) bench.link(other)
  lost(bench, 'a', ['one.0.0', 'one.0.1'])
  loseTarget(bench, 'a')
  for (const task of ['one.0.0', 'one.0.1']) bench.end('a', task, Outcome.Gone, Cause.Crashed)
  expect(lastStart(bench, 'one.0.0').agent === lastStart(bench, 'one.0.1').agent).toEqual(false)
  expect(isolations(bench)).toEqual([Isolation.None, Isolation.None, Isolation.Apart, Isolation.Apart])
})

/** The targets of a task crash one after the other, with others running beside it at the first. */
function crashInTurn (bench: EntryBench, task: string, times: number): void {
  for (let crashes = 0; crashes < times; crashes += 1) {
    crash(bench, task, crashes === 0 ? OTHERS : [])
    bench.advance(400, AGENTS)
  }
}

test('a task that crashes three targets is blocked, and its job is given up', () => {
  const bench = entry()
  const request = bench.submit('one')
  crashInTurn(bench, 'one.0.0', 3)
  expect(bench.answers()).toEqual([[request, 'timedOut taskCrashes']])
  expect(bench.starts().length).toEqual(3)
  expect(bench.entry.status().convictions).toEqual(1)
})

// Guards against blocking a sound task: any target that is lost under an isolated task seems to prove its guilt.
test('a task whose targets crashed twice is started once more, apart from other suspects', () => {
  const bench = entry()
  bench.submit('one')
  crashInTurn(bench, 'one.0.0', 2)
  expect(bench.answers()).toEqual([])
  expect(isolations(bench)).toEqual([Isolation.None, Isolation.Apart, Isolation.Apart])
})

// Guards against a final answer that rests on a suspicion: no target has listed a failure.
test('a job is not answered as failed when targets crash under a task that has not failed', () => {
  const bench = entry()
  bench.submit('one')
  for (let crashes = 0; crashes < 5 && bench.answers().length === 0; crashes += 1) {
    crash(bench, 'one.0.0')
    bench.advance(400, AGENTS)
  }
  expect(bench.answers().filter(([, answer]) => answer.startsWith('failed'))).toEqual([])
})

// Guards against callers who come back while nothing can be started for them.
test('a job that is submitted again while its task is blocked is refused until the losses no longer count', () => {
  const bench = entry()
  bench.submit('one')
  for (let crashes = 0; crashes < 5 && bench.answers().length === 0; crashes += 1) {
    crash(bench, 'one.0.0')
    bench.advance(400, AGENTS)
  }
  const starts = bench.starts().length
  bench.take()
  bench.submit('one')
  const [refusal] = bench.take().flatMap(effect => effect.type === 'answer' ? [effect.answer] : [])
  expect([refusal?.kind, refusal?.reason]).toEqual([AnswerKind.Refused, Reason.TaskCrashes])
  expect(bench.entry.status().convictions).toEqual(1)
  bench.advance(refusal?.retryAfter ?? 0, AGENTS)
  bench.submit('one')
  expect([starts > 1, bench.starts().length]).toEqual([true, 1])
})

// Guards against running the earlier steps once more for a job that can't be finished.
test('a job is refused at once when a task of a later step is blocked', () => {
  const bench = entry()
  for (const [index, agent] of ['a', 'b', 'c'].entries()) lost(bench, agent, ['one.1.0'], { ago: 4000 - 1000 * index })
  const request = bench.submit('one', [step(1), step(1, { after: [0] })])
  expect([bench.answers(), bench.starts()]).toEqual([[[request, 'refused taskCrashes']], []])
})

// Guards against callers who are told to come back at a time when they are refused once more.
test('a refused caller is told to come back when no task of its job is blocked any more', () => {
  const bench = entry()
  lost(bench, 'a', ['one.0.0'], { ...UNCONFIRMED, ago: 9000 })
  for (const [index, agent] of ['b', 'c', 'd'].entries()) lost(bench, agent, ['one.0.0'], { ago: 8000 - 1000 * index })
  for (const [index, agent] of ['b', 'c', 'd'].entries()) lost(bench, agent, ['one.0.1'], { ago: 7600 - 1000 * index, instance: `${agent}-next` })
  bench.submit('one', [step(2)])
  const [refusal] = bench.take().flatMap(effect => effect.type === 'answer' ? [effect.answer] : [])
  expect(refusal?.reason).toEqual(Reason.TaskCrashes)
  bench.advance(refusal?.retryAfter ?? 0, AGENTS)
  bench.submit('one', [step(2)])
  expect([bench.answers(), bench.starts().length]).toEqual([[], 2])
})

// Guards against a job that waits for its deadline although no answer of a target could make it start again.
test('a task that enough settled losses block is not withheld for a further one that is not settled', () => {
  const bench = entry()
  for (const [index, agent] of AGENTS.slice(0, 5).entries()) lost(bench, agent, ['one.0.0'], { ...UNCONFIRMED, ago: 9000 - 1000 * index })
  lost(bench, 'f', ['one.0.0'], { evidence: CrashEvidence.Unresponsive, ago: 1000 })
  const request = bench.submit('one')
  expect(bench.answers()).toEqual([[request, 'refused taskCrashes']])
})

// Guards against blocking a task for targets that are only cut off and may answer again.
test('a task is withheld, not blocked, when targets that had not confirmed its start are only unresponsive', () => {
  const agent = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  agent.start([order('one.0.0')])
  agent.pollFailed(PollFailure.NoResponse)
  agent.advance(800)
  const [record] = agent.effectsOfType('send').flatMap(({ message }) => message.type === 'crashes' ? message.records : [])
  expect(record?.task).toEqual('one.0.0')
  const bench = entry()
  for (const [index, name] of AGENTS.slice(0, 5).entries()) lost(bench, name, ['one.0.0'], { ...record, instance: `${name}-target`, ago: 5000 - 800 * index })
  bench.submit('one')
  bench.advance(300, AGENTS)
  expect([bench.answers(), bench.starts()]).toEqual([[], []])
})

// A crashed target may be back at once under the same id, and empty. As the emptiest one it must not be chosen for the
// suspect that crashed it.
test('a suspect is started at another target than the one that was lost under it', () => {
  const bench = EntryBench.withPolicy(ISOLATES, 'a')
  bench.submit('one')
  bench.link('b')
  bench.ping('b', 6000)
  lost(bench, 'a', ['one.0.0'])
  bench.do({ type: 'agentMessage', agent: 'a', message: { type: 'announce', target: { ...TARGET, instance: 'a-next' }, held: [{ task: 'one.0.0', attempt: 1 }], load: NO_LOAD } })
  bench.end('a', 'one.0.0', Outcome.Gone, Cause.Crashed)
  expect(lastStart(bench, 'one.0.0')).toEqual({ agent: 'b', attempt: 2 })
})

// Guards against blocking an innocent task: a task that was newly placed beside it may have crashed the second target.
test('a task beside which others ran at both crashes is not blocked but started apart', () => {
  const bench = entry()
  bench.submit('one')
  crash(bench, 'one.0.0', OTHERS)
  crash(bench, 'one.0.0', OTHERS)
  bench.advance(400, AGENTS)
  expect(bench.answers()).toEqual([])
  expect(isolations(bench)).toEqual([Isolation.None, Isolation.Apart, Isolation.Apart])
})

test('no task is started after three crashes, whatever ran beside it', () => {
  const bench = entry()
  const request = bench.submit('one')
  for (let crashes = 0; crashes < 3; crashes += 1) crash(bench, 'one.0.0', OTHERS)
  bench.advance(400, AGENTS)
  expect(bench.starts().length).toEqual(3)
  expect(bench.answers()).toEqual([[request, 'timedOut taskCrashes']])
})

// Guards against blocking a task for crashes of targets at which it may never have begun.
test('a task is not blocked for three crashes of targets that had not confirmed its start', () => {
  const bench = entry()
  bench.submit('one')
  for (let crashes = 0; crashes < 3; crashes += 1) {
    crash(bench, 'one.0.0', [], UNCONFIRMED)
    bench.advance(400, AGENTS)
  }
  expect(bench.answers()).toEqual([])
  expect(isolations(bench)).toEqual([Isolation.None, Isolation.Apart, Isolation.Apart, Isolation.Alone])
})

// Guards against a task that crashes each target before the target can confirm its start.
test('a task is started at most five times when none of its crashed targets had confirmed the start', () => {
  const bench = entry()
  const request = bench.submit('one')
  for (let crashes = 0; crashes < 5; crashes += 1) {
    crash(bench, 'one.0.0', [], UNCONFIRMED)
    bench.advance(400, AGENTS)
  }
  expect(bench.starts().length).toEqual(5)
  expect(bench.answers()).toEqual([[request, 'timedOut taskCrashes']])
})

// Guards against blocking a task for a power loss of a rack, whose targets are lost one after the other within a poll.
test('targets that crash together do not block a task', () => {
  const bench = entry()
  bench.submit('one')
  const first = crash(bench, 'one.0.0')
  bench.advance(500, AGENTS)
  const second = crash(bench, 'one.0.0')
  for (const other of AGENTS.filter(name => name !== first && name !== second).slice(0, 2)) lost(bench, other, [`${other}.0.0`])
  bench.advance(400, AGENTS)
  expect(bench.answers()).toEqual([])
  expect(bench.starts().length).toEqual(3)
})

// The targets of a rack stop responding together, and one of them returns, with a confirmed crash, before the others.
test('targets that stop responding together do not block a task when the first of them returns', () => {
  const bench = entry()
  bench.submit('one')
  const first = crash(bench, 'one.0.0', OTHERS)
  const { agent, attempt } = lastStart(bench, 'one.0.0')
  const rack = [agent, ...AGENTS.filter(name => name !== first && name !== agent).slice(0, 2)]
  for (const name of rack) lost(bench, name, [name === agent ? 'one.0.0' : `${name}.0.0`], { evidence: CrashEvidence.Unresponsive })
  loseTarget(bench, agent)
  bench.end(agent, 'one.0.0', Outcome.Gone, Cause.Expired, attempt)
  bench.advance(2000, AGENTS)
  lost(bench, agent, ['one.0.0'], { ago: 2000 })
  bench.advance(100, AGENTS)
  expect(bench.answers()).toEqual([])
})

// The first entry fails after the first crash, and the caller submits the job again through this one.
test('earlier crashes count for a job that was submitted through a failed entry before', () => {
  const bench = entry()
  lost(bench, 'a', ['one.0.0', ...OTHERS], { ago: 1500 })
  const request = bench.submit('one')
  expect(isolations(bench)).toEqual([Isolation.Apart])
  bench.do({ type: 'agentMessage', agent: 'b', message: { type: 'crashes', records: [{ task: 'two.0.0', instance: 'b-target', beside: 0, evidence: CrashEvidence.Crashed, ago: 3000 }] } })
  lost(bench, 'd', ['two.0.0'], { ago: 2000 })
  lost(bench, 'c', ['two.0.0'], { ago: 900 })
  const second = bench.submit('two')
  expect(bench.answers()).toEqual([[second, 'refused taskCrashes']])
  expect([request, bench.starts()]).toEqual([request, []])
})

// A restarted agent has lost its crash records.
test('an entry keeps the crashes reported by an earlier incarnation of the agent', () => {
  const bench = entry()
  const request = bench.submit('one')
  const { agent } = lastStart(bench, 'one.0.0')
  crashInTurn(bench, 'one.0.0', 2)
  bench.do({ type: 'agentUnlinked', agent })
  bench.link(agent, { incarnation: 'b' })
  expect(bench.answers()).toEqual([])
  crash(bench, 'one.0.0')
  bench.advance(400, AGENTS)
  expect(bench.answers()).toEqual([[request, 'timedOut taskCrashes']])
})

// The third target is cut off from the network: no response is not a crash, but may prove to be one later.
test('a suspect whose third target is unresponsive is withheld until the target has answered, or has proved to have crashed', () => {
  for (const [evidence, starts, answers] of [[CrashEvidence.Answered, 4, []], [CrashEvidence.Crashed, 3, ['timedOut taskCrashes']]] as const) {
    const bench = entry()
    bench.submit('one')
    crashInTurn(bench, 'one.0.0', 2)
    const { agent, attempt } = lastStart(bench, 'one.0.0')
    lost(bench, agent, ['one.0.0'], { evidence: CrashEvidence.Unresponsive })
    loseTarget(bench, agent)
    bench.end(agent, 'one.0.0', Outcome.Gone, Cause.Expired, attempt)
    bench.advance(500, AGENTS)
    expect(bench.starts().length).toEqual(3)
    lost(bench, agent, ['one.0.0'], { evidence, ago: 500 })
    bench.advance(100, AGENTS)
    expect([bench.starts().length, bench.answers().map(([, answer]) => answer)]).toEqual([starts, [...answers]])
  }
})

test('crashes change nothing when isolation is switched off', () => {
  const bench = EntryBench.withAgents(...AGENTS)
  bench.submit('one')
  for (let crashes = 0; crashes < 4; crashes += 1) crash(bench, 'one.0.0')
  expect(isolations(bench)).toEqual(Array.from({ length: 5 }, () => Isolation.None))
})

// Guards against counting the second target against a task that was started there after both had crashed.
test('no task is blocked and no job fails when two targets crash at the same time', () => {
  for (const seed of [10, 12, 16, 22, 24]) {
    const lines: string[] = []
    const world = new World(seed, ALL_GUARDS, { entries: 1, agents: 6, dataCentres: 1, longTasks: false, isolatesSuspects: true, changingTargets: false, partitions: false, late: false, keepNames: false }, line => lines.push(line))
    world.callers.submitUntil(6000)
    world.timeline.after(3000, () => { for (const target of world.targets.slice(0, 2)) target.crash(3000, false, true) })
    world.timeline.runUntil(8000)
    expect(lines.filter(line => line.includes('task blocked'))).toEqual([])
    expect([world.callers.answers.get('failed'), lines.some(line => line.includes('task suspected'))]).toEqual([undefined, true])
  }
})

// Agents

/** Reported crashes and the causes of ends, in the order of the messages. */
function reported (bench: AgentBench): string[] {
  return bench.effectsOfType('send').flatMap(({ message }) => {
    if (message.type === 'crashes') return message.records.map(({ task, beside, evidence, unconfirmed }) => `${task} ${unconfirmed === undefined ? evidence : `unconfirmed ${unconfirmed}`} ${beside}`)
    return message.type === 'ends' ? message.ends.map(({ task, cause }) => `${task} ended ${cause}`) : []
  })
}

// The first answer ends the incarnation, and the other start is reported as lost with it until its own answer arrives.
test('a loss that is reported under a start in flight is withdrawn when another incarnation answers the start', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  bench.start([order('one'), order('two')])
  for (const task of ['one', 'two']) bench.startAnswered(task, StartAnswer.OtherInstance)
  bench.take()
  bench.link('entry-2#a')
  expect(reported(bench)).toEqual([])
})

// The task is held until its stop is confirmed in the next incarnation, which can't have started it.
test('one start counts as lost with one incarnation only', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  bench.start([order('one')])
  bench.startAnswered('one', StartAnswer.NoResponse)
  bench.pollFailed(PollFailure.OtherInstance)
  bench.seen({ instance: 'target-2' })
  bench.do({ type: 'pollFailed', instance: 'target-2', sent: bench.now, failure: PollFailure.OtherInstance })
  expect(reported(bench).filter(line => !line.includes('ended'))).toEqual(['one unconfirmed crashed 0'])
})

test('a crash is reported to entries before the ends of the tasks lost in it', () => {
  const bench = AgentBench.ready({ policy: ISOLATES })
  bench.run('one')
  bench.run('two')
  bench.polled([{ task: 'one', run: 1, percent: 5 }, { task: 'two', run: 1, percent: 5 }])
  bench.pollFailed(PollFailure.OtherInstance)
  expect(reported(bench)).toEqual(['one crashed 1', 'two crashed 1', 'one ended crashed', 'two ended crashed'])
})

test('a target that refused connections until its tasks expired has crashed if a new incarnation follows', () => {
  for (const [next, evidence] of [['target-2', ['one crashed 1', 'two crashed 1']], [TARGET.instance, []]] as const) {
    const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
    bench.run('one')
    bench.run('two')
    bench.pollFailed(PollFailure.NoListener)
    bench.advance(TIMINGS.expiry)
    expect(reported(bench)).toEqual(['one silent 1', 'two silent 1', 'one ended lapsed', 'two ended lapsed'])
    bench.take()
    bench.seen({ instance: next })
    expect(reported(bench)).toEqual([...evidence])
  }
})

// Guards against failing a job for crashes of targets at which its task never began.
test('a start whose connection is refused does not count as a crash under its task', () => {
  const bench = AgentBench.ready({ policy: ISOLATES })
  bench.start([order('one')])
  bench.startAnswered('one', StartAnswer.NoListener)
  bench.seen({ instance: 'target-2' })
  expect(reported(bench)).toEqual(['one ended unreachable'])
})

// Guards against blocking a task for crashes of targets at which it never began.
test('a start that another incarnation answers does not count as a crash under its task', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  bench.run('one')
  bench.polled([{ task: 'one', run: 1, percent: 5 }])
  bench.start([order('two')])
  bench.startAnswered('two', StartAnswer.OtherInstance)
  expect(reported(bench)).toEqual(['two ended unreachable', 'one crashed 0', 'one ended crashed'])
})

// The same, where nobody knows whether the start has arrived.
test('a crash is reported as unconfirmed for a task whose start was not answered', () => {
  for (const facts of [NEW_ID_EACH_INCARNATION, {}]) {
    const bench = AgentBench.ready({ policy: ISOLATES }, facts)
    bench.start([order('one')])
    bench.startAnswered('one', StartAnswer.NoResponse)
    bench.pollFailed(PollFailure.OtherInstance)
    expect(reported(bench).slice(0, 1)).toEqual(['one unconfirmed crashed 0'])
  }
})

test('a target that was silent until an unanswered start expired, and then crashed, is reported as unconfirmed', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  bench.start([order('one')])
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(800)
  bench.pollFailed(PollFailure.OtherInstance)
  expect(reported(bench).filter(line => !line.includes('ended'))).toEqual(['one unconfirmed silent 0', 'one unconfirmed crashed 0'])
})

test('a target that refused connections until its tasks expired, and answers again, has not crashed', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  bench.run('one')
  bench.pollFailed(PollFailure.NoListener)
  bench.advance(TIMINGS.expiry)
  bench.seen()
  bench.take()
  bench.polled()
  expect(reported(bench)).toEqual(['one answered 0'])
})

test('a target that leaves, or has announced that it will, has not crashed', () => {
  for (const leave of [(bench: AgentBench) => bench.do({ type: 'targetLeft', instance: TARGET.instance }), (bench: AgentBench) => bench.seen({ leaving: true })]) {
    const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
    bench.run('one')
    leave(bench)
    bench.pollFailed(PollFailure.NoListener)
    bench.advance(TIMINGS.expiry)
    bench.seen({ instance: 'target-2' })
    expect(reported(bench)).toEqual(['one ended lapsed'])
  }
})

// Guards against entries that miss crashes because they have just started, or because a link was lost.
test('earlier crashes are reported to an entry that links', () => {
  const bench = AgentBench.ready({ policy: ISOLATES })
  bench.run('one')
  bench.polled([{ task: 'one', run: 1, percent: 5 }])
  bench.pollFailed(PollFailure.OtherInstance)
  bench.take()
  bench.now += 2000
  bench.link('entry-2#a')
  expect(bench.effectsOfType('send').flatMap(({ entry, message }) => message.type === 'crashes' ? [entry, message.records.map(({ task, ago }) => [task, ago])] : [])).toEqual(['entry-2#a', [['one', 2000]]])
})

test('an unresponsive target is reported as silent, and later reported as answered or crashed', () => {
  for (const [next, evidence] of [[(bench: AgentBench) => bench.polled(), 'answered'], [(bench: AgentBench) => bench.pollFailed(PollFailure.OtherInstance), 'crashed']] as const) {
    const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
    bench.run('one')
    bench.pollFailed(PollFailure.NoResponse)
    bench.advance(800)
    expect(reported(bench).slice(0, 1)).toEqual(['one silent 0'])
    bench.take()
    next(bench)
    expect(reported(bench).slice(0, 1)).toEqual([`one ${evidence} 0`])
  }
})

// The target returns under the same id, and entries may not have this agent's crash records.
test('an agent refuses a task under which two incarnations of its target crashed', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  for (const next of ['life-2', 'life-3']) {
    bench.echo()
    bench.start([order('one')])
    const { instance, run } = bench.effectsOfType('start').at(-1) as Extract<AgentEffect, { type: 'start' }>
    bench.do({ type: 'startAnswered', instance, task: 'one', run, answer: StartAnswer.Started })
    bench.do({ type: 'pollFailed', instance, sent: bench.now, failure: PollFailure.NoListener })
    bench.advance(TIMINGS.expiry)
    bench.seen({ instance: next })
    bench.polled([], [], next)
  }
  bench.take()
  bench.echo()
  bench.start([order('one'), order('two')])
  expect(bench.ends()).toEqual(['one notStarted crashed'])
})

test('an agent does not start two suspects together, or anything beside a task that must run alone', () => {
  const bench = AgentBench.ready({ policy: ISOLATES })
  bench.start([{ ...order('one'), isolation: Isolation.Apart }, { ...order('two'), isolation: Isolation.Apart }, order('three')])
  expect(bench.ends()).toEqual(['two notStarted full'])
  const alone = AgentBench.ready({ policy: ISOLATES })
  alone.link('entry-2#a')
  alone.start([{ ...order('one'), isolation: Isolation.Alone }, order('two')])
  expect(alone.ends()).toEqual(['two notStarted full'])
  alone.advance(500)
  const load = alone.effectsOfType('send').filter(({ entry, message }) => entry !== ENTRY && message.type === 'ping').at(-1)?.message
  expect(load?.type === 'ping' ? load.load.others.cpu : 0).toEqual(8000)
})

// The allocating entry must account for suspects of other entries: granting their targets leads to starts that are
// refused one by one.
test('the allocating entry keeps suspects of other entries apart, and grants nothing beside one that must run alone', () => {
  const bench = entry()
  bench.peer('other', -1)
  bench.advance(1000, AGENTS)
  bench.take()
  const asked = (job: string, isolation?: Isolation): string => {
    const { needs, label, rack, perTarget } = step(1)
    const task = { name: `${job}.0.0`, avoid: '', ...(isolation === undefined ? {} : { isolation }) }
    bench.receive('other', { type: 'ask', group: '', service: 'checks', job, within: 200, waits: true, steps: [{ index: 0, needs, label, rack, perTarget, expected: 300, endBy: 500, tasks: [task], placed: [] }], except: [] })
    const [granted] = bench.told('other').flatMap(message => message.type === 'grant' ? message.grants : []).slice(-1)
    return granted?.agent ?? ''
  }
  const suspects = ['one', 'two', 'three'].map(job => asked(job, Isolation.Apart))
  expect(new Set(suspects).size).toEqual(3)
  const alone = asked('four', Isolation.Alone)
  const rest = Array.from({ length: 12 }, (_none, number) => asked(`next${number}`))
  expect([suspects.includes(alone), rest.includes(alone)]).toEqual([false, false])
})

// The starts of a job arrive together, and the first answer ends the incarnation.
test('each start that another incarnation answers ends as not started', () => {
  for (const facts of [NEW_ID_EACH_INCARNATION, {}]) {
    const bench = AgentBench.ready({ policy: ISOLATES }, facts)
    bench.start([order('one'), order('two')])
    for (const task of ['one', 'two']) bench.startAnswered(task, StartAnswer.OtherInstance)
    expect(bench.ends()).toEqual(['one notStarted unreachable', 'two notStarted unreachable'])
  }
})

// Otherwise a task that crashes its targets before they list it would be started twice more.
test('a crash counts under a task whose start was confirmed since the last poll, also where the target keeps its id', () => {
  const bench = AgentBench.ready({ policy: ISOLATES })
  bench.run('one')
  bench.pollFailed(PollFailure.OtherInstance)
  expect(reported(bench).slice(0, 1)).toEqual(['one crashed 0'])
})

test('a target that was silent until an unanswered start expired, and answers again, has not crashed', () => {
  const bench = AgentBench.ready({ policy: ISOLATES }, NEW_ID_EACH_INCARNATION)
  bench.start([order('one')])
  bench.pollFailed(PollFailure.NoResponse)
  bench.advance(800)
  bench.take()
  bench.polled()
  expect(reported(bench)).toEqual(['one answered 0'])
  bench.take()
  bench.link('entry-2#a')
  expect(reported(bench)).toEqual([])
})
