/**
 * Command-line program that compares policy variants on emulated days:
 *
 *     npm run experiment -- FILE.json [--seeds 50] [--variants a,b] [--json] [--report FOLDER]
 *     npm run experiment -- --schema
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { availableParallelism } from 'node:os'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { compare } from './comparison.ts'
import { experimentSchemaText, readExperiment } from './experiment.ts'
import { playAll } from './player.ts'
import { pageFor, tableOf } from './report.ts'

const EXIT_BAD_INPUT = 2

const { file, seeds, variants, json, report, threads, schema } = yargs(hideBin(process.argv))
  .command('$0 [file]', 'plays the variants of an experiment on the same days', command => command.positional('file', { type: 'string', describe: 'the experiment, as JSON' }))
  .option('seeds', { type: 'number', describe: 'days to play in place of those that the file states' })
  .option('variants', { type: 'string', describe: 'names of the variants to play, with commas; the first is what the others are compared with' })
  .option('json', { type: 'boolean', default: false, describe: 'print one object with all figures' })
  .option('report', { type: 'string', describe: 'folder for a page with plots' })
  .option('threads', { type: 'number', default: Math.max(1, Math.floor(availableParallelism() / 2)), describe: 'days played at one time' })
  .option('schema', { type: 'boolean', default: false, describe: 'print the JSON Schema of the file' })
  .strict()
  .parseSync()

if (schema) process.stdout.write(experimentSchemaText())
else process.exitCode = await run(file as string | undefined ?? '')

async function run (path: string): Promise<number> {
  const text = textOf(path)
  if (text === undefined) return EXIT_BAD_INPUT
  const read = readExperiment(text)
  if (read.isErr()) {
    process.stderr.write(`${path}: ${read.error.message}\n`)
    return EXIT_BAD_INPUT
  }
  const experiment = read.value
  const names = variants?.split(',') ?? Object.keys(experiment.variants)
  const unknown = names.find(name => experiment.variants[name] === undefined)
  if (unknown !== undefined) {
    process.stderr.write(`${path} has no variant ${unknown}: choose from ${Object.keys(experiment.variants).join(', ')}\n`)
    return EXIT_BAD_INPUT
  }
  const chosen = Object.fromEntries(names.map(name => [name, experiment.variants[name] ?? {}]))
  const played = await playAll({ ...experiment, variants: chosen, seeds: { ...experiment.seeds, count: seeds ?? experiment.seeds.count } }, threads)
  const summaries = compare(played, names)
  process.stdout.write(json ? `${JSON.stringify({ name: experiment.name, summaries, played })}\n` : `${experiment.name}, ${summaries[0]?.days} days\n${tableOf(summaries)}\n`)
  if (report === undefined) return 0
  mkdirSync(report, { recursive: true })
  writeFileSync(join(report, 'index.html'), await pageFor(experiment.name, summaries, played))
  return 0
}

function textOf (path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    process.stderr.write(`the experiment ${JSON.stringify(path)} cannot be read: ${(error as Error).message}\n`)
    return undefined
  }
}
