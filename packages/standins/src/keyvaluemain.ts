/**
 * Runs the key-value stand-in as a process. It prints one JSON line with its ports when it is ready,
 * and stops on SIGTERM or SIGINT.
 */
import { parseArgs } from 'node:util'
import { KeyValueStandIn } from './keyvalue.ts'

const { values } = parseArgs({
  options: {
    /** Port for calls; 0 lets the system pick one. */
    port: { type: 'string', default: '2379' },
    host: { type: 'string', default: '127.0.0.1' },
    /** Port for faults and counts only, which stays open while the port for calls is closed. */
    'control-port': { type: 'string', default: '0' }
  }
})

const standIn = new KeyValueStandIn()
const listening = await standIn.start(Number(values.port), values.host)
const control = await standIn.startControl(Number(values['control-port']))
process.stdout.write(`${JSON.stringify({ listening, control })}\n`)

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    standIn.stop().then(() => process.exit(0), () => process.exit(1))
  })
}
