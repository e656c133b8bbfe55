/** Summary of a load: answers by kind, submissions, and response times compared with the ideal. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

import type { JobRecord } from './records.ts'

/** Percentiles of one quantity. */
export interface Percentiles {
  count: number
  mean: number
  p50: number
  p90: number
  p99: number
  max: number
}

/** Response times of the jobs, or of one tenant's jobs, with a complete answer. */
export interface ResponseSummary {
  /** Milliseconds from the first submission to the final answer. */
  responseMilliseconds: Percentiles
  /** Response time divided by the ideal response time; 1 is perfect. */
  ratio: Percentiles
}

/** Summary of a load as its callers measured it. */
export interface LoadSummary extends ResponseSummary {
  jobs: number
  tasks: number
  answers: Record<string, number>
  /** Submissions beyond the first of each job. */
  resubmissions: number
  tenants: Record<string, ResponseSummary>
}

const MAX_VALUE = 3_600_000_000
const SIGNIFICANT_DIGITS = 3
/** Histograms store integers, so values are stored in thousandths. */
const VALUE_SCALE = 1_000

/**
 * Minimum possible response time of a job: the run time of its longest task, or the total run time
 * divided by the slots if that is longer. Network time on the loopback interface is not included.
 */
export function idealMilliseconds (record: JobRecord, slots: number): number {
  const runs = record.submission.tasks.map(task => task.payload.runMilliseconds ?? 0)
  const total = runs.reduce((sum, run) => sum + run, 0)
  return Math.max(1, total / slots, ...runs)
}

/** Summarises the jobs. `slots` is the total number of slots of all targets. */
export function summarise (records: readonly JobRecord[], slots: number): LoadSummary {
  const tenants = new Set(records.map(record => record.submission.tenant))
  const ofTenant = (tenant: string): JobRecord[] => records.filter(record => record.submission.tenant === tenant)
  return {
    jobs: records.length,
    tasks: records.reduce((sum, record) => sum + record.submission.tasks.length, 0),
    answers: countAnswers(records),
    resubmissions: records.reduce((sum, record) => sum + Math.max(0, record.attempts.length - 1), 0),
    ...responses(records, slots),
    tenants: Object.fromEntries([...tenants].sort().map(tenant => [tenant, responses(ofTenant(tenant), slots)]))
  }
}

function countAnswers (records: readonly JobRecord[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const record of records) {
    const kind = record.final?.kind ?? 'none'
    counts[kind] = (counts[kind] ?? 0) + 1
  }
  return counts
}

function responses (records: readonly JobRecord[], slots: number): ResponseSummary {
  const times = newHistogram()
  const ratios = newHistogram()
  for (const record of records) {
    if (record.final?.kind !== 'complete' || record.finishedAt === undefined) continue
    const response = record.finishedAt - record.submittedAt
    times.recordValue(Math.round(response * VALUE_SCALE))
    ratios.recordValue(Math.round(response / idealMilliseconds(record, slots) * VALUE_SCALE))
  }
  return { responseMilliseconds: percentiles(times), ratio: percentiles(ratios) }
}

function newHistogram (): Histogram {
  return build({ highestTrackableValue: MAX_VALUE, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

function percentiles (histogram: Histogram): Percentiles {
  const value = (thousandths: number): number => Math.round(thousandths) / VALUE_SCALE
  if (histogram.totalCount === 0) return { count: 0, mean: 0, p50: 0, p90: 0, p99: 0, max: 0 }
  return {
    count: histogram.totalCount,
    mean: value(histogram.mean),
    p50: value(histogram.getValueAtPercentile(50)),
    p90: value(histogram.getValueAtPercentile(90)),
    p99: value(histogram.getValueAtPercentile(99)),
    max: value(histogram.maxValue)
  }
}
