/**
 * The log of decisions: one line of JSON on standard output for each. Its volume is bounded, and a
 * reader that does not read never holds the process up: what exceeds either is dropped and counted.
 */
import type { Logger } from 'pino'
import { destination, pino, stdTimeFunctions } from 'pino'

/** Lines in a second, and as many saved up: three for each of 80 jobs a second at one entry. A line costs 0.02 ms. */
const LINES_PER_SECOND = 300

/** Bytes that may wait for the reader. */
const BUFFER_BYTES = 256 * 1024

/** How long a line may wait to be written together with others, in milliseconds. */
const FLUSH_MILLISECONDS = 500

const STANDARD_OUTPUT = 1
const MILLISECONDS_PER_SECOND = 1000

export interface DecisionLog {
  log: Logger
  /** Writes a decision if the budget allows it. */
  decision: (what: string, fields: Record<string, unknown>) => void
  /** Lines dropped so far. */
  dropped: () => number
  /** Writes out what waits. */
  flush: () => void
}

/** @param now clock in milliseconds that is never set back */
export function openDecisionLog (instance: string, role: string, now: () => number): DecisionLog {
  const out = destination({ dest: STANDARD_OUTPUT, sync: false, minLength: 4096, maxLength: BUFFER_BYTES })
  const log = pino({ base: { instance, role }, timestamp: stdTimeFunctions.isoTime }, out)
  let dropped = 0
  let reported = 0
  let allowance = LINES_PER_SECOND
  let refilled = now()
  out.on('drop', () => { dropped += 1 })
  const timer = setInterval(() => {
    if (dropped > reported) log.warn({ dropped: dropped - reported }, 'lines dropped')
    reported = dropped
    out.flush()
  }, FLUSH_MILLISECONDS)
  timer.unref()
  return {
    log,
    decision: (what, fields) => {
      const at = now()
      allowance = Math.min(LINES_PER_SECOND, allowance + (at - refilled) * LINES_PER_SECOND / MILLISECONDS_PER_SECOND)
      refilled = at
      if (allowance < 1) {
        dropped += 1
        return
      }
      allowance -= 1
      log.info(fields, what)
    },
    dropped: () => dropped,
    flush: () => { out.flushSync() }
  }
}
