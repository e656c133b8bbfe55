/**
 * The jobs that an entry runs, from acceptance through dispatch and results to the answer. Answers are kept
 * for callers that ask again.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Answer, Instance, Job, JobKey, LedgerLine, Receipt, TaskReference, TaskResult } from './messages.ts'
import type { Scheduler } from './scheduling.ts'
import { AnsweredJobs } from './answeredjobs.ts'
import { Dispatching, schedulableTasks } from './dispatching.ts'
import { answerWithoutResults, Execution, releasesJobId } from './execution.ts'
import { IndexedHeap } from './heap.ts'
import { AnswerKind, Cause, JobState } from './messages.ts'
import { Refusals } from './refusals.ts'
import { BackupReceipts } from './backupreceipts.ts'

/** Sends the answer of a request to the entry that received the request, which may be this one. */
export type Reply = (to: Attachment, job: JobKey, answer: Answer, now: number) => void

/** Minimum interval between two log lines on refused jobs, in milliseconds. */
const REFUSAL_LOG_INTERVAL_MILLISECONDS = 100

/** Holds the jobs of one entry: running, answered, and orphaned by a lost entry. */
export class Jobs {
  readonly #context: EntryContext
  readonly #scheduler: Scheduler
  readonly #reply: Reply
  readonly #held = new Map<JobKey, Execution>()
  readonly #answered: AnsweredJobs
  /** Jobs of lost entries that no caller has submitted again, oldest first. */
  readonly #orphans = new Map<JobKey, Execution>()
  readonly #refusals: Refusals
  readonly #deadlines = new IndexedHeap<Execution>()
  readonly #dispatching: Dispatching
  readonly #backupReceipts: BackupReceipts
  #open = 0
  #refusalLoggedAt = Number.NEGATIVE_INFINITY
  #unloggedRefusals = 0

  constructor (context: EntryContext, scheduler: Scheduler, reply: Reply) {
    const { retention } = context.timings
    this.#context = context
    this.#scheduler = scheduler
    this.#reply = reply
    this.#answered = new AnsweredJobs({ retention, answerBytes: context.limits.answerBytes })
    this.#refusals = new Refusals(retention)
    this.#dispatching = new Dispatching(context, scheduler)
    this.#backupReceipts = new BackupReceipts(context, (execution, now) => this.#dispatching.enqueue(execution, now))
  }

  get open (): number {
    return this.#open
  }

  get size (): number {
    return this.#held.size
  }

  get (job: JobKey): Execution | undefined {
    return this.#held.get(job)
  }

  values (): IterableIterator<Execution> {
    return this.#held.values()
  }

  /**
   * Accepts a job of which no record exists, or refuses it.
   *
   * @param mayPredateHorizon whether the job may have run before the period that the memory covers: the answer then never
   * states that it did not run
   */
  accept (job: Job, from: Attachment, mayPredateHorizon: boolean, now: number): void {
    const tasks = schedulableTasks(job, now)
    const admission = this.#open >= this.#context.limits.openJobs
      ? { admitted: false as const, cause: Cause.Overloaded, detail: 'too many jobs are open at this entry', retryAfterMilliseconds: 1000 }
      : this.#scheduler.admit(tasks, now)
    if (!admission.admitted) {
      const { cause, detail, retryAfterMilliseconds, figures } = admission
      this.#logRefusal(job, { cause, ...figures }, now)
      const kind = mayPredateHorizon ? AnswerKind.MayHaveRun : AnswerKind.Refused
      this.refuse(job.key, from, answerWithoutResults(kind, cause, detail, retryAfterMilliseconds), now)
      return
    }
    const execution = new Execution(job.key, job.digest, now)
    execution.mayPredateHorizon = mayPredateHorizon
    this.#held.set(job.key, execution)
    this.#open += 1
    execution.begin(job, now)
    execution.attach(from)
    this.#deadlines.set(execution, execution.deadline)
    this.#backupReceipts.ensure(execution, from, now)
  }

  /** Logs a refusal, with the count of those not logged. Under overload most refusals are only counted. */
  #logRefusal (job: Job, fields: Record<string, unknown>, now: number): void {
    this.#unloggedRefusals += 1
    if (now - this.#refusalLoggedAt < REFUSAL_LOG_INTERVAL_MILLISECONDS) return
    this.#context.emit({ type: 'note', what: 'job refused', fields: { job: job.key, tasks: job.tasks.length, ...fields, unsaid: this.#unloggedRefusals - 1, trust: this.#scheduler.status().health } })
    this.#refusalLoggedAt = now
    this.#unloggedRefusals = 0
  }

  /** Whether a new job would be accepted now. */
  wouldAdmit (job: Job, now: number): boolean {
    return this.#scheduler.admit(schedulableTasks(job, now), now).admitted
  }

  /** Refuses one request. Every copy of that request gets the same answer. */
  refuse (job: JobKey, to: Attachment, answer: Answer, now: number): void {
    this.#refusals.keep(to, answer, now)
    this.#reply(to, job, answer, now)
  }

  /** The refusal that the same request received before. */
  previousRefusal (from: Attachment): Answer | undefined {
    if (!this.#context.guards.submission) return undefined
    return this.#refusals.of(from)
  }

  /**
   * Attaches another request to a job that is held here.
   *
   * @param ledgersComplete whether every ledger that may name a job of a lost entry was read
   */
  attach (execution: Execution, job: Job, from: Attachment, ledgersComplete: boolean, now: number): void {
    if (execution.digest !== '' && execution.digest !== job.digest) {
      this.refuse(job.key, from, answerWithoutResults(AnswerKind.Refused, Cause.IdReused, 'this job id was used before with other content: use a new id'), now)
      return
    }
    if (execution.answer !== undefined) {
      this.#reply(from, job.key, execution.answer, now)
      return
    }
    execution.attach(from)
    if (execution.orphan) this.#resume(execution, job, ledgersComplete, now)
  }

  /** Holds what is known of a lost entry's job until a caller submits it again. */
  adopt (key: JobKey, digest: string, lostExecutor: Instance, now: number): Execution {
    const known = this.#held.get(key)
    if (known !== undefined) {
      if (known.orphan && known.digest === '') known.digest = digest
      return known
    }
    const execution = new Execution(key, digest, now)
    execution.lostExecutor = lostExecutor
    this.#held.set(key, execution)
    this.#orphans.set(key, execution)
    return execution
  }

  /**
   * Releases the jobs of lost entries that now belong to another entry. That entry recalls the
   * ledger records of the agents itself, so that only one entry decides which tasks of a job run.
   */
  releaseOrphans (owned: (job: JobKey) => boolean): Receipt[] {
    const released: Receipt[] = []
    for (const orphan of this.#orphans.values()) {
      if (owned(orphan.key)) continue
      this.#orphans.delete(orphan.key)
      this.#held.delete(orphan.key)
      released.push({ job: orphan.key, digest: orphan.digest, executor: orphan.lostExecutor })
    }
    return released
  }

  /** Holds an answered job that a stopping entry handed over. */
  adoptAnswered (key: JobKey, digest: string, answer: Answer, now: number): void {
    const held = this.#held.get(key)
    if (held !== undefined && !held.resumable) return
    const execution = held ?? new Execution(key, digest, now)
    this.#orphans.delete(key)
    this.#held.set(key, execution)
    execution.digest = digest
    this.#seal(execution, answer, now)
  }

  adoptLedgerLine (agent: Instance, line: LedgerLine, now: number): void {
    const execution = this.adopt(line.job, '', '', now)
    if (!execution.resumable) return
    execution.recordLedgerLine(agent, line)
    this.#dispatching.recordAttempt(line.attempt)
    this.#dispatching.recordPlacement(agent, execution)
  }

  /** Handles a backup's confirmation of a receipt, after which the first dispatch may be sent. */
  receiptKept (job: JobKey, backup: Instance, now: number): void {
    this.#backupReceipts.confirmed(this.#held.get(job), backup, now)
  }

  /**
   * Handles a new link to a peer: receipts that could not be sent, or were lost with the old link, are
   * sent.
   */
  peerConnected (peer: Instance, now: number): void {
    this.#backupReceipts.peerConnected(this.#held.values(), peer, now)
  }

  /** Handles the loss of a peer: receipts that it should have kept are sent to the next one. */
  peerLost (peer: Instance, now: number): void {
    this.#backupReceipts.peerLost(this.#held.values(), peer, now)
  }

  result (agent: Instance, result: TaskResult, now: number): void {
    this.#context.sendAgent(agent, { case: 'acknowledge', value: { tasks: [referenceOf(result)] } })
    const execution = this.#held.get(result.job)
    if (execution === undefined || execution.answer !== undefined) return
    if (execution.orphan) execution.recordResult(agent, result)
    else this.#finishWith(execution, this.#dispatching.result(execution, agent, result, now), now)
  }

  /**
   * Sends again what an agent may not have received when its link was cut; its ledger detects duplicates.
   */
  agentReconnected (agent: Instance, now: number): void {
    this.#dispatching.agentReconnected(agent, now)
  }

  /** Handles the loss of an agent: its unfinished tasks may have run. */
  agentLost (agent: Instance, now: number): void {
    for (const execution of this.#dispatching.removeAgent(agent)) {
      if (execution.answer !== undefined) continue
      if (execution.orphan) execution.recordAgentLost(agent)
      else this.#finishWith(execution, this.#dispatching.settleLostTasks(execution, agent, now), now)
    }
  }

  /** Cancels a job; the answer claims only what is provable. */
  cancel (execution: Execution, now: number): void {
    if (execution.answer !== undefined || execution.orphan) return
    const answer = execution.interruptedAnswer(Cause.Cancelled, 'the job was cancelled', 0)
    this.#finish(execution, answer, now)
  }

  stateOf (execution: Execution): JobState {
    if (execution.answer !== undefined) return JobState.Answered
    return execution.mayHaveStarted ? JobState.Running : JobState.Queued
  }

  /** Dispatches the tasks that may run now. */
  dispatch (now: number): void {
    this.#dispatching.dispatch(this.#held, now)
  }

  tick (now: number): void {
    for (let next = this.#deadlines.peek(); next !== undefined && next.deadline <= now; next = this.#deadlines.peek()) {
      const answer = next.interruptedAnswer(Cause.DeadlinePassed, 'the deadline passed before every task had ended', 1000)
      this.#finish(next, answer, now)
    }
    this.#expire(now)
  }

  /** Resumes an orphaned job once its content is known: tasks that provably never started are run. */
  #resume (execution: Execution, job: Job, ledgersComplete: boolean, now: number): void {
    execution.begin(job, now)
    this.#orphans.delete(execution.key)
    this.#open += 1
    this.#deadlines.set(execution, execution.deadline)
    this.#dispatching.recordAttempt(execution.highestAttempt)
    const answer = execution.applyLedgerLines(ledgersComplete || !this.#context.guards.ledgersComplete)
    if (answer !== undefined) {
      this.#finish(execution, answer, now)
      return
    }
    this.#dispatching.claimOutstanding(execution, now)
    this.#backupReceipts.ensure(execution, execution.attached[0], now)
  }

  #finishWith (execution: Execution, answer: Answer | undefined, now: number): void {
    if (answer !== undefined) this.#finish(execution, answer, now)
  }

  /** Answers the job immediately and cancels its queued and running tasks. */
  #finish (execution: Execution, answer: Answer, now: number): void {
    const job = execution.job as Job
    this.#dispatching.withdraw(execution, now)
    const attached = execution.attached
    const tasks = job.tasks.length
    this.#open -= 1
    this.#deadlines.delete(execution)
    this.#seal(execution, answer, now)
    const releasesId = releasesJobId(answer)
    for (const attachment of attached) {
      if (releasesId) this.refuse(job.key, attachment, answer, now)
      else this.#reply(attachment, job.key, answer, now)
    }
    if (releasesId) this.#forget(execution)
    const wholeMilliseconds = now - execution.arrivedAt
    const idealMilliseconds = execution.longestRun
    this.#context.emit({ type: 'jobFinished', tenant: job.tenant, service: job.service, answer, tasks, wholeMilliseconds, idealMilliseconds })
  }

  #seal (execution: Execution, answer: Answer, now: number): void {
    execution.awaitedBackup = undefined
    this.#answered.keep(execution, answer, now)
  }

  #forget (execution: Execution): void {
    this.#answered.forget(execution)
    this.#held.delete(execution.key)
  }

  #expire (now: number): void {
    for (const execution of this.#answered.expire(now)) this.#held.delete(execution.key)
    for (const orphan of this.#orphans.values()) {
      if (now - orphan.arrivedAt <= this.#context.timings.retention) break
      this.#orphans.delete(orphan.key)
      this.#held.delete(orphan.key)
    }
    this.#refusals.expire(now)
  }
}

function referenceOf (result: TaskResult): TaskReference {
  return { job: result.job, index: result.index, attempt: result.attempt }
}
