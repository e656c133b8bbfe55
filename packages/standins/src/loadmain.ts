/**
 * Load generator: `node dist/load.js --entries URL,URL --rate 50 --seconds 10 --seed 1`. Prints a
 * JSON summary. With `--targets URL,URL` it also audits the run from the records of the targets.
 */
import { parseArgs } from 'node:util'

import { audit, isClean } from './audit.ts'
import { Caller } from './caller.ts'
import { TARGET_SLOTS } from './defaults.ts'
import { fetchSettledRecords } from './fetchrecords.ts'
import { planLoad, runLoad } from './load.ts'
import { summarise } from './loadsummary.ts'

const { values } = parseArgs({
  options: {
    entries: { type: 'string' },
    targets: { type: 'string', default: '' },
    rate: { type: 'string', default: '20' },
    seconds: { type: 'string', default: '10' },
    seed: { type: 'string', default: '1' },
    scale: { type: 'string', default: '1' },
    slots: { type: 'string', default: String(6 * TARGET_SLOTS) },
    prefix: { type: 'string' }
  }
})

if (values.entries === undefined) {
  console.error('--entries is missing: give the base URLs of the entries, as in --entries http://127.0.0.1:8101,http://127.0.0.1:8102')
  process.exit(2)
}

const load = { seed: Number(values.seed), rate: Number(values.rate), seconds: Number(values.seconds), scale: Number(values.scale) }
const prefix = values.prefix ?? `load-${values.seed}-${Date.now()}`
const caller = new Caller({ entries: values.entries.split(',') })
await caller.start()
await runLoad(planLoad({ ...load, prefix }), caller)
await caller.close()

const targets = values.targets === '' ? [] : values.targets.split(',')
const report = targets.length === 0 ? undefined : audit(caller.records(), await fetchSettledRecords(targets))
console.log(JSON.stringify({ ...load, ...summarise(caller.records(), Number(values.slots)), audit: report?.counts }))
if (report !== undefined && !isClean(report)) process.exitCode = 1
