/**
 * Command line of the soak test. Prints the results of each seed and writes the trace of a failed one to `report/`.
 * Exits with 1 if a seed has findings.
 *
 *     npm run soak -- --seed 1 --minutes 2          successive seeds from 1 for two minutes
 *     npm run soak -- --seed 17 --seeds 1 --kinds killEntry,freezeAgent
 *     npm run soak -- --seed 50 --minutes 2 --configurations   with large configurations, and lost connections between single entries and the store
 *     npm run soak -- --seed 70 --minutes 2 --refusals         with workers that refuse connections while they run, and stalled processes
 *     npm run soak -- --seed 80 --seeds 3 --refusals --entries 8 --agents 40 --busy 16 --every 100   the same with a large fleet on a busy machine
 *     npm run soak -- --seed 30 --minutes 2 --long   with tasks that run longer than their callers wait before they resubmit
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { soak } from './soak.ts'

const MILLISECONDS_PER_MINUTE = 60_000

const settings = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', describe: 'seeds to play; else as many as fit into the minutes' })
  .option('minutes', { type: 'number', default: 1, describe: 'how long to go on' })
  .option('faults', { type: 'number', default: 10_000, describe: 'how long faults strike in one seed, in milliseconds' })
  .option('every', { type: 'number', default: 450, describe: 'mean time between two faults, in milliseconds' })
  .option('kinds', { type: 'string', describe: 'kinds of faults, separated by commas' })
  .option('long', { type: 'boolean', default: false, describe: 'every eighth job has tasks that outlast the pause of its caller' })
  .option('operators', { type: 'boolean', default: true, describe: 'evacuations, and workers that start again under their id, among the faults' })
  .option('configurations', { type: 'boolean', default: false, describe: 'large and frequent configurations, and stores that single entries do not hear, among the faults' })
  .option('refusals', { type: 'boolean', default: false, describe: 'workers that refuse connections while they live, answer slowly or ignore stops, and late processes among the faults' })
  .option('leaves', { type: 'boolean', describe: 'callers leave early and come back at another entry; without it as with --refusals' })
  .option('entries', { type: 'number', default: 3, describe: 'entries of the fleet' })
  .option('agents', { type: 'number', default: 4, describe: 'agents of the fleet, each with a worker' })
  .option('busy', { type: 'number', default: 0, describe: 'processes beside the fleet that only compute' })
  .option('program', { type: 'string', default: 'dist/amaranthmast-fleet.js', describe: 'the built program' })
  .strict()
  .parseSync()

const end = performance.now() + settings.minutes * MILLISECONDS_PER_MINUTE
const { kinds, leaves = settings.refusals, ...options } = settings
let failedSeeds = 0
let completedSeeds = 0
for (let seed = settings.seed; settings.seeds === undefined ? performance.now() < end : completedSeeds < settings.seeds; seed += 1) {
  const result = await soak({ ...options, seed, leaves, ...(kinds === undefined ? {} : { kinds: kinds.split(',') }) })
  completedSeeds += 1
  console.log(`seed ${seed}: ${JSON.stringify(result.jobs)}, ${result.struck.length} faults, itself ${result.late} ms late at most, ${result.findings.length} findings`)
  for (const finding of result.findings) console.log(`  ${finding}`)
  if (result.findings.length === 0) continue
  failedSeeds += 1
  mkdirSync('report', { recursive: true })
  writeFileSync(`report/soak-${seed}.json`, JSON.stringify(result, undefined, 2))
  console.log(`  trace and logs: report/soak-${seed}.json`)
}
console.log(`${completedSeeds} seeds, ${failedSeeds} with findings`)
process.exitCode = failedSeeds === 0 ? 0 : 1
