/**
 * The jobs that an entry runs: from the claim over dispatch and results to the answer, which stays
 * for callers that ask again.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment } from './execution.ts'
import type { Answer, Instance, Job, JobKey, LedgerLine, Receipt, TaskReference, TaskResult } from './messages.ts'
import type { Scheduler } from './scheduling.ts'
import { AnsweredJobs } from './answeredjobs.ts'
import { Dispatching, schedulableTasks } from './dispatching.ts'
import { answerWithout, Execution, isForgotten } from './execution.ts'
import { IndexedHeap } from './heap.ts'
import { AnswerKind, Cause, JobState } from './messages.ts'
import { Refusals } from './refusals.ts'
import { BackupReceipts } from './backupreceipts.ts'

/** Tells an entry, this one or another, the answer to one of its requests. */
export type Reply = (to: Attachment, job: JobKey, answer: Answer, now: number) => void

/** Least time between two log lines on refused jobs, in milliseconds. */
const REFUSAL_LINE_MILLISECONDS = 100

export class Jobs {
  readonly #context: EntryContext
  readonly #scheduler: Scheduler
  readonly #reply: Reply
  readonly #held = new Map<JobKey, Execution>()
  readonly #answered: AnsweredJobs
  /** Jobs of lost entries that nobody has submitted again, oldest first. */
  readonly #orphans = new Map<JobKey, Execution>()
  readonly #refusals: Refusals
  readonly #deadlines = new IndexedHeap<Execution>()
  readonly #dispatching: Dispatching
  readonly #secondMemory: BackupReceipts
  #open = 0
  #refusalSaidAt = Number.NEGATIVE_INFINITY
  #refusalsUnsaid = 0

  constructor (context: EntryContext, scheduler: Scheduler, reply: Reply) {
    const { retention } = context.timings
    this.#context = context
    this.#scheduler = scheduler
    this.#reply = reply
    this.#answered = new AnsweredJobs({ retention, answerBytes: context.limits.answerBytes })
    this.#refusals = new Refusals(retention)
    this.#dispatching = new Dispatching(context, scheduler)
    this.#secondMemory = new BackupReceipts(context, (execution, now) => this.#dispatching.enqueue(execution, now))
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
   * Takes a job that nobody remembers, or refuses it.
   *
   * @param forgotten whether it may have run before the memory begins: "not run" is never said then
   */
  accept (job: Job, from: Attachment, forgotten: boolean, now: number): void {
    const tasks = schedulableTasks(job, now)
    const admission = this.#open >= this.#context.limits.openJobs
      ? { admitted: false as const, cause: Cause.Overloaded, detail: 'too many jobs are open at this entry', retryAfterMilliseconds: 1000 }
      : this.#scheduler.admit(tasks, now)
    if (!admission.admitted) {
      const { cause, detail, retryAfterMilliseconds, figures } = admission
      this.#noteRefusal(job, { cause, ...figures }, now)
      const kind = forgotten ? AnswerKind.MayHaveRun : AnswerKind.Refused
      this.refuse(job.key, from, answerWithout(kind, cause, detail, retryAfterMilliseconds), now)
      return
    }
    const execution = new Execution(job.key, job.digest, now)
    execution.forgotten = forgotten
    this.#held.set(job.key, execution)
    this.#open += 1
    execution.begin(job, now)
    execution.attach(from)
    this.#deadlines.set(execution, execution.deadline)
    this.#secondMemory.ensure(execution, from, now)
  }

  /** Under overload few of the refusals are logged, with the count of the others. */
  #noteRefusal (job: Job, fields: Record<string, unknown>, now: number): void {
    this.#refusalsUnsaid += 1
    if (now - this.#refusalSaidAt < REFUSAL_LINE_MILLISECONDS) return
    this.#context.emit({ type: 'note', what: 'job refused', fields: { job: job.key, tasks: job.tasks.length, ...fields, unsaid: this.#refusalsUnsaid - 1, trust: this.#scheduler.status().health } })
    this.#refusalSaidAt = now
    this.#refusalsUnsaid = 0
  }

  /** Whether a job that nobody has seen before would be taken now. */
  admits (job: Job, now: number): boolean {
    return this.#scheduler.admit(schedulableTasks(job, now), now).admitted
  }

  /** Answers one request with a refusal, and every copy of that request with the same one. */
  refuse (job: JobKey, to: Attachment, answer: Answer, now: number): void {
    this.#refusals.keep(to, answer, now)
    this.#reply(to, job, answer, now)
  }

  /** The refusal that this very request was given before. */
  earlierRefusal (from: Attachment): Answer | undefined {
    if (!this.#context.guards.submission) return undefined
    return this.#refusals.of(from)
  }

  /**
   * Attaches a further request to a job that is held here.
   *
   * @param ledgersComplete whether every ledger that may name a job of a lost entry was read
   */
  attach (execution: Execution, job: Job, from: Attachment, ledgersComplete: boolean, now: number): void {
    if (execution.digest !== '' && execution.digest !== job.digest) {
      this.refuse(job.key, from, answerWithout(AnswerKind.Refused, Cause.IdReused, 'this job id was used before with other content: use a new id'), now)
      return
    }
    if (execution.answer !== undefined) {
      this.#reply(from, job.key, execution.answer, now)
      return
    }
    execution.attach(from)
    if (execution.orphan) this.#resume(execution, job, ledgersComplete, now)
  }

  /** Holds what is known of a job whose entry was lost, until somebody submits it again. */
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
   * Gives up what is held of jobs of lost entries that belong to another entry now: it asks the
   * agents itself, so that one entry alone decides what of the job is run.
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

  adoptLine (agent: Instance, line: LedgerLine, now: number): void {
    const execution = this.adopt(line.job, '', '', now)
    if (!execution.resumable) return
    execution.noteLine(agent, line)
    this.#dispatching.noteAttempt(line.attempt)
    this.#dispatching.noteAt(agent, execution)
  }

  /** The backup has the receipt: the first dispatch may go out. */
  receiptKept (job: JobKey, backup: Instance, now: number): void {
    this.#secondMemory.confirmed(this.#held.get(job), backup, now)
  }

  /** A link to a peer is up: receipts that could not be sent, or were lost with the old link, go out. */
  peerConnected (peer: Instance, now: number): void {
    this.#secondMemory.peerConnected(this.#held.values(), peer, now)
  }

  /** A peer is gone: receipts that it was to keep go to the next one. */
  peerLost (peer: Instance, now: number): void {
    this.#secondMemory.peerLost(this.#held.values(), peer, now)
  }

  result (agent: Instance, result: TaskResult, now: number): void {
    this.#context.sendAgent(agent, { case: 'acknowledge', value: { tasks: [referenceOf(result)] } })
    const execution = this.#held.get(result.job)
    if (execution === undefined || execution.answer !== undefined) return
    if (execution.orphan) execution.noteResult(agent, result)
    else this.#finishWith(execution, this.#dispatching.result(execution, agent, result, now), now)
  }

  /** Sends again what an agent whose link was cut may not have received; its ledger knows copies. */
  agentReconnected (agent: Instance, now: number): void {
    this.#dispatching.agentReconnected(agent, now)
  }

  /** The agent is given up: what it had may have run. */
  agentLost (agent: Instance, now: number): void {
    for (const execution of this.#dispatching.takeFrom(agent)) {
      if (execution.answer !== undefined) continue
      if (execution.orphan) execution.noteAgentLost(agent)
      else this.#finishWith(execution, this.#dispatching.loseTasks(execution, agent, now), now)
    }
  }

  /** Breaks a job off; its answer says what is provable. */
  cancel (execution: Execution, now: number): void {
    if (execution.answer !== undefined || execution.orphan) return
    const answer = execution.brokenOffAnswer(Cause.Cancelled, 'the job was cancelled', 0)
    this.#finish(execution, answer, now)
  }

  stateOf (execution: Execution): JobState {
    if (execution.answer !== undefined) return JobState.Answered
    return execution.touched ? JobState.Running : JobState.Queued
  }

  /** Dispatches what may run now. */
  dispatch (now: number): void {
    this.#dispatching.dispatch(this.#held, now)
  }

  tick (now: number): void {
    for (let next = this.#deadlines.peek(); next !== undefined && next.deadline <= now; next = this.#deadlines.peek()) {
      const answer = next.brokenOffAnswer(Cause.DeadlinePassed, 'the deadline passed before every task had ended', 1000)
      this.#finish(next, answer, now)
    }
    this.#expire(now)
  }

  /** Restarts an orphaned job with its content: what provably never started is run. */
  #resume (execution: Execution, job: Job, ledgersComplete: boolean, now: number): void {
    execution.begin(job, now)
    this.#orphans.delete(execution.key)
    this.#open += 1
    this.#deadlines.set(execution, execution.deadline)
    this.#dispatching.noteAttempt(execution.highestAttempt)
    const answer = execution.applyLines(ledgersComplete || !this.#context.guards.ledgersComplete)
    if (answer !== undefined) {
      this.#finish(execution, answer, now)
      return
    }
    this.#dispatching.claimOutstanding(execution, now)
    this.#secondMemory.ensure(execution, execution.attached[0], now)
  }

  #finishWith (execution: Execution, answer: Answer | undefined, now: number): void {
    if (answer !== undefined) this.#finish(execution, answer, now)
  }

  /** Gives the final answer, at once, and takes back what is still queued or running. */
  #finish (execution: Execution, answer: Answer, now: number): void {
    const job = execution.job as Job
    this.#dispatching.withdraw(execution, now)
    const attached = execution.attached
    const tasks = job.tasks.length
    this.#open -= 1
    this.#deadlines.delete(execution)
    this.#seal(execution, answer, now)
    const forgettable = isForgotten(answer)
    for (const attachment of attached) {
      if (forgettable) this.refuse(job.key, attachment, answer, now)
      else this.#reply(attachment, job.key, answer, now)
    }
    if (forgettable) this.#forget(execution)
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
