import { test } from 'node:test'
import { expect } from 'earl'
import type { Configuration } from '../src/configuration.ts'
import { Cause, TaskOutcome } from '../src/messages.ts'
import type { TargetDescription } from '../src/messages.ts'
import { PolicyName } from '../src/policies.ts'
import { TaskScheduler } from '../src/scheduler.ts'
import type { Assignment, SchedulableTask } from '../src/scheduling.ts'

const unlimited = { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1 }
const configuration: Configuration = {
  version: 1,
  services: { check: { shares: { a: 50, b: 50 } }, record: { shares: { a: 100 } } },
  providers: {},
  tenants: { team: unlimited, other: unlimited },
  draining: { targets: [], racks: [], dataCentres: [], providers: [] }
}

/** Deterministic pseudo-random numbers. */
function sequence (): () => number {
  let state = 1
  return () => {
    state = (state * 48_271) % 2_147_483_647
    return state / 2_147_483_647
  }
}

function describe (target: string, more: Partial<TargetDescription> = {}): TargetDescription {
  return {
    target,
    provider: target[0] as string,
    services: ['check', 'record'],
    slots: 8,
    accelerators: 0,
    memoryMegabytes: 1000,
    dataCentre: 'centre',
    rack: `rack-${target}`,
    ...more
  }
}

function report (credit = 32): { running: number, queued: number, credit: number, leaving: boolean, viewVersion: number, configurationVersion: number } {
  return { running: 0, queued: 0, credit, leaving: false, viewVersion: 1, configurationVersion: 1 }
}

function schedulerWith (targets: TargetDescription[], more: { policy?: PolicyName, credit?: number, configuration?: Configuration } = {}): TaskScheduler {
  const scheduler = new TaskScheduler({ random: sequence(), policy: more.policy })
  scheduler.configure(more.configuration ?? configuration, 0)
  scheduler.setEntryCount(1, 0)
  for (const target of targets) {
    scheduler.targetUp(`${target.target}#1`, target, report(more.credit), 0)
  }
  return scheduler
}

function tasks (job: string, count: number, more: Partial<SchedulableTask> = {}): SchedulableTask[] {
  return Array.from({ length: count }, (_, index) => ({
    job: `team/${job}`,
    index,
    tenant: 'team',
    service: 'check',
    needs: { accelerators: 0, memoryMegabytes: 0 },
    runMilliseconds: 100,
    deadline: 10_000,
    ...more
  }))
}

function settleAll (scheduler: TaskScheduler, assignments: Assignment[], now: number): void {
  for (const assignment of assignments) scheduler.settled(assignment, TaskOutcome.Succeeded, 100, now)
}

/** Has two targets refuse a task, and the others run theirs. Returns the agents of the two. */
function refuseAtTwoTargets (scheduler: TaskScheduler, now: number): Set<string> {
  const refusing = new Set<string>()
  for (let round = 0; round < 20; round += 1) {
    scheduler.enqueue(tasks(`refused-${round}`, 1), now)
    for (const assignment of scheduler.decide(now)) {
      const refuses = refusing.size < 2
      if (refuses) refusing.add(assignment.agent)
      scheduler.settled(assignment, refuses ? TaskOutcome.NotStarted : TaskOutcome.Succeeded, 100, now)
    }
  }
  return refusing
}

/** Runs tasks until every target has reached full trust. */
function warmUp (scheduler: TaskScheduler): void {
  for (let round = 0; round < 40; round += 1) {
    scheduler.enqueue(tasks(`warm-${round}`, 8), 0)
    settleAll(scheduler, scheduler.decide(0), 0)
  }
}

for (const policy of Object.values(PolicyName)) {
  test(`${policy} dispatches each task once and keeps the provider shares`, () => {
    const scheduler = schedulerWith(['a1', 'a2', 'b1', 'b2'].map(target => describe(target)), { policy })
    warmUp(scheduler)
    scheduler.enqueue(tasks('job', 20), 0)
    const assignments = scheduler.decide(0)
    expect(new Set(assignments.map(assignment => assignment.index)).size).toEqual(20)
    expect(assignments.filter(assignment => assignment.agent.startsWith('a')).length).toEqual(10)
    expect(scheduler.decide(0)).toEqual([])
  })
}

test('spreads tasks evenly over the targets of a provider', () => {
  const scheduler = schedulerWith(['a1', 'a2', 'a3'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.enqueue(tasks('job', 12, { service: 'record' }), 0)
  const agents = scheduler.decide(0).map(assignment => assignment.agent)
  expect(['a1#1', 'a2#1', 'a3#1'].map(agent => agents.filter(other => other === agent).length)).toEqual([4, 4, 4])
})

const unavailable = [
  { how: 'its agent is cut off', make: (scheduler: TaskScheduler) => scheduler.targetDown('b1#1', 1) },
  { how: 'its target reports that it is leaving', make: (scheduler: TaskScheduler) => scheduler.targetReport('b1#1', { ...report(), leaving: true }, 1) },
  { how: 'its target is drained', make: (scheduler: TaskScheduler) => scheduler.configure({ ...configuration, draining: { targets: ['b1'], racks: [], dataCentres: [], providers: [] } }, 1) },
  { how: 'its rack is drained', make: (scheduler: TaskScheduler) => scheduler.configure({ ...configuration, draining: { targets: [], racks: ['rack-b1'], dataCentres: [], providers: [] } }, 1) },
  { how: 'its data centre is evacuated', make: (scheduler: TaskScheduler) => scheduler.configure({ ...configuration, draining: { targets: [], racks: [], dataCentres: ['centre-b'], providers: [] } }, 1) },
  { how: 'its provider is drained', make: (scheduler: TaskScheduler) => scheduler.configure({ ...configuration, draining: { targets: [], racks: [], dataCentres: [], providers: ['b'] } }, 1) }
]
for (const { how, make } of unavailable) {
  test(`a provider gets no tasks and the other takes its share at once when ${how}`, () => {
    const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target, { dataCentre: `centre-${target[0]}` })))
    warmUp(scheduler)
    make(scheduler)
    scheduler.enqueue(tasks('job', 8), 1)
    const agents = scheduler.decide(1).map(assignment => assignment.agent)
    expect(agents).toEqual(Array.from({ length: 8 }, () => 'a1#1'))
  })
}

// The provider selected by the shares has no free capacity. The task waits for it, because operators
// configured the share, until a quarter of its time has passed; then meeting the deadline takes precedence.
test('a task waits for a full provider, and goes to the other after a quarter of its time', () => {
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)), { credit: 4 })
  warmUp(scheduler)
  scheduler.targetReport('b1#1', report(1), 0)
  scheduler.enqueue(tasks('job', 8, { deadline: 4000 }), 0)
  const before = scheduler.decide(0).length
  expect(before < 5).toEqual(true)
  expect(scheduler.nextDecision(0)).toEqual(1000)
  expect(scheduler.decide(1000).map(assignment => assignment.agent)).toEqual(Array.from({ length: 5 - before }, () => 'a1#1'))
})

test('changed shares apply to the next task', () => {
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.configure({ ...configuration, version: 2, services: { check: { shares: { b: 100 } } } }, 1)
  scheduler.enqueue(tasks('job', 6), 1)
  expect(new Set(scheduler.decide(1).map(assignment => assignment.agent))).toEqual(new Set(['b1#1']))
})

test('the shorter of two jobs is placed before the longer at the agents', () => {
  const scheduler = schedulerWith([describe('a1')])
  scheduler.enqueue(tasks('long', 1, { runMilliseconds: 4000, deadline: 1e6 }), 0)
  scheduler.enqueue(tasks('short', 1, { runMilliseconds: 50, deadline: 1e6 }), 100)
  const [first, second] = scheduler.decide(100)
  expect(first?.job).toEqual('team/short')
  expect((first?.patienceMilliseconds as number) < (second?.patienceMilliseconds as number)).toEqual(true)
})

// Short jobs arrive continuously. A long job must not wait behind all of them.
test('a long job is placed before short ones that arrive much later', () => {
  const scheduler = schedulerWith([describe('a1')], { credit: 1 })
  scheduler.enqueue(tasks('long', 1, { runMilliseconds: 1000, deadline: 1e6 }), 0)
  for (let number = 0; number < 60; number += 1) {
    scheduler.enqueue(tasks(`short-${number}`, 1, { runMilliseconds: 50, deadline: 1e6 }), number * 100)
  }
  const order: string[] = []
  for (let round = 0; round < 61; round += 1) {
    const assignments = scheduler.decide(6000)
    order.push(...assignments.map(assignment => assignment.job))
    settleAll(scheduler, assignments, 6000)
  }
  const place = order.indexOf('team/long')
  expect(place > 20 && place < 55).toEqual(true)
})

// One tenant submits ten thousand tasks in one second. The next task of another tenant must not wait behind
// them, neither in the entry's queue nor at the agents.
test('a task of a tenant with little load is placed before the burst of another tenant', () => {
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.enqueue(tasks('quiet-before', 1, { tenant: 'other', job: 'other/before' }), 0)
  for (let job = 0; job < 70; job += 1) scheduler.enqueue(tasks(`burst-${job}`, 140), 0)
  const burst = scheduler.decide(0)
  scheduler.enqueue(tasks('quiet', 1, { tenant: 'other', job: 'other/quiet' }), 10)
  const [next] = scheduler.decide(10)
  expect(next?.job).toEqual('other/quiet')
  const last = burst[burst.length - 1] as Assignment
  expect((next?.patienceMilliseconds as number) < last.patienceMilliseconds).toEqual(true)
})

test('slot quotas are kept, and the next task is dispatched when one ends', () => {
  const limited = { ...configuration, tenants: { team: { ...unlimited, slots: 3 } } }
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)), { configuration: limited })
  scheduler.enqueue(tasks('job', 10), 0)
  const first = scheduler.decide(0)
  expect(first.length).toEqual(3)
  settleAll(scheduler, first.slice(0, 1), 5)
  expect(scheduler.decide(5).length).toEqual(1)
})

test('with a rate quota, nextDecision is the time at which the next task may start', () => {
  const limited = { ...configuration, tenants: { team: { ...unlimited, tasksPerSecond: 10, burst: 2 } } }
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)), { configuration: limited })
  scheduler.enqueue(tasks('job', 10), 0)
  expect(scheduler.decide(0).length).toEqual(2)
  expect(scheduler.nextDecision(0)).toEqual(100)
  expect(scheduler.decide(100).length).toEqual(1)
})

const unrunnable = [
  { what: 'more memory than any target has', needs: { accelerators: 0, memoryMegabytes: 5000 } },
  { what: 'an accelerator where there is none', needs: { accelerators: 1, memoryMegabytes: 0 } }
]
for (const { what, needs } of unrunnable) {
  test(`a job that asks for ${what} is never runnable`, () => {
    const scheduler = schedulerWith([describe('a1')])
    const admission = scheduler.admit(tasks('job', 1, { needs }), 0)
    expect(!admission.admitted && admission.cause === Cause.NeverRunnable).toEqual(true)
  })
}

test('a job that fits only a disconnected target is not refused as never runnable', () => {
  const scheduler = schedulerWith([describe('a1'), describe('a2', { accelerators: 2 })])
  scheduler.targetDown('a2#1', 1)
  const admission = scheduler.admit(tasks('job', 1, { needs: { accelerators: 1, memoryMegabytes: 0 } }), 2)
  expect(!admission.admitted && admission.cause === Cause.NeverRunnable).toEqual(false)
})

test('a job is refused with a retry time while expected targets have not connected', () => {
  const scheduler = schedulerWith([], { configuration: { ...configuration, providers: { a: { expectedTargets: 2 } } } })
  const admission = scheduler.admit(tasks('job', 1), 0)
  expect(!admission.admitted && admission.cause === Cause.NotReady && admission.retryAfterMilliseconds > 0).toEqual(true)
})

test('unknown services and unknown tenants are refused with separate causes', () => {
  const scheduler = schedulerWith([describe('a1')])
  const causes = [{ service: 'none' }, { tenant: 'none' }].map(more => {
    const admission = scheduler.admit(tasks('job', 1, more), 0)
    return admission.admitted ? undefined : admission.cause
  })
  expect(causes).toEqual([Cause.UnknownService, Cause.UnknownTenant])
})

// A target hangs while the link to its agent is up: no result arrives, so no failure is counted.
test('a busy target that does not respond gets no more tasks until it responds', () => {
  const scheduler = schedulerWith([describe('a1'), describe('a2')])
  warmUp(scheduler)
  scheduler.enqueue(tasks('job', 4, { service: 'record' }), 0)
  const stuck = scheduler.decide(0).filter(assignment => assignment.agent === 'a1#1')
  scheduler.enqueue(tasks('later', 6, { service: 'record' }), 5000)
  const later = scheduler.decide(5000)
  expect(later.some(assignment => assignment.agent === 'a1#1')).toEqual(false)
  settleAll(scheduler, stuck.slice(0, 1), 5001)
  scheduler.enqueue(tasks('last', 12, { service: 'record' }), 5001)
  expect(scheduler.decide(5001).some(assignment => assignment.agent === 'a1#1')).toEqual(true)
})

test('a refused task is dispatched again, but not to the target that refused it', () => {
  const scheduler = schedulerWith([describe('a1'), describe('a2')])
  warmUp(scheduler)
  const [job] = [tasks('job', 1, { service: 'record' })]
  scheduler.enqueue(job, 0)
  const [refused] = scheduler.decide(0) as [Assignment]
  scheduler.settled(refused, TaskOutcome.NotStarted, 0, 1)
  scheduler.enqueue(job, 1)
  const [again] = scheduler.decide(1) as [Assignment]
  expect(again.agent).not.toEqual(refused.agent)
})

// Every agent refuses at once. Without a retry budget each refusal would cause a new dispatch one round
// trip later, from every entry, for as long as the fleet is full.
test('retries beyond the budget are delayed increasingly', () => {
  const scheduler = schedulerWith([describe('a1', { slots: 1000 })], { credit: 1000 })
  const job = tasks('job', 60, { service: 'record' })
  let dispatched = 0
  scheduler.enqueue(job, 0)
  for (let now = 0; now < 3000; now += 1) {
    const assignments = scheduler.decide(now)
    dispatched += assignments.length
    for (const assignment of assignments) {
      scheduler.settled(assignment, TaskOutcome.NotStarted, 0, now)
      scheduler.targetReport('a1#1', report(1000), now)
      scheduler.enqueue([job[assignment.index] as SchedulableTask], now)
    }
  }
  expect(dispatched > 100 && dispatched < 1200).toEqual(true)
})

test('mass cancellation removes exactly the tasks that are still queued', () => {
  const scheduler = schedulerWith([describe('a1'), describe('b1')], { credit: 4 })
  for (let job = 0; job < 100; job += 1) scheduler.enqueue(tasks(`job-${job}`, 100), 0)
  const dispatched = scheduler.decide(0).length
  let removed = 0
  for (let job = 0; job < 100; job += 1) removed += scheduler.remove(`team/job-${job}`).length
  expect(removed).toEqual(10_000 - dispatched)
  expect(scheduler.status().queued).toEqual(0)
  expect(scheduler.remove('team/job-1')).toEqual([])
})

test('outstanding tasks of a lost target stay counted until they are settled', () => {
  const scheduler = schedulerWith([describe('a1')])
  scheduler.enqueue(tasks('job', 2, { service: 'record' }), 0)
  const assignments = scheduler.decide(0)
  scheduler.targetDown('a1#1', 1)
  expect(scheduler.status().outstanding).toEqual(2)
  settleAll(scheduler, assignments, 2)
  expect(scheduler.status().outstanding).toEqual(0)
})

// The only target of one provider resets every connection, or its agent is cut off, so each task returns at
// once as not started. If the target counted as full, tasks would wait for the provider's share: callers
// would lose a quarter of their deadline, repeatedly, beside idle targets.
test('a target that refuses despite free capacity is ejected at once, and no task waits for its share', () => {
  const scheduler = schedulerWith(['a1', 'a2', 'b1'].map(target => describe(target)))
  const job = tasks('job', 18)
  scheduler.enqueue(job, 0)
  let done = 0
  for (let now = 0; now < 100; now += 10) {
    for (const assignment of scheduler.decide(now)) {
      const refused = assignment.agent === 'b1#1'
      scheduler.settled(assignment, refused ? TaskOutcome.NotStarted : TaskOutcome.Succeeded, 50, now)
      if (refused) scheduler.enqueue([job[assignment.index] as SchedulableTask], now)
      else done += 1
    }
  }
  expect(done).toEqual(18)
})

test('a target that refuses despite free capacity is tried less and less often, and used again once it accepts work', () => {
  const scheduler = schedulerWith(['a1', 'a2', 'b1'].map(target => describe(target)))
  const there = { closed: 0, open: 0 }
  for (let now = 0; now < 40_000; now += 50) {
    scheduler.enqueue(tasks(`job-${now}`, 4, { deadline: now + 10_000 }), now)
    for (const assignment of scheduler.decide(now)) {
      const refused = assignment.agent === 'b1#1' && now < 20_000
      if (assignment.agent === 'b1#1') there[refused ? 'closed' : 'open'] += 1
      scheduler.settled(assignment, refused ? TaskOutcome.NotStarted : TaskOutcome.Succeeded, 50, now)
    }
  }
  expect(there.closed > 2 && there.closed < 15).toEqual(true)
  expect(there.open > 400).toEqual(true)
})

// Guards against queueing a refused task as newly arrived: shorter tasks that arrive later would overtake
// it each time, and its wait for a provider's share would start again.
test('a refused task keeps its original position', () => {
  const scheduler = schedulerWith([describe('a1')], { credit: 1 })
  const job = tasks('first', 1, { deadline: 1e6, service: 'record' })
  scheduler.enqueue(job, 0)
  const [refused] = scheduler.decide(0) as [Assignment]
  scheduler.enqueue(tasks('later', 1, { deadline: 1e6, service: 'record' }), 300)
  scheduler.settled(refused, TaskOutcome.NotStarted, 0, 1000)
  scheduler.enqueue(job, 1000)
  const [again] = scheduler.decide(3000) as [Assignment]
  expect(again.job).toEqual('team/first')
  expect(again.patienceMilliseconds).toEqual(refused.patienceMilliseconds - 3000)
})

// One target fails every task. The first failure ends a job, and the job's other tasks are cancelled at
// their targets. If those cancellations counted as failures, all targets would appear to fail, no target
// would stand out, and the faulty one would keep receiving work.
test('tasks that are cancelled because one failed do not count against their targets', () => {
  const scheduler = schedulerWith(['a1', 'a2', 'a3'].map(target => describe(target)))
  warmUp(scheduler)
  for (let number = 0; number < 20; number += 1) {
    const now = 10 * number
    scheduler.enqueue(tasks(`job-${number}`, 6, { service: 'record' }), now)
    for (const assignment of scheduler.decide(now)) {
      const outcome = assignment.agent === 'a1#1' ? TaskOutcome.Failed : TaskOutcome.Unspecified
      scheduler.settled(assignment, outcome, 5, now)
    }
  }
  expect(scheduler.status().health).toEqual({ a1: 0, a2: 1, a3: 1 })
})

// A target hangs until its tasks reach their deadlines and are cancelled. It then has no unfinished tasks
// and appears idle, and without probing it would get as many tasks as the others until it is found
// unresponsive again.
test('a target that hung is probed with one task after its earlier ones have been cancelled', () => {
  const scheduler = schedulerWith(['a1', 'a2', 'a3'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.enqueue(tasks('job', 9, { service: 'record' }), 0)
  const stuck = scheduler.decide(0).filter(assignment => assignment.agent === 'a1#1')
  scheduler.decide(2000)
  expect(scheduler.status().health['a1']).toEqual(0)
  for (const assignment of stuck) scheduler.settled(assignment, TaskOutcome.Unspecified, 0, 10_000)
  scheduler.enqueue(tasks('later', 24, { service: 'record', deadline: 20_000 }), 10_000)
  const probes = scheduler.decide(10_000).filter(assignment => assignment.agent === 'a1#1')
  expect([stuck.length, probes.length]).toEqual([3, 1])
  scheduler.decide(12_000)
  expect(scheduler.status().health['a1']).toEqual(0)
})

// Guards against a job that ends as `failed deadlinePassed` although every target is idle. The tenant is
// throttled by its slot quota; when its last task ends, a slot is free but the rate quota allows no start.
// No further task of the tenant will end, so only a timer can resume it.
test('a tenant throttled by its slot quota and then by its rate quota resumes in time', () => {
  const team = { tasksPerSecond: 1, burst: 2, slots: 1, weight: 1 }
  const scheduler = schedulerWith([describe('a1')], { configuration: { ...configuration, tenants: { team } } })
  scheduler.enqueue(tasks('job', 3, { service: 'record', deadline: 60_000 }), 0)
  let started = 0
  for (const now of [0, 10, 20, 500, 1100, 2100]) {
    const assignments = scheduler.decide(now)
    started += assignments.length
    settleAll(scheduler, assignments, now + 5)
  }
  expect(started).toEqual(3)
})

// Guards against jobs that are refused for lack of targets: beside a leaving target, the last one that
// accepts work must not be ejected for one refusal.
test('the last target that accepts work is not ejected for a refusal while another one leaves', () => {
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.targetReport('b1#1', { ...report(), leaving: true }, 1)
  scheduler.enqueue(tasks('refused', 1), 1)
  for (const assignment of scheduler.decide(1)) scheduler.settled(assignment, TaskOutcome.NotStarted, 0, 1)
  expect(scheduler.admit(tasks('job', 1), 2).admitted).toEqual(true)
})

test('a target that refuses despite free capacity is ejected while others accept work', () => {
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.enqueue(tasks('refused', 1), 1)
  const [assignment] = scheduler.decide(1)
  if (assignment !== undefined) scheduler.settled(assignment, TaskOutcome.NotStarted, 0, 1)
  scheduler.enqueue(tasks('job', 4), 2)
  expect(scheduler.decide(2).some(({ agent }) => agent === assignment?.agent)).toEqual(false)
})

const ends = [
  { name: 'leaves', end: (scheduler: TaskScheduler, agent: string) => scheduler.targetReport(agent, { ...report(), leaving: true }, 2) },
  { name: 'disconnects', end: (scheduler: TaskScheduler, agent: string) => scheduler.targetDown(agent, 2) },
  { name: 'is drained', end: (scheduler: TaskScheduler, agent: string) => scheduler.configure({ ...configuration, draining: { ...configuration.draining, targets: [agent.split('#')[0] as string] } }, 2) }
]
for (const { name, end } of ends) {
  // Jobs would be refused for lack of targets: two are ejected while a third takes work, which then takes none any more.
  test(`an ejected target gets tasks again once the last one that accepts work ${name}`, () => {
    const agents = ['a1#1', 'a2#1', 'b1#1']
    const scheduler = schedulerWith(['a1', 'a2', 'b1'].map(target => describe(target)))
    warmUp(scheduler)
    const refusing = refuseAtTwoTargets(scheduler, 1)
    end(scheduler, agents.find(agent => !refusing.has(agent)) as string)
    expect(scheduler.admit(tasks('job', 1), 3)).toEqual({ admitted: true })
    scheduler.enqueue(tasks('job', 1), 3)
    expect(scheduler.decide(3).map(({ agent }) => refusing.has(agent))).toEqual([true])
  })
}

// A wide job would be refused for its expected duration: the slots of targets that refused once would not be counted.
test('a job is expected to get the slots of targets that are ejected for one refusal', () => {
  const scheduler = schedulerWith(['a1', 'a2', 'b1'].map(target => describe(target)))
  warmUp(scheduler)
  scheduler.setEntryCount(3, 0)
  refuseAtTwoTargets(scheduler, 20_000)
  scheduler.enqueue(tasks('ahead', 12, { deadline: 30_000 }), 20_001)
  scheduler.decide(20_001)
  expect(scheduler.admit(tasks('job', 200, { deadline: 30_000 }), 20_002)).toEqual({ admitted: true })
})

test('a job is not expected to get the slots of a target that has refused its probe', () => {
  const scheduler = schedulerWith(['a1', 'b1'].map(target => describe(target)))
  warmUp(scheduler)
  const refuse = (now: number): void => {
    scheduler.enqueue(tasks(`probe-${now}`, 8, { deadline: now + 1e6 }), now)
    for (const assignment of scheduler.decide(now)) {
      scheduler.settled(assignment, assignment.agent === 'b1#1' ? TaskOutcome.NotStarted : TaskOutcome.Succeeded, 100, now)
    }
  }
  refuse(20_000)
  scheduler.enqueue(tasks('ahead', 12, { deadline: 30_000 }), 20_001)
  scheduler.decide(20_001)
  const wide = tasks('job', 600, { deadline: 30_000 })
  expect(scheduler.admit(wide, 20_002).admitted).toEqual(true)
  refuse(20_300)
  expect(scheduler.admit(wide, 20_301).admitted).toEqual(false)
})
