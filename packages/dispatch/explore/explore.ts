/**
 * Searches random faults for two runs of one task at one time, for starts in evacuated data centres, and for runs of cancelled jobs.
 *
 *     npm run explore:leases -- --seed 1 --runs 1000 [--theme processes] [--break contact]
 *     npm run explore:leases -- --seed 1 --runs 200 --theme lateness --all [--only refuse]
 *     npm run explore:leases -- --replay 17 [--theme processes] [--break contact]
 */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { faultNames, findings, runSeed, search, Theme } from './faults.ts'
import type { Finding } from './faults.ts'
import { ALL_GUARDS } from './world.ts'

const GUARD_NAMES = [...Object.keys(ALL_GUARDS.agent), ...Object.keys(ALL_GUARDS.fleet)]

const settings = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('runs', { type: 'number', default: 200, describe: 'seeds to try' })
  .option('theme', { choices: Object.values(Theme), default: Theme.Operators, describe: 'kinds of faults' })
  .option('broken', { alias: 'break', choices: GUARD_NAMES, describe: 'guard to switch off' })
  .option('only', { type: 'string', describe: 'only kind of fault' })
  .option('all', { type: 'boolean', default: false, describe: 'go on after a violation, and count them' })
  .option('replay', { type: 'number', describe: 'play this one seed and print what happens' })
  .check(({ only, theme }) => only === undefined || faultNames(theme as Theme).includes(only) || `faults of this theme: ${faultNames(theme as Theme).join(', ')}`)
  .strict()
  .parseSync()

const { seed: first, runs, theme, only, broken } = settings

if (settings.replay !== undefined) replay(settings.replay)
else if (settings.all) countAll()
else {
  const found = search(first, runs, theme, { broken, only })
  console.log(found === undefined ? `${runs} seeds, no violation` : line(found))
  process.exitCode = found === undefined ? 0 : 1
}

function replay (seed: number): void {
  const { violation, answers } = runSeed(seed, theme, { broken, only, trace: text => console.log(text) })
  console.log(violation === undefined ? 'no violation' : line({ seed, violation }), Object.fromEntries(answers))
  process.exitCode = violation === undefined ? 0 : 1
}

function countAll (): void {
  const lasts: number[] = []
  for (const found of findings(first, runs, theme, { broken, only })) {
    console.log(line(found))
    lasts.push(found.violation.lasts)
  }
  lasts.sort((one, other) => one - other)
  const middle = lasts[Math.floor(lasts.length / 2)] ?? 0
  console.log(`${lasts.length} of ${runs} seeds break a promise, two runs beside each other for ${middle.toFixed(0)} ms (middle) to ${(lasts.at(-1) ?? 0).toFixed(0)} ms`)
  process.exitCode = lasts.length === 0 ? 0 : 1
}

function line ({ seed, violation: { detail, at, lasts } }: Finding): string {
  return `seed ${seed}: ${detail} at ${at.toFixed(1)} ms, for ${lasts.toFixed(0)} ms`
}
