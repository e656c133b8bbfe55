/** `explain JOB LOG...`: prints the log lines about one job from all processes in order of time. */
import { JobTimeline } from '@amaranthmast/logs/jobtimeline'
import type { Command } from './command.ts'
import { ExitCode } from './exitcodes.ts'
import { describeUnreadable, readLogs } from './logfiles.ts'

/** The `explain` command. */
export const explain: Command = {
  usage: 'explain <job> <logs..>',
  summary: 'Print what every process decided about one job, in order',
  options: ['json'],
  positionals: {
    job: { describe: 'Id of the job', type: 'string' },
    logs: { describe: 'Files with the log of one process or of many', type: 'string', array: true }
  },
  examples: [['$0 explain 5c0e7a21d94b36f8 *.log', 'from a complaint to its cause']],
  run: (context, { job, logs }) => {
    const story = new JobTimeline(job)
    return readLogs(context, logs, line => story.add(line)).map(unreadable => {
      const found = story.lines.length > 0
      const lines = found ? story.text() : [`no line is about job ${job}: the id may be wrong, or its lines were dropped (see the lines "lines dropped")`]
      return {
        exitCode: found ? ExitCode.Done : ExitCode.Refused,
        lines: [...lines, ...describeUnreadable(unreadable)],
        json: { job, lines: story.lines, unreadable }
      }
    })
  }
}
