/**
 * Entry point of the bench: `npm run bench -- --json`. Prints one table per section. With `--json`,
 * the last line is one JSON object with all figures; with `--report`, a page with plots is written to
 * report/index.html.
 */
import type { Row, SectionOptions } from './sectiontypes.ts'
import { processSections, sections } from './sections.ts'

interface BenchOptions extends SectionOptions {
  json: boolean
  report: boolean
  section: string | undefined
}

/** Parses the value of one option and stores it in the options. */
type OptionHandler = (options: BenchOptions, value: string) => void

const optionHandlers: Readonly<Record<string, OptionHandler>> = {
  '--seed': (options, value) => { options.seed = readNumber(value) },
  '--seconds': (options, value) => { options.seconds = readNumber(value) },
  '--section': (options, value) => { options.section = readSection(value) }
}

/** Thrown for an invalid command line. */
class UsageError extends Error {
  readonly code = 'USAGE'
}

function readNumber (value: string): number {
  const number = Number(value)
  if (Number.isInteger(number) && number > 0) return number
  throw new UsageError(`${value} is not a positive whole number`)
}

function readSection (value: string): string {
  if (sections[value] !== undefined) return value
  throw new UsageError(`no section ${value}: choose one of ${Object.keys(sections).join(', ')}`)
}

function readOptions (argv: readonly string[]): BenchOptions {
  const options: BenchOptions = { json: false, report: false, section: undefined, seed: 1, seconds: 300 }
  const args = [...argv]
  while (args.length > 0) {
    const option = args.shift() as string
    if (option === '--json' || option === '--report') {
      options[option === '--json' ? 'json' : 'report'] = true
      continue
    }
    const handler = optionHandlers[option]
    const value = args.shift()
    if (handler === undefined || value === undefined) {
      throw new UsageError(`cannot read ${option}: use --json, --report, --seed N, --seconds N, --section NAME`)
    }
    handler(options, value)
  }
  return options
}

function printTable (name: string, rows: readonly Row[]): void {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '')))]
  const widths = columns.map((_, column) => Math.max(...cells.map(line => (line[column] as string).length)))
  console.log(`\n${name}`)
  for (const line of cells) {
    console.log(line.map((cell, column) => cell.padEnd(widths[column] as number)).join('  ').trimEnd())
  }
}

function isSelected (name: string, { section, json }: BenchOptions): boolean {
  if (section !== undefined) return section === name
  return json || !processSections.has(name)
}

async function run (options: BenchOptions): Promise<void> {
  const results: Record<string, Row[]> = {}
  for (const [name, section] of Object.entries(sections)) {
    if (!isSelected(name, options)) continue
    const rows = await section(options)
    results[name] = rows
    printTable(name, rows)
  }
  if (options.report) await report(options, results)
  if (options.json) console.log(JSON.stringify({ seed: options.seed, seconds: options.seconds, sections: results }))
}

/** Writes the report page. The plotting libraries are loaded only when a report is requested. */
async function report (options: BenchOptions, results: Readonly<Record<string, Row[]>>): Promise<void> {
  const { writeReport } = await import('./reportpage.ts')
  const { measureTimelines } = await import('./timelines.ts')
  const file = await writeReport('report', { ...results, ...measureTimelines(options) })
  console.log(`\nreport: ${file}`)
}

try {
  await run(readOptions(process.argv.slice(2)))
} catch (error) {
  if (!(error instanceof UsageError)) throw error
  console.error(error.message)
  process.exitCode = 2
}
