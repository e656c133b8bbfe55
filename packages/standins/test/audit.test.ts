import { test } from 'node:test'

import { expect } from 'earl'

import type { AuditCounts } from '@amaranthmast/standins/audit'
import { audit, IncompleteRecordsError, isClean } from '@amaranthmast/standins/audit'
import type { AnswerBody, Attempt, JobRecord, StartRecord, TargetRecords } from '@amaranthmast/standins/records'
import { AnswerKind, StartOutcome } from '@amaranthmast/standins/records'

const CLEAN: AuditCounts = {
  jobs: 1, complete: 1, failed: 0, refused: 0, mayHaveRun: 0, lost: 0, doubled: 0, refusedButRan: 0
}

const REFUSAL: AnswerBody = { kind: AnswerKind.Refused, job: 'j1', cause: 'overloaded', retryAfterMilliseconds: 20 }

function started (task: number, target: string, changes: Partial<StartRecord> = {}): StartRecord {
  return {
    tenant: 'magnolia',
    service: 'label-check',
    job: 'j1',
    task,
    target,
    outcome: StartOutcome.Finished,
    startedAt: 110,
    finishedAt: 140,
    ...changes
  }
}

function result (task: number, target: string, changes: object = {}): object {
  return { tenant: 'magnolia', job: 'j1', task, target, ...changes }
}

function completeWith (results: unknown[]): AnswerBody {
  return { kind: AnswerKind.Complete, job: 'j1', results }
}

function attempt (submittedAt: number, answer?: AnswerBody): Attempt {
  return { entry: 'http://127.0.0.1:1', submittedAt, endedAt: submittedAt + 50, answer }
}

function jobOfTwo (attempts: Attempt[], final?: AnswerBody): JobRecord {
  const task = { payload: { runMilliseconds: 30 } }
  return {
    submission: { job: 'j1', tenant: 'magnolia', service: 'label-check', repeatable: false, deadlineMilliseconds: 1000, tasks: [task, task] },
    submittedAt: 100,
    attempts,
    final,
    finishedAt: 150
  }
}

function answeredWith (final: AnswerBody): JobRecord {
  return jobOfTwo([attempt(100, final)], final)
}

function recordsOf (target: string, records: StartRecord[], dropped = 0): TargetRecords {
  return { target, slots: 8, running: 0, askedAboveSlots: 0, dropped, records }
}

const BOTH_STARTED = [recordsOf('t1', [started(0, 't1')]), recordsOf('t2', [started(1, 't2')])]
const ONE_RESULT_EACH = [result(0, 't1'), result(1, 't2')]

interface Case {
  name: string
  job: JobRecord
  targets: TargetRecords[]
  counts: Partial<AuditCounts>
}

const CASES: Case[] = [
  { name: 'a correct complete answer', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: BOTH_STARTED, counts: {} },
  { name: 'a failed answer', job: answeredWith({ kind: AnswerKind.Failed, job: 'j1' }), targets: BOTH_STARTED, counts: { complete: 0, failed: 1 } },
  { name: 'an answer that it may have run', job: answeredWith({ kind: AnswerKind.MayHaveRun, job: 'j1' }), targets: BOTH_STARTED, counts: { complete: 0, mayHaveRun: 1 } },
  { name: 'a correct refusal', job: answeredWith(REFUSAL), targets: [], counts: { complete: 0, refused: 1 } },
  { name: 'no final answer', job: jobOfTwo([attempt(100), attempt(200)]), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'too few results', job: answeredWith(completeWith([result(0, 't1')])), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'too many results', job: answeredWith(completeWith([...ONE_RESULT_EACH, result(1, 't2')])), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'an empty result', job: answeredWith(completeWith([result(0, 't1'), null])), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'results in the wrong order', job: answeredWith(completeWith([result(1, 't1'), result(0, 't1')])), targets: [recordsOf('t1', [started(0, 't1'), started(1, 't1')])], counts: { complete: 0, lost: 1 } },
  { name: 'a result of another job', job: answeredWith(completeWith([result(0, 't1'), result(1, 't2', { job: 'j2' })])), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'a result of another tenant', job: answeredWith(completeWith([result(0, 't1'), result(1, 't2', { tenant: 'vaalrand' })])), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'an answer that names another job', job: answeredWith({ ...completeWith(ONE_RESULT_EACH), job: 'j2' }), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'a result without a start', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [recordsOf('t1', [started(0, 't1')])], counts: { complete: 0, lost: 1 } },
  { name: 'a result of a target that did not run it', job: answeredWith(completeWith([result(0, 't1'), result(1, 't1')])), targets: BOTH_STARTED, counts: { complete: 0, lost: 1 } },
  { name: 'a result of a start that was aborted', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [recordsOf('t1', [started(0, 't1'), started(1, 't2', { outcome: StartOutcome.Aborted })])], counts: { complete: 0, lost: 1 } },
  { name: 'a result of a start that failed', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [recordsOf('t1', [started(0, 't1'), started(1, 't2', { outcome: StartOutcome.Failed })])], counts: { complete: 0, lost: 1 } },
  { name: 'a result of a start that has not ended', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [recordsOf('t1', [started(0, 't1'), started(1, 't2', { outcome: StartOutcome.Running })])], counts: { complete: 0, lost: 1 } },
  { name: 'a start of the same task for another tenant', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [recordsOf('t1', [started(0, 't1'), started(1, 't2', { tenant: 'vaalrand' })])], counts: { complete: 0, lost: 1 } },
  { name: 'a task started at two targets', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [...BOTH_STARTED, recordsOf('t3', [started(1, 't3')])], counts: { doubled: 1 } },
  { name: 'a task started twice at one target', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [recordsOf('t1', [started(0, 't1'), started(0, 't1'), started(1, 't2')])], counts: { doubled: 1 } },
  { name: 'a second start that was aborted', job: answeredWith(completeWith(ONE_RESULT_EACH)), targets: [...BOTH_STARTED, recordsOf('t3', [started(1, 't3', { outcome: StartOutcome.Aborted })])], counts: { doubled: 1 } },
  { name: 'a task of a failed job started at two targets', job: answeredWith({ kind: AnswerKind.Failed, job: 'j1' }), targets: [...BOTH_STARTED, recordsOf('t3', [started(1, 't3')])], counts: { complete: 0, failed: 1, doubled: 1 } },
  { name: 'a final refusal of a job that ran', job: answeredWith(REFUSAL), targets: [recordsOf('t1', [started(1, 't1')])], counts: { complete: 0, refused: 1, refusedButRan: 1 } },
  { name: 'a final refusal of a job that ran later', job: answeredWith(REFUSAL), targets: [recordsOf('t1', [started(1, 't1', { startedAt: 9000 })])], counts: { complete: 0, refused: 1, refusedButRan: 1 } },
  { name: 'a start before the submission that follows a refusal', job: jobOfTwo([attempt(100, REFUSAL), attempt(200, completeWith(ONE_RESULT_EACH))], completeWith(ONE_RESULT_EACH)), targets: BOTH_STARTED, counts: { refusedButRan: 1 } },
  { name: 'starts after the submission that follows a refusal', job: jobOfTwo([attempt(50, REFUSAL), attempt(105, completeWith(ONE_RESULT_EACH))], completeWith(ONE_RESULT_EACH)), targets: BOTH_STARTED, counts: {} },
  { name: 'a start from a failed submission before a later refusal', job: jobOfTwo([attempt(100), attempt(160, REFUSAL), attempt(250, completeWith(ONE_RESULT_EACH))], completeWith(ONE_RESULT_EACH)), targets: BOTH_STARTED, counts: { refusedButRan: 1 } }
]

for (const { name, job, targets, counts } of CASES) {
  test(`the audit classifies ${name}`, () => {
    const report = audit([job], targets)
    expect(report.counts).toEqual({ ...CLEAN, ...counts })
    expect(report.faults.length).toEqual((counts.lost ?? 0) + (counts.doubled ?? 0) + (counts.refusedButRan ?? 0))
    expect(isClean(report)).toEqual(report.faults.length === 0)
  })
}

test('the audit finds duplicate starts of a job without a caller record', () => {
  const report = audit([], [recordsOf('t1', [started(0, 't1')]), recordsOf('t2', [started(0, 't2')])])
  expect(report.counts.doubled).toEqual(1)
})

test('the audit rejects incomplete records', () => {
  expect(() => audit([], [recordsOf('t1', [], 1)])).toThrow(IncompleteRecordsError)
})
