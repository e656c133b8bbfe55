/**
 * The jobs that an entry runs: from the claim over dispatch and results to the answer, which stays
 * for callers that ask again.
 */
import type { EntryContext } from './entrycontext.ts'
import type { Attachment, TaskProgress } from './execution.ts'
import type { Answer, Instance, Job, JobKey, LedgerLine, Receipt, TaskReference, TaskResult } from './messages.ts'
import type { SchedulableTask, Scheduler } from './scheduling.ts'
import { answerWithout, Execution, isForgotten, TaskStage } from './execution.ts'
import { IndexedHeap } from './heap.ts'
import { AnswerKind, Cause, JobState, TaskOutcome } from './messages.ts'
import { backupsOf } from './rendezvous.ts'
import { liveMembers } from './view.ts'

/** Tells an entry, this one or another, the answer to one of its requests. */
export type Reply = (to: Attachment, job: JobKey, answer: Answer, now: number) => void

/** Refusals are remembered for copies of the same submission. */
interface RememberedRefusal {
  answer: Answer
  at: number
}

function submissionName (attachment: Attachment): string {
  return `${attachment.entry}/${attachment.submission}`
}

export class Jobs {
  readonly #context: EntryContext
  readonly #scheduler: Scheduler
  readonly #reply: Reply
  readonly #held = new Map<JobKey, Execution>()
  /** Answered jobs, oldest first. */
  readonly #answered = new Map<JobKey, Execution>()
  /** Jobs of lost entries that nobody has submitted again, oldest first. */
  readonly #orphans = new Map<JobKey, Execution>()
  readonly #refusals = new Map<string, RememberedRefusal>()
  readonly #deadlines = new IndexedHeap<Execution>()
  /** By agent: executions that have a task there. */
  readonly #byAgent = new Map<Instance, Set<Execution>>()
  #answerBytes = 0
  #lastAttempt = 0
  #open = 0

  constructor (context: EntryContext, scheduler: Scheduler, reply: Reply) {
    this.#context = context
    this.#scheduler = scheduler
    this.#reply = reply
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
      const { cause, detail, retryAfterMilliseconds } = admission
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
    this.#remember(execution, from, now)
  }

  /** Whether a job that nobody has seen before would be taken now. */
  admits (job: Job, now: number): boolean {
    return this.#scheduler.admit(schedulableTasks(job, now), now).admitted
  }

  /** Answers one request with a refusal, and every copy of that request with the same one. */
  refuse (job: JobKey, to: Attachment, answer: Answer, now: number): void {
    this.#refusals.set(submissionName(to), { answer, at: now })
    this.#reply(to, job, answer, now)
  }

  /** The refusal that this very request was given before. */
  earlierRefusal (from: Attachment): Answer | undefined {
    if (!this.#context.guards.submission) return undefined
    return this.#refusals.get(submissionName(from))?.answer
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
    if (held !== undefined && (!held.orphan || held.answer !== undefined)) return
    const execution = held ?? new Execution(key, digest, now)
    this.#orphans.delete(key)
    this.#held.set(key, execution)
    execution.digest = digest
    this.#seal(execution, answer, now)
  }

  adoptLine (agent: Instance, line: LedgerLine, now: number): void {
    const execution = this.adopt(line.job, '', '', now)
    if (!execution.orphan || execution.answer !== undefined) return
    execution.noteLine(agent, line)
    this.#lastAttempt = Math.max(this.#lastAttempt, line.attempt)
    this.#executionsAt(agent).add(execution)
  }

  /** The backup has the receipt: the first dispatch may go out. */
  receiptKept (job: JobKey, backup: Instance, now: number): void {
    const execution = this.#held.get(job)
    if (execution?.awaitedBackup !== backup) return
    execution.awaitedBackup = undefined
    this.#enqueue(execution, now)
  }

  /** A peer is gone: receipts that it was to keep go to the next one. */
  peerLost (peer: Instance, now: number): void {
    for (const execution of this.#held.values()) {
      if (execution.awaitedBackup === peer) this.#sendReceipt(execution, now)
    }
  }

  result (agent: Instance, result: TaskResult, now: number): void {
    this.#context.sendAgent(agent, { case: 'acknowledge', value: { tasks: [referenceOf(result)] } })
    const execution = this.#held.get(result.job)
    if (execution === undefined || execution.answer !== undefined) return
    if (execution.orphan) {
      execution.noteResult(agent, result)
      return
    }
    const task = this.#taskFor(execution, agent, result)
    if (task === undefined) return
    this.#settle(execution, result.index, task, result, now)
  }

  /** Sends again what an agent whose link was cut may not have received; its ledger knows copies. */
  agentReconnected (agent: Instance, now: number): void {
    for (const execution of this.#byAgent.get(agent) ?? []) {
      if (execution.answer !== undefined) continue
      for (const { index, task } of execution.outstanding()) {
        if (task.agent === agent) this.#sendDispatch(execution, index, task, now)
      }
    }
  }

  /** The agent is given up: what it had may have run. */
  agentLost (agent: Instance, now: number): void {
    const executions = this.#byAgent.get(agent)
    this.#byAgent.delete(agent)
    for (const execution of executions ?? []) {
      if (execution.answer !== undefined) continue
      if (execution.orphan) {
        execution.noteAgentLost(agent)
        continue
      }
      this.#loseTasks(execution, agent, now)
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
    for (const assignment of this.#scheduler.decide(now)) {
      const execution = this.#held.get(assignment.job)
      const task = execution?.tasks[assignment.index]
      if (execution === undefined || task?.stage !== TaskStage.Pending) {
        this.#scheduler.settled(assignment, TaskOutcome.NotStarted, 0, now)
        continue
      }
      this.#lastAttempt += 1
      execution.dispatched(assignment.index, assignment, this.#lastAttempt, now)
      this.#executionsAt(assignment.agent).add(execution)
      this.#sendDispatch(execution, assignment.index, task, now)
    }
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
    this.#lastAttempt = Math.max(this.#lastAttempt, execution.highestAttempt)
    const answer = execution.applyLines(ledgersComplete || !this.#context.guards.ledgersComplete)
    if (answer !== undefined) {
      this.#finish(execution, answer, now)
      return
    }
    this.#claimOutstanding(execution, now)
    this.#remember(execution, execution.attached[0], now)
  }

  /** Tells the agents that run tasks of a resumed job who is to be told the outcome. */
  #claimOutstanding (execution: Execution, now: number): void {
    for (const { index, task } of execution.outstanding()) this.#sendDispatch(execution, index, task, now)
  }

  /**
   * A job that came through another entry is known there; one that did not needs a receipt. An
   * entry that is stopping is no second memory: it may have handed over what it knows already.
   */
  #remember (execution: Execution, from: Attachment | undefined, now: number): void {
    const source = liveMembers(this.#context.view()).find(member => member.instance === from?.entry)
    const known = source !== undefined && source.instance !== this.#context.instance && !source.leaving
    if (known || !this.#context.guards.secondMemory) this.#enqueue(execution, now)
    else this.#sendReceipt(execution, now)
  }

  /**
   * Gives another entry the receipt, and dispatches nothing until it has confirmed. If this entry
   * and an agent are lost together, the receipt is what tells a later submission that the job was
   * there. With no other entry in the view there is nobody to ask, and the horizon covers the loss.
   */
  #sendReceipt (execution: Execution, now: number): void {
    const members = liveMembers(this.#context.view())
    const candidates = backupsOf(execution.key, this.#context.instance, members)
    execution.awaitedBackup = candidates.find(candidate => this.#context.peerConnected(candidate)) ?? candidates[0]
    if (execution.awaitedBackup === undefined) {
      this.#enqueue(execution, now)
      return
    }
    const receipt = { job: execution.key, digest: execution.digest, executor: this.#context.instance }
    this.#context.sendPeer(execution.awaitedBackup, { case: 'receipt', value: receipt })
  }

  /** A link to a peer is up: receipts that could not be sent, or were lost with the old link, go out. */
  peerConnected (peer: Instance, now: number): void {
    for (const execution of this.#held.values()) {
      const awaited = execution.awaitedBackup
      if (awaited === undefined || execution.answer !== undefined) continue
      if (awaited === peer || !this.#context.peerConnected(awaited)) this.#sendReceipt(execution, now)
    }
  }

  #enqueue (execution: Execution, now: number): void {
    const job = execution.job
    if (job === undefined || execution.answer !== undefined) return
    const all = schedulableTasks(job, now, execution.deadline)
    const pending = all.filter(task => execution.tasks[task.index]?.stage === TaskStage.Pending)
    if (pending.length > 0) this.#scheduler.enqueue(pending, now)
  }

  #taskFor (execution: Execution, agent: Instance, result: TaskResult): TaskProgress | undefined {
    if (this.#context.guards.attempt) return execution.outstandingFor(agent, result)
    const task = execution.tasks[result.index]
    return task?.stage === TaskStage.Done ? undefined : task
  }

  #settle (execution: Execution, index: number, task: TaskProgress, result: TaskResult, now: number): void {
    const assignment = { job: execution.key, index, agent: task.agent }
    this.#scheduler.settled(assignment, result.outcome, result.runMilliseconds, now)
    const waitMilliseconds = task.dispatchedAt - task.queuedAt
    const answer = execution.settle(task, result.outcome, result.payload, result.detail, now, result.runMilliseconds)
    if (result.outcome === TaskOutcome.NotStarted) {
      this.#enqueueAgain(execution, index, now)
      return
    }
    const { tenant, service } = execution.job as Job
    this.#context.emit({ type: 'taskFinished', tenant, service, waitMilliseconds, runMilliseconds: result.runMilliseconds })
    if (answer !== undefined) this.#finish(execution, answer, now)
  }

  #enqueueAgain (execution: Execution, index: number, now: number): void {
    const task = schedulableTasks(execution.job as Job, now, execution.deadline)[index]
    if (task !== undefined) this.#scheduler.enqueue([task], now)
  }

  #loseTasks (execution: Execution, agent: Instance, now: number): void {
    for (const { index, task } of execution.outstanding()) {
      if (task.agent !== agent) continue
      this.#scheduler.settled({ job: execution.key, index, agent }, TaskOutcome.MayHaveRun, 0, now)
      const answer = execution.settle(task, TaskOutcome.MayHaveRun, new Uint8Array(), 'the agent that had the task was lost', now)
      if (answer !== undefined) {
        this.#finish(execution, answer, now)
        return
      }
    }
  }

  /** Gives the final answer, at once, and takes back what is still queued or running. */
  #finish (execution: Execution, answer: Answer, now: number): void {
    const job = execution.job as Job
    this.#scheduler.remove(execution.key)
    this.#cancelOutstanding(execution, now)
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

  #cancelOutstanding (execution: Execution, now: number): void {
    const byAgent = new Map<Instance, TaskReference[]>()
    for (const { index, task } of execution.outstanding()) {
      const references = byAgent.get(task.agent) ?? []
      references.push({ job: execution.key, index, attempt: task.attempt })
      byAgent.set(task.agent, references)
      this.#scheduler.settled({ job: execution.key, index, agent: task.agent }, TaskOutcome.Unspecified, 0, now)
    }
    for (const [agent, tasks] of byAgent) this.#context.sendAgent(agent, { case: 'cancel', value: { tasks } })
    for (const task of execution.tasks) this.#byAgent.get(task.agent)?.delete(execution)
  }

  #seal (execution: Execution, answer: Answer, now: number): void {
    execution.close(answer, now)
    execution.awaitedBackup = undefined
    this.#answered.set(execution.key, execution)
    this.#answerBytes += bytesOf(answer)
    for (const oldest of this.#answered.values()) {
      if (this.#answerBytes <= this.#context.limits.answerBytes || oldest === execution) break
      this.#dropResults(oldest)
    }
  }

  /** Keeps that the job ran, without its results. */
  #dropResults (execution: Execution): void {
    const answer = execution.answer as Answer
    this.#answerBytes -= bytesOf(answer)
    if (answer.kind !== AnswerKind.Complete) return
    execution.answer = answerWithout(AnswerKind.Failed, Cause.ResultsExpired, 'the job was answered before; its results are no longer held')
  }

  #forget (execution: Execution): void {
    this.#answered.delete(execution.key)
    this.#held.delete(execution.key)
    if (execution.answer !== undefined) this.#answerBytes -= bytesOf(execution.answer)
  }

  #expire (now: number): void {
    const { retention } = this.#context.timings
    for (const execution of this.#answered.values()) {
      if (now - execution.answeredAt <= retention) break
      this.#forget(execution)
    }
    for (const orphan of this.#orphans.values()) {
      if (now - orphan.arrivedAt <= retention) break
      this.#orphans.delete(orphan.key)
      this.#held.delete(orphan.key)
    }
    for (const [name, refusal] of this.#refusals) {
      if (now - refusal.at <= retention) break
      this.#refusals.delete(name)
    }
  }

  #sendDispatch (execution: Execution, index: number, task: TaskProgress, now: number): void {
    const job = execution.job as Job
    const request = job.tasks[index]
    if (request === undefined) return
    this.#context.sendAgent(task.agent, {
      case: 'dispatch',
      value: {
        job: job.key,
        index,
        attempt: task.attempt,
        agent: task.agent,
        tenant: job.tenant,
        service: job.service,
        payload: request.payload,
        remainingMilliseconds: Math.max(0, execution.deadline - now),
        runMilliseconds: request.runMilliseconds,
        patienceMilliseconds: task.overtakableUntil - now,
        needs: request.needs
      }
    })
  }

  #executionsAt (agent: Instance): Set<Execution> {
    const known = this.#byAgent.get(agent)
    if (known !== undefined) return known
    const executions = new Set<Execution>()
    this.#byAgent.set(agent, executions)
    return executions
  }
}

function referenceOf (result: TaskResult): TaskReference {
  return { job: result.job, index: result.index, attempt: result.attempt }
}

function bytesOf (answer: Answer): number {
  let bytes = 0
  for (const result of answer.results) bytes += result.byteLength
  return bytes
}

function schedulableTasks (job: Job, now: number, deadline = now + job.remainingMilliseconds): SchedulableTask[] {
  return job.tasks.map((task, index) => ({
    job: job.key,
    index,
    tenant: job.tenant,
    service: job.service,
    needs: task.needs,
    runMilliseconds: task.runMilliseconds,
    deadline
  }))
}
