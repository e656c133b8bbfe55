/** Constraints between the timings of one daemon. Timings that are valid on their own can be unusable in combination. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { Fault } from './fault.ts'

/** Minimum value of a timing that depends on other timings. */
interface TimingConstraint {
  timing: keyof Timings
  /** Computes the minimum value in milliseconds from all timings. */
  least: (timings: Timings) => number
  /** Formula of the minimum, for error messages. */
  made: string
  /** Consequence of a smaller value, for error messages. */
  otherwise: string
}

const SUSPECT_HEARTBEATS = 3
const CONTACT_HEARTBEATS = 2
const AGENT_LOST_HEARTBEATS = 3
/** An entry that has lost contact with most others waits four `suspect` times before it removes one. */
const RETENTION_SUSPECTS = 4

const TIMING_CONSTRAINTS: readonly TimingConstraint[] = [
  {
    timing: 'suspect',
    least: ({ heartbeat }) => SUSPECT_HEARTBEATS * heartbeat,
    made: `${SUSPECT_HEARTBEATS} times heartbeat`,
    otherwise: 'one heartbeat that is late has a live entry removed'
  },
  {
    timing: 'contact',
    least: ({ viewRead, heartbeat }) => viewRead + CONTACT_HEARTBEATS * heartbeat,
    made: `viewRead and ${CONTACT_HEARTBEATS} times heartbeat`,
    otherwise: 'agents take themselves for cut off between two confirmations of the view, and refuse work'
  },
  {
    timing: 'agentLost',
    least: ({ heartbeat }) => AGENT_LOST_HEARTBEATS * heartbeat,
    made: `${AGENT_LOST_HEARTBEATS} times heartbeat`,
    otherwise: 'an agent whose connection is reset is given up before it is back, and its tasks are answered "may have run"'
  },
  {
    timing: 'retention',
    least: ({ suspect, contact, agentLost }) => RETENTION_SUSPECTS * suspect + contact + agentLost,
    made: `${RETENTION_SUSPECTS} times suspect, contact and agentLost`,
    otherwise: 'what a lost entry ran is forgotten before another has taken its jobs over'
  },
  {
    timing: 'retention',
    least: ({ clockMargin }) => clockMargin + 1,
    made: 'more than clockMargin',
    otherwise: 'a job that was lodged just now may count as forgotten'
  }
]

/** Checks the effective timings, including defaults, against all constraints. */
export function findTimingFaults (overrides: Partial<Timings>): Fault[] {
  const timings = { ...DEFAULT_TIMINGS, ...overrides }
  return TIMING_CONSTRAINTS.flatMap(({ timing, least, made, otherwise }) => {
    const minimum = least(timings)
    if (timings[timing] >= minimum) return []
    const actual = overrides[timing] === undefined ? `is ${timings[timing]} when absent and` : `is ${timings[timing]} and`
    return [{ path: `timings.${timing}`, reason: `${actual} must be at least ${minimum} (${made}), else ${otherwise}`, example: String(minimum) }]
  })
}
