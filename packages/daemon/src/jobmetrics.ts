/** Counters and histograms of jobs, by queue. */
import type { EntryEffect } from '@amaranthmast/dispatch/entrytypes'
import type { Exposition } from './exposition.ts'
import { Counters } from './counters.ts'
import { ClassHistograms, Measure } from './histograms.ts'

const MILLISECONDS_PER_SECOND = 1000

export class JobMetrics {
  readonly #endedJobs = new Counters(['queue', 'kind', 'reason'])
  readonly #histograms = new ClassHistograms()

  jobEnded ({ queue, kind, reason, milliseconds, waited }: Extract<EntryEffect, { type: 'jobEnded' }>): void {
    this.#endedJobs.add([queue, kind, reason])
    this.#histograms.record(queue, kind, Measure.Whole, milliseconds)
    this.#histograms.record(queue, kind, Measure.Wait, waited)
  }

  expose (exposition: Exposition): void {
    exposition.counter('amaranthmast_jobs_total', 'Jobs that ended, by how and why', this.#endedJobs.samples())
    exposition.summary('amaranthmast_job_seconds', 'From the arrival of a job until its answer', this.#histograms.summaries(Measure.Whole, MILLISECONDS_PER_SECOND))
    exposition.summary('amaranthmast_job_wait_seconds', 'From the arrival of a job until its first task was placed', this.#histograms.summaries(Measure.Wait, MILLISECONDS_PER_SECOND))
  }
}
