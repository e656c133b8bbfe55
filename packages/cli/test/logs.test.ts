/** Commands that read the logs of a fleet. */
import { test } from 'node:test'
import { expect } from 'earl'
import { ToolError } from '../src/errors.ts'
import { ExitCode } from '../src/exitcodes.ts'
import { linesOf, startTool } from './toolcontext.ts'

/** Creates a log line of a process, `after` milliseconds after the first one. */
function line (after: number, process: string, msg: string, fields: object): string {
  return JSON.stringify({ level: 30, time: new Date(1_800_000_000_000 + after).toISOString(), instance: `${process}#r1`, role: 'role', ...fields, msg })
}

const ENTRY = [
  line(0, 'entry-1', 'job taken', { job: 'aa', queue: 'checks', tasks: 2 }),
  line(1, 'entry-1', 'tasks placed', { job: 'aa', at: [['agent-1', 2, 3]], waited: 1, left: 0 }),
  line(32, 'entry-1', 'task to be placed again', { job: 'aa', task: 'aa.0.1', agent: 'agent-1', outcome: 'gone', cause: 'unanswered' }),
  line(260, 'entry-1', 'job ended', { job: 'aa', queue: 'checks', kind: 'completed', reason: '', age: 260, waited: 1, objective: 200 }),
  line(300, 'entry-1', 'job taken', { job: 'bb', queue: 'checks', tasks: 1 }),
  line(350, 'entry-1', 'job ended', { job: 'bb', queue: 'checks', kind: 'refused', reason: 'overload', age: 50, waited: 50, objective: 200 }),
  line(400, 'entry-1', 'job taken', { job: 'cc', queue: 'checks', tasks: 1 }),
  line(500, 'entry-1', 'job ended', { job: 'cc', queue: 'checks', kind: 'completed', reason: '', age: 100, waited: 0, objective: 200 }),
  line(900, 'entry-1', 'job taken', { job: 'dd', queue: 'checks', tasks: 1 })
].join('\n')

const AGENT = [
  line(30, 'agent-1', 'start refused', { task: 'aa.0.1', run: 1, answer: 'silent' }),
  'Segmentation fault',
  line(31, 'agent-1', 'task ended', { task: 'aa.0.1', attempt: 1, outcome: 'gone', cause: 'unanswered' })
].join('\n')

// A job was late. The log of its entry shows that a task was placed again, the log of the agent why: the target did not
// answer the start.
test('explain lists the log lines of one job from all processes', async context => {
  const { tool } = await startTool(context)
  Object.assign(tool.files, { entry: ENTRY, agent: AGENT })
  const lines = linesOf(await tool.run('explain', { job: 'aa', logs: ['entry', 'agent'] }))
  expect(lines.map(text => text.slice(0, 45).trimEnd())).toEqual([
    '      0 ms  entry-1  job taken: queue checks,',
    '      1 ms  entry-1  tasks placed: at [["agen',
    '     30 ms  agent-1  start refused: task aa.0',
    '     31 ms  agent-1  task ended: task aa.0.1,',
    '     32 ms  entry-1  task to be placed again:',
    '    260 ms  entry-1  job ended: queue checks,',
    'agent: 1 lines that are not log lines of amar'
  ])
})

test('explain fails for a job without log lines', async context => {
  const { tool } = await startTool(context)
  Object.assign(tool.files, { entry: ENTRY })
  const outcome = await tool.run('explain', { job: 'zz', logs: ['entry'] })
  expect(outcome.exitCode).toEqual(ExitCode.Refused)
})

test('losses counts jobs by outcome and cause', async context => {
  const { tool } = await startTool(context)
  Object.assign(tool.files, { entry: ENTRY })
  const outcome = await tool.run('losses', { logs: ['entry'] })
  const json = outcome instanceof ToolError ? undefined : outcome.json as { inTime: number, byCause: unknown }
  expect(json?.inTime).toEqual(1)
  expect(json?.byCause).toEqual([
    { key: 'late unanswered', count: 1, examples: ['aa'] },
    { key: 'refused overload', count: 1, examples: ['bb'] },
    { key: 'unfinished noEnd', count: 1, examples: ['dd'] }
  ])
})

test('losses names the reason of a job that was given up for crashes under its task', async context => {
  const { tool } = await startTool(context)
  tool.files['entry'] = [
    line(0, 'entry-1', 'job taken', { job: 'aa', queue: 'checks', tasks: 1 }),
    line(30, 'entry-1', 'task to be placed again', { job: 'aa', task: 'aa.0.0', agent: 'agent-1', outcome: 'gone', cause: 'crashed' }),
    line(90, 'entry-1', 'job ended', { job: 'aa', queue: 'checks', kind: 'timedOut', reason: 'taskCrashes', age: 90, waited: 0, objective: 200 })
  ].join('\n')
  const outcome = await tool.run('losses', { logs: ['entry'] })
  const json = outcome instanceof ToolError ? undefined : outcome.json as { byCause: unknown }
  expect(JSON.stringify(json?.byCause).includes('taskCrashes')).toEqual(true)
})

test('a missing log file is an error', async context => {
  const { tool } = await startTool(context)
  const outcome = await tool.run('losses', { logs: ['nothing'] })
  expect(outcome instanceof ToolError && outcome.code).toEqual('LOG_UNREADABLE')
})
