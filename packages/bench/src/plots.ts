/** The plots of the report page, and the figures that each shows. */
import type { Row } from './sectiontypes.ts'

/** Definition of one plot. */
export interface Plot {
  /** Section or time series that provides the rows. */
  section: string
  title: string
  /** Explanation for readers of the page. */
  note: string
  /** Columns to plot; several columns become one series each. */
  values: readonly string[]
  x: string
  xTitle: string
  yTitle: string
  mark: 'bar' | 'line'
  /** Column by which a single value is split into series. */
  series?: string
  /** Column by which the plot is split into panels. */
  panels?: string
  /** Value of the goal, drawn as a horizontal line. */
  goal?: number
  /** Whether the x axis of a line plot is logarithmic. */
  logarithmic?: boolean
  /** Selects the rows to draw. @default all rows */
  only?: (row: Row) => boolean
}

/** The plots, in their order on the page. */
export const plots: readonly Plot[] = [
  {
    section: 'policies',
    title: 'Response time over the ideal, by policy',
    note: 'At 70% load without faults; 1 is perfect knowledge. The line is the goal for the 99th percentile.',
    values: ['p50', 'p90', 'p99'],
    x: 'policy',
    xTitle: 'policy',
    yTitle: 'response time over the ideal',
    mark: 'bar',
    panels: 'user',
    goal: 1.3
  },
  {
    section: 'policies',
    title: 'Messages over the minimum, by policy',
    note: 'The minimum is one dispatch and one answer for each task. The line is the goal.',
    values: ['messagesOverMinimum'],
    x: 'policy',
    xTitle: 'policy',
    yTitle: 'messages over the minimum',
    mark: 'bar',
    panels: 'user',
    goal: 1.05
  },
  {
    section: 'shares',
    title: 'Largest error of a provider share',
    note: 'In any 200 tasks of a service in a row, in order of dispatch over all entries. The line is the goal.',
    values: ['errorPoints'],
    x: 'case',
    xTitle: 'share and number of entries',
    yTitle: 'error, points',
    mark: 'bar',
    goal: 2
  },
  {
    section: 'shareOverTime',
    title: 'Error of a provider share over time',
    note: 'The share is changed from 70 to 20 percent at 60 s. Windows of 200 tasks that reach over the change differ from the new share.',
    values: ['errorPoints'],
    x: 'second',
    xTitle: 'second',
    yTitle: 'error, points',
    mark: 'line',
    series: 'service'
  },
  {
    section: 'overload',
    title: 'Goodput over load',
    note: 'Run time of jobs answered in time, over what could have been done. The line is the goal at twice the capacity.',
    values: ['goodputOverPossible'],
    x: 'load',
    xTitle: 'offered load over the capacity',
    yTitle: 'goodput over the possible',
    mark: 'line',
    series: 'user',
    goal: 0.95
  },
  {
    section: 'healthOverTime',
    title: 'A target that misbehaves from 20 to 60 s',
    note: 'Mean health of the target over the entries: 0 is ejected, 1 fully trusted.',
    values: ['health'],
    x: 'second',
    xTitle: 'second',
    yTitle: 'health',
    mark: 'line',
    panels: 'fault'
  },
  {
    section: 'tenants',
    title: 'One tenant beside the burst of another',
    note: '99th percentile of the steady tenant over its own without a burst. The line is the goal.',
    values: ['p99OverAlone'],
    x: 'burstLoad',
    xTitle: 'load of the other tenant over the capacity',
    yTitle: 'p99 over p99 alone',
    mark: 'line',
    series: 'user',
    goal: 1.1
  },
  {
    section: 'decisions',
    title: 'Processor time of a decision over the number of targets',
    note: 'One task queued, dispatched and settled. Depends on the machine and on what else it does.',
    values: ['microsecondsPerTask'],
    x: 'targets',
    xTitle: 'targets (logarithmic)',
    yTitle: 'microseconds',
    mark: 'line',
    series: 'policy',
    logarithmic: true
  },
  {
    section: 'convergence',
    title: 'Time until a configuration is in force everywhere',
    note: 'Half of the runs, and the worst. The line is the goal.',
    values: ['wholeP50', 'wholeWorst'],
    x: 'disturbance',
    xTitle: 'disturbance',
    yTitle: 'milliseconds',
    mark: 'bar',
    panels: 'fleet',
    goal: 4000,
    only: row => row['choice'] === 'known behind, entries wait'
  },
  {
    section: 'detection',
    title: 'Time until a lost entry is removed',
    note: 'By the kind of the loss, over runs.',
    values: ['killedP50', 'killedWorst', 'silentP50', 'silentWorst'],
    x: 'suspect',
    xTitle: 'silence that is suspected, ms',
    yTitle: 'milliseconds',
    mark: 'bar',
    panels: 'entries'
  },
  {
    section: 'processes',
    title: 'Real processes beside the model',
    note: 'The same jobs. The processes share one machine with all targets and callers.',
    values: ['p50', 'p90', 'p99'],
    x: 'run',
    xTitle: 'run',
    yTitle: 'response time over an empty fleet',
    mark: 'bar'
  }
]

/** Returns the rows of a plot, with calculated columns added. */
export function rowsOf (plot: Plot, results: Readonly<Record<string, readonly Row[]>>): Row[] {
  const rows = (results[plot.section] ?? []).filter(row => plot.only?.(row) ?? true)
  return rows.map(row => plot.section === 'shares' ? { ...row, case: `${row['share']} / ${row['entries']}` } : row)
}
