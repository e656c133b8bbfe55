/**
 * Audits a run: compares the start records of the targets with the answers to the callers. Both come
 * from the same machine, so that their timestamps can be compared.
 */
import type { AnswerBody, JobRecord, StartRecord, StandInResult, TargetRecords } from './records.ts'
import { AnswerKind, StartOutcome, taskKey } from './records.ts'

/** Counts of one run. Each job is counted in exactly one of `complete` to `lost`. */
export interface AuditCounts {
  jobs: number
  /** Jobs with a complete answer in which every result belongs to its task and has a finished start. */
  complete: number
  failed: number
  refused: number
  mayHaveRun: number
  /** Jobs without a final answer, or with a complete answer that the records do not confirm. */
  lost: number
  /** Tasks that started more than once across all targets. */
  doubled: number
  /** Jobs that were answered "not run" although one of their tasks had started. */
  refusedButRan: number
}

/** Result of an audit. */
export interface AuditReport {
  counts: AuditCounts
  /** One readable line for each fault. */
  faults: string[]
  /** Tasks that started at least once. */
  starts: number
  /** How often a target received a request while all of its slots were occupied. */
  askedAboveSlots: number
}

enum Verdict {
  Complete = 'complete',
  Failed = 'failed',
  Refused = 'refused',
  MayHaveRun = 'mayHaveRun',
  Lost = 'lost'
}

type StartsByTask = Map<string, StartRecord[]>

/** A target dropped records, so that its starts cannot be audited. */
export class IncompleteRecordsError extends Error {
  readonly code = 'INCOMPLETE_RECORDS'

  constructor (target: string, dropped: number) {
    super(`target ${target} dropped ${dropped} start records: raise its record limit or run fewer tasks`)
    this.name = 'IncompleteRecordsError'
  }
}

/** Compares the answers to the callers with the starts at the targets. Throws when records are incomplete. */
export function audit (jobs: readonly JobRecord[], targets: readonly TargetRecords[]): AuditReport {
  const starts = startsByTask(targets)
  const report: AuditReport = {
    counts: { jobs: jobs.length, complete: 0, failed: 0, refused: 0, mayHaveRun: 0, lost: 0, doubled: 0, refusedButRan: 0 },
    faults: [],
    starts: starts.size,
    askedAboveSlots: targets.reduce((sum, target) => sum + target.askedAboveSlots, 0)
  }
  for (const job of jobs) auditJob(job, starts, report)
  auditDuplicateStarts(starts, report)
  return report
}

/** Whether no job was lost, no task started twice and no refusal was wrong. */
export function isClean (report: AuditReport): boolean {
  const { lost, doubled, refusedButRan } = report.counts
  return lost === 0 && doubled === 0 && refusedButRan === 0
}

function startsByTask (targets: readonly TargetRecords[]): StartsByTask {
  const starts: StartsByTask = new Map()
  for (const target of targets) {
    if (target.dropped > 0) throw new IncompleteRecordsError(target.target, target.dropped)
    for (const record of target.records) {
      const key = taskKey(record.tenant, record.job, record.task)
      const known = starts.get(key)
      if (known === undefined) starts.set(key, [record])
      else known.push(record)
    }
  }
  return starts
}

function auditJob (job: JobRecord, starts: StartsByTask, report: AuditReport): void {
  const name = `${job.submission.tenant}/${job.submission.job}`
  const verdict = determineVerdict(job, starts, fault => report.faults.push(`lost: ${name}: ${fault}`))
  report.counts[verdict]++
  const early = findStartDespiteRefusal(job, starts)
  if (early === undefined) return
  report.counts.refusedButRan++
  report.faults.push(`refused but ran: ${name}: task ${early.task} started at ${early.target}`)
}

function determineVerdict (job: JobRecord, starts: StartsByTask, addFault: (fault: string) => void): Verdict {
  if (job.final === undefined) {
    addFault(`no final answer after ${job.attempts.length} submissions`)
    return Verdict.Lost
  }
  if (job.final.kind !== AnswerKind.Complete) return VERDICT_BY_ANSWER[job.final.kind]
  const fault = findCompleteAnswerFault(job, job.final, starts)
  if (fault === undefined) return Verdict.Complete
  addFault(fault)
  return Verdict.Lost
}

const VERDICT_BY_ANSWER: Readonly<Record<Exclude<AnswerKind, AnswerKind.Complete>, Verdict>> = {
  [AnswerKind.Failed]: Verdict.Failed,
  [AnswerKind.Refused]: Verdict.Refused,
  [AnswerKind.MayHaveRun]: Verdict.MayHaveRun
}

/** Describes why the records do not confirm a complete answer; undefined when they do. */
function findCompleteAnswerFault (job: JobRecord, answer: AnswerBody, starts: StartsByTask): string | undefined {
  const { tenant, job: id, tasks } = job.submission
  if (answer.job !== id) return `answer of job ${answer.job}`
  const results = answer.results ?? []
  if (results.length !== tasks.length) return `${results.length} results for ${tasks.length} tasks`
  for (let task = 0; task < tasks.length; task++) {
    const result = results[task] as Partial<StandInResult> | null
    if (result?.tenant !== tenant || result.job !== id || result.task !== task) {
      return `result ${task} is not its own: ${JSON.stringify(result)}`
    }
    const finished = starts.get(taskKey(tenant, id, task))?.some(start => isFinishedAt(start, result.target))
    if (finished !== true) return `task ${task} has no finished start at ${result.target}`
  }
  return undefined
}

function isFinishedAt (start: StartRecord, target: string | undefined): boolean {
  return start.target === target && start.outcome === StartOutcome.Finished
}

/**
 * Finds a start that contradicts a refusal. A refusal promises that no task of the job has started
 * and that none will start from the submissions so far. Only a later submission may start one, so
 * any start before the next submission is a fault, and any start at all when there is none.
 */
function findStartDespiteRefusal (job: JobRecord, starts: StartsByTask): StartRecord | undefined {
  const refusedUntil = refusalEnd(job)
  if (refusedUntil === undefined) return undefined
  const { tenant, job: id, tasks } = job.submission
  for (let task = 0; task < tasks.length; task++) {
    const early = starts.get(taskKey(tenant, id, task))?.find(start => start.startedAt < refusedUntil)
    if (early !== undefined) return early
  }
  return undefined
}

/** Time before which the last refusal of the job permits no start; undefined when it was never refused. */
function refusalEnd (job: JobRecord): number | undefined {
  const last = job.attempts.findLastIndex(attempt => attempt.answer?.kind === AnswerKind.Refused)
  if (last < 0) return undefined
  return job.attempts[last + 1]?.submittedAt ?? Infinity
}

function auditDuplicateStarts (starts: StartsByTask, report: AuditReport): void {
  for (const [key, records] of starts) {
    if (records.length < 2) continue
    report.counts.doubled++
    const places = records.map(record => record.target).join(', ')
    report.faults.push(`doubled: ${key} started ${records.length} times: ${places}`)
  }
}
