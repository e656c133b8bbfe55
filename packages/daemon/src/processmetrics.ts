/** Metrics of the process itself, for both roles. */
import type { DroppedLines } from './decisionlog.ts'
import type { Exposition } from './exposition.ts'

export function exposeDroppedLines (exposition: Exposition, dropped: DroppedLines): void {
  exposition.counter('amaranthmast_log_lines_dropped_total', 'Log lines dropped: routine ones, and ones that tell changes', Object.entries(dropped).map(([name, value]) => ({ labels: { class: name }, value })))
}
