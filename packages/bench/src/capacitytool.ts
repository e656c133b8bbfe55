/** What one run of the tool uses. */
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { ProcessGroup } from '@amaranthmast/standins/processes'

import { readUsage } from './capacityusage.ts'

/** Use of one run of the tool, up to the last look before it ended. */
export interface ToolUse {
  peakResidentMebibytes: number
  processorMilliseconds: number
  wallMilliseconds: number
  exitCode: number | null
}

const LOOK_INTERVAL = 10
const KIBIBYTES_PER_MEBIBYTE = 1024

/** Runs the tool to its end and looks at it on the way. */
export async function measureTool (toolArguments: readonly string[]): Promise<ToolUse> {
  const group = new ProcessGroup()
  const startedAt = performance.now()
  const tool = group.start({
    name: 'amaranthmast',
    script: join(dirname(fileURLToPath(import.meta.url)), 'amaranthmast.js'),
    arguments: toolArguments
  })
  const use: ToolUse = { peakResidentMebibytes: 0, processorMilliseconds: 0, wallMilliseconds: 0, exitCode: null }
  while (tool.isRunning) {
    look(tool.pid, use)
    await delay(LOOK_INTERVAL)
  }
  await tool.ended
  await group.stop()
  return { ...use, wallMilliseconds: performance.now() - startedAt, exitCode: tool.exitCode }
}

function look (pid: number, use: ToolUse): void {
  try {
    const peak = Number(/^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0)
    use.peakResidentMebibytes = Math.max(use.peakResidentMebibytes, peak / KIBIBYTES_PER_MEBIBYTE)
    use.processorMilliseconds = Math.max(use.processorMilliseconds, readUsage(pid).processorMilliseconds)
  } catch {
    // It ended between two looks: the last one stands.
  }
}
