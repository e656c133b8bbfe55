/**
 * Names of the platform's wire stand in platform/, deploy/ and the stand-ins alone: inside, the product has words of its
 * own. Lists every other place.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

/** Calls, headers and fields that mean nothing outside the platform's pages. */
const NAMES = [
  'kv-key', 'kv-range', 'kv-watch', 'kv-txn', 'kv-lease', 'kv-keep', 'run-start', 'run-stop', 'machine-move', 'machine-upkeep',
  'Instances.Heartbeat', 'Instances.Deregister', 'X-Fencing-Token', 'X-Expected-Instance', 'X-Lease-Holder', 'X-Instance-Id',
  'store_revision', 'target_latency_ms', 'slack_factor', 'max_attempts', 'fencing_token', 'deadline_ms', 'estimated_ms',
  'cold_remaining_ms', 'heartbeat_endpoint', 'rejects_overload', 'gang_scheduled', 'rack_local', 'required_label', 'data_rack',
  'max_per_server', 'best_effort', 'long_running', 'repeat_count', 'internal_ports', 'hold_max_ms', 'ready_addr'
]

const ALLOWED = [/^platform\//, /^deploy\//, /^packages\/standins\//, /\.test\.ts$/]

const files = execFileSync('git', ['ls-files', '*.ts'], { encoding: 'utf8' }).split('\n').filter(Boolean)
let found = 0
for (const file of files.filter(file => !ALLOWED.some(allowed => allowed.test(file)))) {
  const lines = readFileSync(file, 'utf8').split('\n')
  lines.forEach((line, index) => {
    for (const name of NAMES.filter(name => line.toLowerCase().includes(name.toLowerCase()))) {
      console.error(`${file}:${index + 1}: ${name} is a name of the platform; decode it in platform/`)
      found += 1
    }
  })
}
process.exitCode = found === 0 ? 0 : 1
