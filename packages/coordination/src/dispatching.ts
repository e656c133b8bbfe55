/** Dispatches the tasks of jobs to agents under numbered attempts, and processes their results. */
import type { EntryContext } from './entrycontext.ts'
import type { Execution, TaskProgress } from './execution.ts'
import type { Answer, Instance, Job, JobKey, TaskReference, TaskResult } from './messages.ts'
import type { SchedulableTask, Scheduler } from './scheduling.ts'
import { TaskStage } from './execution.ts'
import { TaskOutcome } from './messages.ts'

/** Converts the tasks of a job to the form that the scheduler uses. */
export function schedulableTasks (job: Job, now: number, deadline = now + job.remainingMilliseconds): SchedulableTask[] {
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

/** Sends tasks to agents, numbers the attempts, and settles the results. */
export class Dispatching {
  readonly #context: EntryContext
  readonly #scheduler: Scheduler
  /** Executions with a task at an agent, by agent. */
  readonly #byAgent = new Map<Instance, Set<Execution>>()
  #lastAttempt = 0

  constructor (context: EntryContext, scheduler: Scheduler) {
    this.#context = context
    this.#scheduler = scheduler
  }

  /**
   * Raises the last attempt number to one found in a lost entry's job: new attempts are numbered above it.
   */
  recordAttempt (attempt: number): void {
    this.#lastAttempt = Math.max(this.#lastAttempt, attempt)
  }

  /** Records that the execution has, or may have, a task at the agent. */
  recordPlacement (agent: Instance, execution: Execution): void {
    const executions = this.#byAgent.get(agent)
    if (executions === undefined) this.#byAgent.set(agent, new Set([execution]))
    else executions.add(execution)
  }

  /** Removes a lost agent and returns the executions that have a task there. */
  removeAgent (agent: Instance): Iterable<Execution> {
    const executions = this.#byAgent.get(agent)
    this.#byAgent.delete(agent)
    return executions ?? []
  }

  /** Queues the tasks of a job that are neither dispatched nor done. */
  enqueue (execution: Execution, now: number): void {
    const job = execution.job
    if (job === undefined || execution.answer !== undefined) return
    const all = schedulableTasks(job, now, execution.deadline)
    const pending = all.filter(task => execution.tasks[task.index]?.stage === TaskStage.Pending)
    if (pending.length > 0) this.#scheduler.enqueue(pending, now)
  }

  /**
   * Dispatches the tasks that may run now. A task that is no longer pending is returned to the scheduler as
   * not started.
   */
  dispatch (held: ReadonlyMap<JobKey, Execution>, now: number): void {
    for (const assignment of this.#scheduler.decide(now)) {
      const execution = held.get(assignment.job)
      const task = execution?.tasks[assignment.index]
      if (execution === undefined || task?.stage !== TaskStage.Pending) {
        this.#scheduler.settled(assignment, TaskOutcome.NotStarted, 0, now)
        continue
      }
      this.#lastAttempt += 1
      execution.dispatched(assignment.index, assignment, this.#lastAttempt, now)
      this.recordPlacement(assignment.agent, execution)
      this.#sendDispatch(execution, assignment.index, task, now)
    }
  }

  /**
   * Sends again what an agent may not have received when its link was cut; its ledger detects duplicates.
   */
  agentReconnected (agent: Instance, now: number): void {
    for (const execution of this.#byAgent.get(agent) ?? []) {
      if (execution.answer !== undefined) continue
      for (const { index, task } of execution.outstanding()) {
        if (task.agent === agent) this.#sendDispatch(execution, index, task, now)
      }
    }
  }

  /**
   * Sends the running tasks of a resumed job to their agents again, so that the agents report the outcome
   * to this entry.
   */
  claimOutstanding (execution: Execution, now: number): void {
    for (const { index, task } of execution.outstanding()) this.#sendDispatch(execution, index, task, now)
  }

  /**
   * Processes a result, unless it belongs to another attempt or agent. Returns the answer if it ends the
   * job.
   */
  result (execution: Execution, agent: Instance, result: TaskResult, now: number): Answer | undefined {
    const task = this.#taskForResult(execution, agent, result)
    return task === undefined ? undefined : this.#settle(execution, task, result, now)
  }

  /** Settles the tasks of a lost agent as possibly run. Returns the answer if that ends the job. */
  settleLostTasks (execution: Execution, agent: Instance, now: number): Answer | undefined {
    const lost = execution.outstanding().filter(({ task }) => task.agent === agent)
    if (lost.length > 0) this.#context.emit({ type: 'note', what: 'tasks lost with their agent', fields: { job: execution.key, agent, tasks: lost.map(({ index, task }) => [index, task.attempt, Math.round(now - task.dispatchedAt)]) } })
    for (const { index, task } of execution.outstanding()) {
      if (task.agent !== agent) continue
      this.#scheduler.settled({ job: execution.key, index, agent }, TaskOutcome.MayHaveRun, 0, now)
      const answer = execution.settle(task, TaskOutcome.MayHaveRun, new Uint8Array(), 'the agent that had the task was lost', now)
      if (answer !== undefined) return answer
    }
    return undefined
  }

  /** Removes the queued tasks of the job and cancels the running ones. */
  withdraw (execution: Execution, now: number): void {
    this.#scheduler.remove(execution.key)
    this.#cancelOutstanding(execution, now)
  }

  #taskForResult (execution: Execution, agent: Instance, result: TaskResult): TaskProgress | undefined {
    if (this.#context.guards.attempt) return execution.outstandingFor(agent, result)
    const task = execution.tasks[result.index]
    return task?.stage === TaskStage.Done ? undefined : task
  }

  #settle (execution: Execution, task: TaskProgress, result: TaskResult, now: number): Answer | undefined {
    const { index, outcome, payload, detail, runMilliseconds } = result
    this.#scheduler.settled({ job: execution.key, index, agent: task.agent }, outcome, runMilliseconds, now)
    const waitMilliseconds = task.dispatchedAt - task.queuedAt
    const answer = execution.settle(task, outcome, payload, detail, now, runMilliseconds)
    if (outcome === TaskOutcome.NotStarted) {
      this.#requeue(execution, index, now)
      return undefined
    }
    const { tenant, service } = execution.job as Job
    this.#context.emit({ type: 'taskFinished', tenant, service, waitMilliseconds, runMilliseconds })
    return answer
  }

  #requeue (execution: Execution, index: number, now: number): void {
    const task = schedulableTasks(execution.job as Job, now, execution.deadline)[index]
    if (task !== undefined) this.#scheduler.enqueue([task], now)
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

  #sendDispatch (execution: Execution, index: number, task: TaskProgress, now: number): void {
    const job = execution.job as Job
    const request = job.tasks[index]
    if (request === undefined) return
    const sent = this.#context.sendAgent(task.agent, {
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
    if (!sent) this.#context.emit({ type: 'note', what: 'dispatch not sent', fields: { job: job.key, index, attempt: task.attempt, agent: task.agent } })
  }
}
