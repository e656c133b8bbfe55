/** `losses LOG...`: counts the jobs that were late, refused or failed, with their times and causes. */
import type { CountedKey } from '@amaranthmast/logs/tally'
import { LossCollector } from '@amaranthmast/logs/losses'
import { Tally } from '@amaranthmast/logs/tally'
import type { Command } from './command.ts'
import { ExitCode } from './exitcodes.ts'
import { describeUnreadable, readLogs } from './logfiles.ts'
import { formatTable } from './table.ts'

/** Maximum number of rows in a text table; the JSON output has all. */
const MAX_TABLE_ROWS = 12

/** The `losses` command. */
export const losses: Command = {
  usage: 'losses <logs..>',
  summary: 'Count the jobs that were late, refused or failed, by cause, second, entry and agent',
  options: ['json'],
  positionals: { logs: { describe: 'Files with the logs of all entries', type: 'string', array: true } },
  examples: [['$0 losses entry-*.log', 'where the service was lost, and an example of each cause for explain']],
  run: (context, { logs }) => {
    const tally = new Tally()
    const found = new LossCollector(lost => tally.add(lost))
    return readLogs(context, logs, line => found.add(line)).map(unreadable => {
      found.finish()
      return { exitCode: ExitCode.Done, lines: [...report(tally, found.inTime), ...describeUnreadable(unreadable)], json: { inTime: found.inTime, lost: tally.total, byCause: tally.byCause, bySecond: tally.bySecond, byEntry: tally.byEntry, byAgent: tally.byAgent, unreadable } }
    })
  }
}

function report (tally: Tally, inTime: number): string[] {
  return [
    `${inTime} jobs in time, ${tally.total} not.`,
    ...formatTable(['cause', 'jobs', 'for example'], tally.byCause.slice(0, MAX_TABLE_ROWS).map(({ key, count, examples }) => [key, String(count), examples.join(' ')])),
    ...section('second', tally.bySecond),
    ...section('entry', tally.byEntry),
    ...section('agent at which tasks came to nothing', tally.byAgent)
  ]
}

function section (heading: string, rows: readonly CountedKey[]): string[] {
  if (rows.length === 0) return []
  const hiddenRows = rows.length - MAX_TABLE_ROWS
  return ['', ...formatTable([heading, 'jobs'], rows.slice(0, MAX_TABLE_ROWS).map(({ key, count }) => [key, String(count)])), ...(hiddenRows > 0 ? [`and ${hiddenRows} more, see --json`] : [])]
}
