/**
 * Explores random fault sequences for violated invariants: concurrent runs of one task, starts in evacuated data centres,
 * runs of cancelled jobs, starts beyond a target's capacity or its drain time, and jobs that are answered as failed without
 * enough listed failures. Exits with 1 if a seed violates one.
 *
 *     npm run explore:leases -- --seed 1 --runs 1000 [--theme processes] [--break contact]
 *     npm run explore:leases -- --seed 1 --runs 200 --theme lateness --all [--only refuse]
 *     npm run explore:leases -- --replay 17 [--theme processes] [--break contact]
 */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { faultNames, findAll, runSeed, findFirst, Theme } from './faults.ts'
import type { Finding } from './faults.ts'
import { ALL_GUARDS } from './world.ts'

const GUARD_NAMES = [...Object.keys(ALL_GUARDS.agent), ...Object.keys(ALL_GUARDS.fleet)]

const settings = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('runs', { type: 'number', default: 200, describe: 'seeds to try' })
  .option('theme', { choices: Object.values(Theme), default: Theme.Operators, describe: 'set of faults to inject' })
  .option('broken', { alias: 'break', choices: GUARD_NAMES, describe: 'guard to disable' })
  .option('only', { type: 'string', describe: 'inject only this fault' })
  .option('all', { type: 'boolean', default: false, describe: 'continue after a violation and count all of them' })
  .option('replay', { type: 'number', describe: 'run only this seed and print its trace' })
  .check(({ only, theme }) => only === undefined || faultNames(theme as Theme).includes(only) || `faults of this theme: ${faultNames(theme as Theme).join(', ')}`)
  .strict()
  .parseSync()

const { seed: firstSeed, runs, theme, only, broken } = settings

if (settings.replay !== undefined) replay(settings.replay)
else if (settings.all) reportAll()
else {
  const finding = findFirst(firstSeed, runs, theme, { broken, only })
  console.log(finding === undefined ? `${runs} seeds, no violation` : describeFinding(finding))
  process.exitCode = finding === undefined ? 0 : 1
}

function replay (seed: number): void {
  const { violation, answers } = runSeed(seed, theme, { broken, only, trace: text => console.log(text) })
  console.log(violation === undefined ? 'no violation' : describeFinding({ seed, violation }), Object.fromEntries(answers))
  process.exitCode = violation === undefined ? 0 : 1
}

function reportAll (): void {
  const durations: number[] = []
  for (const finding of findAll(firstSeed, runs, theme, { broken, only })) {
    console.log(describeFinding(finding))
    durations.push(finding.violation.overlapDuration)
  }
  durations.sort((one, other) => one - other)
  const median = durations[Math.floor(durations.length / 2)] ?? 0
  console.log(`${durations.length} of ${runs} seeds violate an invariant, concurrent runs overlap for ${median.toFixed(0)} ms (median) to at most ${(durations.at(-1) ?? 0).toFixed(0)} ms`)
  process.exitCode = durations.length === 0 ? 0 : 1
}

function describeFinding ({ seed, violation: { detail, at, overlapDuration } }: Finding): string {
  return `seed ${seed}: ${detail} at ${at.toFixed(1)} ms, for ${overlapDuration.toFixed(0)} ms`
}
