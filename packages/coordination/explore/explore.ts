/**
 * Command line of the explorer: searches schedules of faults for one that violates an invariant, or replays
 * one.
 *
 * npm run explore -- --seed 1 --runs 20000
 * npm run explore -- --break fence
 * npm run explore -- --replay '<the schedule that an earlier run printed>' [--break fence]
 */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import type { Schedule } from './schedule.ts'
import { GUARD_NAMES, guardsWithout } from './guards.ts'
import { search } from './search.ts'
import { runSchedule } from './steps.ts'

const DEFAULT_RUNS = 2000

function replay (schedule: Schedule, broken: string | undefined): void {
  const { violation } = runSchedule(schedule, guardsWithout(broken), line => console.log(line))
  console.log(violation === undefined ? 'no violation' : `${violation.invariant} at ${violation.at.toFixed(1)} ms: ${violation.detail}`)
  process.exitCode = violation === undefined ? 0 : 1
}

function explore (seed: number, runs: number, broken: string | undefined, shrink: boolean): void {
  const began = performance.now()
  const found = search({ seed, runs, broken, shrink })
  const seconds = (performance.now() - began) / 1000
  console.log(`seed ${seed}: ${found.runs} schedules in ${seconds.toFixed(1)} s, ${Math.round(found.runs / seconds)} a second`)
  for (const [label, count] of [...found.answers].sort((left, right) => right[1] - left[1])) console.log(`  ${label}: ${count}`)
  if (found.violation === undefined) {
    console.log('no violation')
    return
  }
  const { invariant, at, detail } = found.violation
  console.log(`${invariant} at ${at.toFixed(1)} ms: ${detail}`)
  console.log(`${found.schedule?.steps.length ?? 0} steps after ${found.shrinks} shrinks; replay with:`)
  console.log(`npm run explore -- ${broken === undefined ? '' : `--break ${broken} `}--replay '${JSON.stringify(found.schedule)}'`)
  process.exitCode = 1
}

const settings = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'seed of the search' })
  .option('runs', { type: 'number', default: DEFAULT_RUNS, describe: 'schedules to try' })
  .option('break', { choices: GUARD_NAMES, describe: 'guard to switch off' })
  .option('replay', { type: 'string', describe: 'run this one schedule and print what happens' })
  .option('shrink', { type: 'boolean', default: true, describe: 'shrink a failing schedule' })
  .strict()
  .parseSync()

if (settings.replay !== undefined) replay(JSON.parse(settings.replay) as Schedule, settings.break)
else explore(settings.seed, settings.runs, settings.break, settings.shrink)
