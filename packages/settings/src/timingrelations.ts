/** How the timings of one daemon must stand to each other. Each alone may be right and the whole useless. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { Fault } from './fault.ts'

/** One timing that others give a least value. */
interface Relation {
  timing: keyof Timings
  /** Least value in milliseconds, given all timings. */
  least: (timings: Timings) => number
  /** How the least value is made, for a person. */
  made: string
  /** What goes wrong below it. */
  otherwise: string
}

const SUSPECT_HEARTBEATS = 3
const CONTACT_HEARTBEATS = 2
const AGENT_LOST_HEARTBEATS = 3
/** An entry that has lost most others waits four suspect times before it removes one. */
const RETENTION_SUSPECTS = 4

const RELATIONS: readonly Relation[] = [
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

/** Faults of the timings as they will be in force, the defaults included. */
export function faultsOfTimings (given: Partial<Timings>): Fault[] {
  const timings = { ...DEFAULT_TIMINGS, ...given }
  return RELATIONS.flatMap(({ timing, least, made, otherwise }) => {
    const bound = least(timings)
    if (timings[timing] >= bound) return []
    const found = given[timing] === undefined ? `is ${timings[timing]} when absent and` : `is ${timings[timing]} and`
    return [{ path: `timings.${timing}`, reason: `${found} must be at least ${bound} (${made}), else ${otherwise}`, example: String(bound) }]
  })
}
