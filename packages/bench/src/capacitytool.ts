/** Resource usage of one run of the command line tool. */
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { ProcessGroup } from '@amaranthmast/standins/processes'

import { readUsage } from './capacityusage.ts'

/** Resource usage of one run, up to the last sample before it ended. */
export interface ToolUsage {
  peakResidentMebibytes: number
  processorMilliseconds: number
  wallMilliseconds: number
  exitCode: number | null
}

const SAMPLE_INTERVAL = 10
const KIBIBYTES_PER_MEBIBYTE = 1024

/** Runs the tool until it ends and samples its usage meanwhile. */
export async function measureTool (toolArguments: readonly string[]): Promise<ToolUsage> {
  const group = new ProcessGroup()
  const startedAt = performance.now()
  const tool = group.start({
    name: 'amaranthmast',
    script: join(dirname(fileURLToPath(import.meta.url)), 'amaranthmast.js'),
    arguments: toolArguments
  })
  const usage: ToolUsage = { peakResidentMebibytes: 0, processorMilliseconds: 0, wallMilliseconds: 0, exitCode: null }
  while (tool.isRunning) {
    sampleUsage(tool.pid, usage)
    await delay(SAMPLE_INTERVAL)
  }
  await tool.ended
  await group.stop()
  return { ...usage, wallMilliseconds: performance.now() - startedAt, exitCode: tool.exitCode }
}

function sampleUsage (pid: number, usage: ToolUsage): void {
  try {
    const peak = Number(/^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0)
    usage.peakResidentMebibytes = Math.max(usage.peakResidentMebibytes, peak / KIBIBYTES_PER_MEBIBYTE)
    usage.processorMilliseconds = Math.max(usage.processorMilliseconds, readUsage(pid).processorMilliseconds)
  } catch {
    // The process ended since the last sample, which remains valid.
  }
}
