/** Metrics in the format that monitoring systems read. */
import { AnswerKind, Cause } from '@amaranthmast/coordination/messages'
import { expect } from 'earl'
import { test } from 'node:test'
import { EntryMetrics } from '../src/entrymetrics.ts'
import { Exposition } from '../src/exposition.ts'
import { ClassHistograms, Measure } from '../src/histograms.ts'
import { exposeDroppedLines } from '../src/processmetrics.ts'

const task = { type: 'taskFinished', tenant: 'magnolia', service: 'label-check', waitMilliseconds: 2, runMilliseconds: 100 } as const

test('labels are escaped', () => {
  const exposition = new Exposition()
  exposition.gauge('size', 'Size', [{ labels: { name: 'a"b\\c\nd' }, value: 1 }])
  expect(exposition.text()).toEqual('# HELP size Size\n# TYPE size gauge\nsize{name="a\\"b\\\\c\\nd"} 1\n')
})

test('dropped lines are counted by class', () => {
  const exposition = new Exposition()
  exposeDroppedLines(exposition, { routine: 7, change: 2 })
  expect(exposition.text()).toEqual(`# HELP amaranthmast_log_lines_dropped_total Log lines dropped: routine ones, and ones that tell changes
# TYPE amaranthmast_log_lines_dropped_total counter
amaranthmast_log_lines_dropped_total{class="routine"} 7
amaranthmast_log_lines_dropped_total{class="change"} 2
`)
})

test('a task is counted and its times are exposed for its class in seconds', () => {
  const metrics = new EntryMetrics()
  metrics.taskFinished(task)
  const lines = linesOf(metrics)
  expect(lines).toInclude('amaranthmast_tasks_total{tenant="magnolia",service="label-check"} 1')
  expect(lines).toInclude('amaranthmast_task_run_seconds_sum{tenant="magnolia",service="label-check"} 0.1')
  expect(lines).toInclude('amaranthmast_task_run_seconds_count{tenant="magnolia",service="label-check"} 1')
})

const jobs = [
  { name: 'a complete job', kind: AnswerKind.Complete, cause: Cause.None, ideal: 4, counted: 'kind="complete",cause="none"', ratio: 1.25 },
  { name: 'a failed job', kind: AnswerKind.Failed, cause: Cause.TaskFailed, ideal: 4, counted: 'kind="failed",cause="taskFailed"', ratio: undefined },
  { name: 'a refused job', kind: AnswerKind.Refused, cause: Cause.Overloaded, ideal: 0, counted: 'kind="refused",cause="overloaded"', ratio: undefined },
  { name: 'a job whose tasks took no time', kind: AnswerKind.Complete, cause: Cause.None, ideal: 0, counted: 'kind="complete",cause="none"', ratio: undefined }
]

for (const { name, kind, cause, ideal, counted, ratio } of jobs) {
  test(`${name} is counted by kind and cause, and compared with its longest task ${ratio === undefined ? 'not' : 'once'}`, () => {
    const metrics = new EntryMetrics()
    const answer = { kind, cause, detail: '', results: [], retryAfterMilliseconds: 0 }
    metrics.jobFinished({ type: 'jobFinished', tenant: 'magnolia', service: 'label-check', answer, tasks: 1, wholeMilliseconds: 5, idealMilliseconds: ideal })
    expect(linesOf(metrics)).toInclude(`amaranthmast_jobs_total{tenant="magnolia",service="label-check",${counted}} 1`)
    expect(metrics.figures()[0]?.measures.ratio?.mean).toEqual(ratio)
  })
}

test('quantiles are those of the recorded values', () => {
  const histograms = new ClassHistograms()
  for (let value = 1; value <= 100; value++) histograms.record('magnolia', 'label-check', Measure.Wait, value)
  const [figures] = histograms.figures()
  const wait = figures?.measures.wait
  expect(wait?.count).toEqual(100)
  expect(Math.round(wait?.p50 ?? 0)).toEqual(50)
  expect(Math.round(wait?.p99 ?? 0)).toEqual(99)
})

test('the number of classes is bounded', () => {
  const histograms = new ClassHistograms()
  for (let number = 0; number < 600; number++) histograms.record(`tenant-${number}`, 's', Measure.Wait, 1)
  const figures = histograms.figures()
  expect([figures.length, figures.at(-1)?.tenant, figures.at(-1)?.measures.wait?.count]).toEqual([501, 'others', 100])
})

function linesOf (metrics: EntryMetrics): string[] {
  const exposition = new Exposition()
  metrics.expose(exposition)
  return exposition.text().split('\n')
}
