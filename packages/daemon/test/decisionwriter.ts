/**
 * Program that writes decisions to its standard output, for the tests of the decision log. Its argument is a list of
 * steps. It prints `written` on standard error before it flushes the buffered lines.
 */
import { openDecisionLog } from '../src/decisionlog.ts'

/** Time for asynchronous writes to finish, in milliseconds: the synchronous flush at the end would otherwise interleave with them. */
const WRITING_MILLISECONDS = 200

export interface Step {
  what?: string
  fields?: Record<string, unknown>
  count?: number
  /** Milliseconds by which the clock is advanced before the step. */
  clock?: number
  /** Milliseconds to wait for before the step. */
  pause?: number
}

const steps = JSON.parse(process.argv[2] ?? '[]') as Step[]
let time = 0
const decisions = openDecisionLog('one#1', 'agent', () => time)
for (const { what, fields = {}, count = 1, clock = 0, pause = 0 } of steps) {
  if (pause > 0) await new Promise(resolve => setTimeout(resolve, pause))
  time += clock
  if (what === undefined) continue
  for (let line = 0; line < count; line += 1) decisions.decision(what, fields)
}
process.stderr.write('written')
await new Promise(resolve => setTimeout(resolve, WRITING_MILLISECONDS))
decisions.flush()
