/** Prints how soon the job ids of a lost entry are served again. Options: `--runs 10`, and `--json` for one JSON object. */
import { parseArgs } from 'node:util'

import type { RecoveryTimes } from './recovery.ts'
import { measureRecovery, RUNNING_TASK_RUN_TIME } from './recovery.ts'

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '10' },
    json: { type: 'boolean', default: false }
  }
})

const recoveries = await measureRecovery({ runs: Number(values.runs) })
if (values.json) {
  console.log(JSON.stringify({ recovery: recoveries }))
} else {
  for (const { loss, newJobs, runningJobs, otherAnswers, clean } of recoveries) {
    console.log(`${loss}: new job ${formatTimes(newJobs)}; running job, its ${RUNNING_TASK_RUN_TIME} ms included, ${formatTimes(runningJobs)}`)
    console.log(`  other answers ${JSON.stringify(otherAnswers)}, ${clean ? 'nothing lost or doubled' : 'NOT CLEAN'}`)
  }
}
process.exit(recoveries.every(({ clean }) => clean) ? 0 : 1)

function formatTimes ({ runs, p50, worst }: RecoveryTimes): string {
  return `p50 ${p50} ms, worst ${worst} ms of ${runs}`
}
