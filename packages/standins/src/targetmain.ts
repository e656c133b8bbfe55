/** Runs a target stand-in: `node dist/target.js --id t1 --port 6101 --slots 8`. */
import { parseArgs } from 'node:util'

import { TARGET_SLOTS } from './defaults.ts'
import { TargetStandIn } from './target.ts'

const { values } = parseArgs({
  options: {
    id: { type: 'string', default: 'target-1' },
    port: { type: 'string', default: '0' },
    slots: { type: 'string', default: String(TARGET_SLOTS) }
  }
})

const target = new TargetStandIn({
  id: values.id,
  port: Number(values.port),
  slots: Number(values.slots)
})

process.once('SIGTERM', () => { target.close() })
const listening = await target.listen()
console.log(JSON.stringify({ listening }))
