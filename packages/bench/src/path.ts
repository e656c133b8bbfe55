/**
 * Measures the latency that the path through entry and agent adds to a direct call of a target:
 * `npm run path -- --json`. Runs real processes on the loopback interface. In every case, jobs and
 * direct calls run at the same time, so that both are subject to the same load of the machine.
 * `--entries 1,3`, `--tasks 1,10,100` and `--loads low,busy` select cases, `--seconds` sets the
 * duration of each, and `--node=OPTIONS` passes options to Node.js when it runs a daemon. With
 * `--json`, the last line is one JSON object.
 */
import { cpus } from 'node:os'
import { parseArgs } from 'node:util'

import type { PathCase, PathRow } from './pathcase.ts'
import { Load, measureCase, warmUp } from './pathcase.ts'
import { PathFleet } from './pathfleet.ts'

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    entries: { type: 'string', default: '1,3' },
    tasks: { type: 'string', default: '1,10,100' },
    loads: { type: 'string', default: `${Load.Low},${Load.Busy}` },
    seconds: { type: 'string', default: '6' },
    node: { type: 'string', default: '' }
  }
})

function parseNumbers (list: string): number[] {
  return list.split(',').map(Number)
}

function selectedCases (): PathCase[] {
  const loads = Object.values(Load).filter(load => values.loads.split(',').includes(load))
  return loads.flatMap(load => parseNumbers(values.tasks).map(tasks => ({ load, tasks, seconds: Number(values.seconds) })))
}

function printRow (row: PathRow): void {
  const { path, direct, added, processor } = row
  console.log(
    `${row.entries} entries, jobs of ${row.tasks}, ${row.load}, load average ${row.loadAverage.map(String).join(' to ')}: ` +
    `direct p50 ${direct.p50} p99 ${direct.p99} ms, path p50 ${path.p50} p99 ${path.p99} ms, added p50 ${added.p50} p99 ${added.p99} ms; ` +
    `${row.tasksPerSecond} tasks/s, processor ms per task: entries ${processor.entries} (net of idle ${processor.entriesNet}), ` +
    `agents ${processor.agents} (${processor.agentsNet}); per task ${row.messagesPerTask} messages, ${row.bytesPerTask} bytes`
  )
}

async function measureFleet (entries: number): Promise<PathRow[]> {
  const fleet = new PathFleet(entries, values.node === '' ? [] : values.node.split(' '))
  const rows: PathRow[] = []
  try {
    await fleet.start()
    await warmUp(fleet)
    for (const pathCase of selectedCases()) {
      const row = await measureCase(fleet, pathCase)
      printRow(row)
      rows.push(row)
    }
  } finally {
    await fleet.stop()
  }
  return rows
}

async function main (): Promise<void> {
  const rows: PathRow[] = []
  for (const entries of parseNumbers(values.entries)) rows.push(...await measureFleet(entries))
  const machine = { processors: cpus().length, model: cpus()[0]?.model, node: process.version }
  if (values.json) console.log(JSON.stringify({ machine, rows }))
}

await main()
process.exit(0)
