/** Counters and histograms of an entry's jobs and tasks, by tenant and service. */
import type { EntryEffect } from '@amaranthmast/coordination/entrytypes'
import { AnswerKind } from '@amaranthmast/coordination/messages'
import { CAUSE_NAMES, KIND_NAMES } from './answers.ts'
import { Counters } from './counters.ts'
import type { Exposition } from './exposition.ts'
import type { ClassFigures } from './histograms.ts'
import { ClassHistograms, Measure } from './histograms.ts'

type JobFinished = Extract<EntryEffect, { type: 'jobFinished' }>
type TaskFinished = Extract<EntryEffect, { type: 'taskFinished' }>

const MILLISECONDS_PER_SECOND = 1000

export class EntryMetrics {
  readonly #jobs = new Counters(['tenant', 'service', 'kind', 'cause'])
  readonly #tasks = new Counters(['tenant', 'service'])
  readonly #histograms = new ClassHistograms()

  jobFinished ({ tenant, service, answer, wholeMilliseconds, idealMilliseconds }: JobFinished): void {
    this.#jobs.add([tenant, service, KIND_NAMES[answer.kind], CAUSE_NAMES[answer.cause]])
    if (answer.kind === AnswerKind.Refused) return
    this.#histograms.record(tenant, service, Measure.Whole, wholeMilliseconds)
    if (answer.kind !== AnswerKind.Complete || idealMilliseconds <= 0) return
    this.#histograms.record(tenant, service, Measure.Ratio, wholeMilliseconds / idealMilliseconds)
  }

  taskFinished ({ tenant, service, waitMilliseconds, runMilliseconds }: TaskFinished): void {
    this.#tasks.add([tenant, service])
    this.#histograms.record(tenant, service, Measure.Wait, waitMilliseconds)
    this.#histograms.record(tenant, service, Measure.Run, runMilliseconds)
  }

  /** Adds the metrics to an exposition. */
  expose (exposition: Exposition): void {
    exposition.counter('amaranthmast_jobs_total', 'Jobs answered', this.#jobs.samples())
    exposition.counter('amaranthmast_tasks_total', 'Tasks ended at a target', this.#tasks.samples())
    exposition.summary('amaranthmast_task_wait_seconds', 'Time from the arrival of a job until its task went out',
      this.#histograms.summaries(Measure.Wait, MILLISECONDS_PER_SECOND))
    exposition.summary('amaranthmast_task_run_seconds', 'Run time of a task at its target',
      this.#histograms.summaries(Measure.Run, MILLISECONDS_PER_SECOND))
    exposition.summary('amaranthmast_job_seconds', 'Time from the arrival of a job until its answer',
      this.#histograms.summaries(Measure.Whole, MILLISECONDS_PER_SECOND))
    exposition.summary('amaranthmast_job_ideal_ratio', 'Whole time of a complete job, in parts of its longest task',
      this.#histograms.summaries(Measure.Ratio, 1))
  }

  /** Returns the distributions for the status page. */
  figures (): ClassFigures[] {
    return this.#histograms.figures()
  }
}
