/**
 * The decision log: one line of JSON on standard output for each decision. Its volume is bounded, and a
 * reader that stops reading never blocks the process: lines that exceed the rate or the buffer are dropped and counted.
 * Lines that report changes have their own budget and a reserved part of the buffer, so that the many routine lines under load cannot displace them.
 */
import type { Logger } from 'pino'
import { pino, stdTimeFunctions } from 'pino'
import { LineBudget } from './linebudget.ts'
import { LineClass, lineClassOf } from './lineclass.ts'
import { LineOutput } from './lineoutput.ts'

/** Routine lines per second, and their maximum burst: three for each of 80 jobs a second at one entry. A line costs 0.02 ms. */
const ROUTINE_LINES_PER_SECOND = 300

/** Lines that report changes, per second. */
const CHANGE_LINES_PER_SECOND = 150

/** Maximum burst of lines that report changes: the loss of a rack or of the store causes several for each agent and task at once. */
const MAX_CHANGE_LINE_BURST = 300

/** Lines of each budget that are reserved for the warnings about dropped lines: without them, no warning is written as long as an overload lasts. */
const RESERVED_LINES: Readonly<Record<LineClass, number>> = { [LineClass.Routine]: 0, [LineClass.Change]: 2 }

/** Number of the reserved lines that are left for the warning at the end, which has no later one to wait for. */
const RESERVED_FOR_END = 1

/** Maximum number of characters buffered for the reader. */
const BUFFER_CHARACTERS = 256 * 1024

/** Number of buffered characters above which routine lines are dropped. */
const ROUTINE_BUFFER_CHARACTERS = BUFFER_CHARACTERS / 2

/** How long a line may be buffered to be written together with others, in milliseconds. */
const FLUSH_MILLISECONDS = 500

const STANDARD_OUTPUT = 1

/** Number of dropped lines by class. */
export type DroppedLines = Readonly<Record<LineClass, number>>

export interface DecisionLog {
  log: Logger
  /** Writes a decision if the budget of its class allows it. */
  decision: (what: string, fields: Record<string, unknown>) => void
  /** Returns the number of lines dropped so far. */
  dropped: () => DroppedLines
  /** Writes all buffered lines, and the number of lines dropped since the last warning. To be called at the end. */
  flush: () => void
}

/** @param now monotonic clock in milliseconds */
export function openDecisionLog (instance: string, role: string, now: () => number): DecisionLog {
  const dropped: Record<LineClass, number> = { [LineClass.Routine]: 0, [LineClass.Change]: 0 }
  const out = new LineOutput(STANDARD_OUTPUT, BUFFER_CHARACTERS, () => { dropped[LineClass.Change] += 1 })
  const log = pino({ base: { instance, role }, timestamp: stdTimeFunctions.isoTime }, out)
  const budgets: Readonly<Record<LineClass, LineBudget>> = {
    [LineClass.Routine]: new LineBudget(ROUTINE_LINES_PER_SECOND, ROUTINE_LINES_PER_SECOND, now()),
    [LineClass.Change]: new LineBudget(CHANGE_LINES_PER_SECOND, MAX_CHANGE_LINE_BURST, now())
  }
  const limits: Readonly<Record<LineClass, number>> = { [LineClass.Routine]: ROUTINE_BUFFER_CHARACTERS, [LineClass.Change]: BUFFER_CHARACTERS }
  const warn = dropReporter(log, dropped, reserved => budgets[LineClass.Change].take(now(), reserved))
  const timer = setInterval(() => {
    warn(RESERVED_FOR_END)
    out.flush()
  }, FLUSH_MILLISECONDS)
  timer.unref()
  return {
    log,
    decision: (what, fields) => {
      const lineClass = lineClassOf(what, fields)
      if (out.waiting < limits[lineClass] && budgets[lineClass].take(now(), RESERVED_LINES[lineClass])) log.info(fields, what)
      else dropped[lineClass] += 1
    },
    dropped: () => dropped,
    flush: () => {
      out.flushSync()
      warn(0)
      out.flushSync()
    }
  }
}

/**
 * Returns a function that logs how many lines were dropped since they were last logged, if any. Numbers that could not be
 * logged, because the budget or the buffer is used up, are logged by a later call.
 *
 * @param allowed whether the budget allows a line now that leaves the reserved ones
 */
function dropReporter (log: Logger, dropped: Record<LineClass, number>, allowed: (reserved: number) => boolean): (reserved: number) => void {
  let reported = { ...dropped }
  return reserved => {
    const routine = dropped.routine - reported.routine
    const change = dropped.change - reported.change
    if (routine + change === 0 || !allowed(reserved)) return
    const before = { ...dropped }
    log.warn({ dropped: routine + change, routine, change }, 'lines dropped')
    // The output counts the warning itself as dropped when the buffer has no room for it.
    if (dropped.change > before.change) dropped.change = before.change
    else reported = before
  }
}
