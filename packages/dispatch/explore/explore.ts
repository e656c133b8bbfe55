/**
 * Searches random faults for two runs of one task at one time, for starts in evacuated data centres, and for runs of cancelled jobs.
 *
 *     npm run explore:leases -- --seed 1 --runs 1000 [--theme processes] [--break contact]
 *     npm run explore:leases -- --replay 17 [--theme processes] [--break contact]
 */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSeed, search, Theme } from './faults.ts'
import { ALL_GUARDS } from './world.ts'

const GUARD_NAMES = [...Object.keys(ALL_GUARDS.agent), ...Object.keys(ALL_GUARDS.fleet)]

const settings = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('runs', { type: 'number', default: 200, describe: 'seeds to try' })
  .option('theme', { choices: Object.values(Theme), default: Theme.Operators, describe: 'kinds of faults' })
  .option('break', { choices: GUARD_NAMES, describe: 'guard to switch off' })
  .option('replay', { type: 'number', describe: 'play this one seed and print what happens' })
  .strict()
  .parseSync()

if (settings.replay !== undefined) {
  const { violation, answers } = runSeed(settings.replay, settings.theme, settings.break, line => console.log(line))
  console.log(violation === undefined ? 'no violation' : `${violation.at.toFixed(1)} ms: ${violation.detail}`, Object.fromEntries(answers))
  process.exitCode = violation === undefined ? 0 : 1
} else {
  const found = search(settings.seed, settings.runs, settings.theme, settings.break)
  console.log(found === undefined ? `${settings.runs} seeds, no violation` : `seed ${found.seed}: ${found.violation.detail} at ${found.violation.at.toFixed(1)} ms`)
  process.exitCode = found === undefined ? 0 : 1
}
