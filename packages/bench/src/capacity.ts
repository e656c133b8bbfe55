/**
 * Measures the resource usage of the daemons as a function of its causes, on fleets of real processes
 * on the loopback interface: `npm run capacity -- --json`. `--only idle,load` selects series,
 * `--node=OPTIONS` passes options to Node.js when it runs a daemon. With `--json`, the last line is
 * one JSON object.
 */
import { cpus } from 'node:os'
import { parseArgs } from 'node:util'

import type { Run, ToolRun } from './capacityseries.ts'
import { configurationSeries, idleSeries, loadSeries, retentionSeries, toolSeries } from './capacityseries.ts'
import type { Fit } from './capacityslopes.ts'
import { fit } from './capacityslopes.ts'

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    only: { type: 'string', default: 'idle,load,configuration,retention,tool' },
    node: { type: 'string', default: '' }
  }
})

/** A linear fit of one figure over the runs of one series. */
interface FittedFigure extends Fit {
  series: string
  figure: string
  causes: string[]
}

type Figure = (run: Run) => number
type Cause = (run: Run) => number

const FIGURES: Record<string, Figure> = {
  'entry processor ms/s': run => run.entry.processorMilliseconds,
  'entry resident MiB': run => run.entry.residentMebibytes,
  'entry anonymous MiB': run => run.entry.anonymousMebibytes,
  'entry messages/s': run => run.entry.messages,
  'entry bytes/s': run => run.entry.bytesRead + run.entry.bytesWritten,
  'agent processor ms/s': run => run.agent.processorMilliseconds,
  'agent resident MiB': run => run.agent.residentMebibytes,
  'agent anonymous MiB': run => run.agent.anonymousMebibytes,
  'agent messages/s': run => run.agent.messages,
  'inner bytes/s of an entry': run => run.innerBytesPerEntry,
  'store reads/s': run => run.storeCallsPerSecond.reads ?? 0,
  'store watches': run => run.watchesOpen
}

/** Causes by series. Jobs and tasks are counted per entry. */
const CAUSES: Record<string, Record<string, Cause>> = {
  idle: { agents: run => run.agents, entries: run => run.entries },
  load: { 'jobs/s of an entry': run => run.jobsPerSecond / run.entries, 'tasks/s of an entry': run => run.tasksPerSecond / run.entries },
  configuration: { tenants: run => run.tenants, 'tenants x changes/s': run => run.tenants * run.changesPerSecond, 'changes/s': run => run.changesPerSecond },
  retention: { 'jobs held': run => run.jobsHeld }
}

const SERIES: Record<string, typeof idleSeries> = {
  idle: idleSeries,
  load: loadSeries,
  configuration: configurationSeries,
  retention: retentionSeries
}

function fitFigures (series: string, runs: readonly Run[]): FittedFigure[] {
  const causes = CAUSES[series] ?? {}
  return Object.entries(FIGURES).map(([figure, value]) => ({
    series,
    figure,
    causes: Object.keys(causes),
    ...fit(runs.map(run => ({ causes: Object.values(causes).map(cause => cause(run)), effect: value(run) })))
  }))
}

function printFit ({ series, figure, causes, constant, slopes, explained }: FittedFigure): void {
  const terms = causes.map((cause, index) => `${slopes[index]?.toPrecision(3)} x ${cause}`).join(' + ')
  console.log(`${series}: ${figure} = ${constant.toPrecision(3)} + ${terms} (explained ${explained.toFixed(2)})`)
}

async function main (): Promise<void> {
  const selected = new Set(values.only.split(','))
  const options = values.node === '' ? {} : { nodeArguments: values.node.split(' ') }
  const runs: Run[] = []
  const slopes: FittedFigure[] = []
  for (const [series, measure] of Object.entries(SERIES)) {
    if (!selected.has(series)) continue
    const seriesRuns = await measure(options, console.log)
    runs.push(...seriesRuns)
    slopes.push(...fitFigures(series, seriesRuns))
  }
  const tool: ToolRun[] = selected.has('tool') ? await toolSeries(options, console.log) : []
  slopes.forEach(printFit)
  const machine = { processors: cpus().length, model: cpus()[0]?.model, node: process.version, nodeArguments: options.nodeArguments ?? [] }
  if (values.json) console.log(JSON.stringify({ machine, runs, slopes, tool }))
}

await main()
process.exit(0)
