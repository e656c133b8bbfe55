/**
 * The log of decisions: one line of JSON on standard output for each. Its volume is bounded, and a
 * reader that does not read never holds the process up: what exceeds either is dropped and counted.
 * Routine lines, which are many under load, leave the lines that tell changes a budget and a part of the buffer.
 */
import type { Logger } from 'pino'
import { pino, stdTimeFunctions } from 'pino'
import { LineBudget } from './linebudget.ts'
import { LineClass, lineClassOf } from './lineclass.ts'
import { LineOutput } from './lineoutput.ts'

/** Routine lines in a second, and as many saved up: three for each of 80 jobs a second at one entry. A line costs 0.02 ms. */
const ROUTINE_LINES_PER_SECOND = 300

/** Lines that tell changes, in a second. */
const CHANGE_LINES_PER_SECOND = 150

/** Lines that tell changes, saved up: when a rack or the store is lost, there are some for each agent and task at once. */
const CHANGE_LINES_SAVED = 300

/** Characters that may wait for the reader. */
const BUFFER_CHARACTERS = 256 * 1024

/** Characters that may wait before routine lines are dropped. */
const ROUTINE_BUFFER_CHARACTERS = BUFFER_CHARACTERS / 2

/** How long a line may wait to be written together with others, in milliseconds. */
const FLUSH_MILLISECONDS = 500

const STANDARD_OUTPUT = 1

/** Lines dropped, by class. */
export type DroppedLines = Readonly<Record<LineClass, number>>

export interface DecisionLog {
  log: Logger
  /** Writes a decision if the budget of its class allows it. */
  decision: (what: string, fields: Record<string, unknown>) => void
  /** Lines dropped so far. */
  dropped: () => DroppedLines
  /** Writes out what waits. */
  flush: () => void
}

/** @param now clock in milliseconds that is never set back */
export function openDecisionLog (instance: string, role: string, now: () => number): DecisionLog {
  const dropped: Record<LineClass, number> = { [LineClass.Routine]: 0, [LineClass.Change]: 0 }
  const out = new LineOutput(STANDARD_OUTPUT, BUFFER_CHARACTERS, () => { dropped[LineClass.Change] += 1 })
  const log = pino({ base: { instance, role }, timestamp: stdTimeFunctions.isoTime }, out)
  const budgets: Readonly<Record<LineClass, LineBudget>> = {
    [LineClass.Routine]: new LineBudget(ROUTINE_LINES_PER_SECOND, ROUTINE_LINES_PER_SECOND, now()),
    [LineClass.Change]: new LineBudget(CHANGE_LINES_PER_SECOND, CHANGE_LINES_SAVED, now())
  }
  const limits: Readonly<Record<LineClass, number>> = { [LineClass.Routine]: ROUTINE_BUFFER_CHARACTERS, [LineClass.Change]: BUFFER_CHARACTERS }
  const warn = warningOf(log, dropped)
  const timer = setInterval(() => {
    warn()
    out.flush()
  }, FLUSH_MILLISECONDS)
  timer.unref()
  return {
    log,
    decision: (what, fields) => {
      const lineClass = lineClassOf(what, fields)
      if (out.waiting < limits[lineClass] && budgets[lineClass].take(now())) log.info(fields, what)
      else dropped[lineClass] += 1
    },
    dropped: () => dropped,
    flush: () => { out.flushSync() }
  }
}

/** Gives a function that tells how many lines were dropped since its last call, if any were. */
function warningOf (log: Logger, dropped: DroppedLines): () => void {
  let reported = { ...dropped }
  return () => {
    const routine = dropped.routine - reported.routine
    const change = dropped.change - reported.change
    reported = { ...dropped }
    if (routine + change > 0) log.warn({ dropped: routine + change, routine, change }, 'lines dropped')
  }
}
