/** The demand reported by the other entries. */
import type { QueueDemand, PeerMessage } from './peermessages.ts'
import { MAX_QUEUES_PER_REPORT, MAX_DEMAND_CORES, DEMAND_EXPIRY_MILLISECONDS, MAX_DEMAND_NAME_LENGTH } from './admissiondefaults.ts'

type DemandMessage = Extract<PeerMessage, { type: 'demand' }>

interface Report {
  at: number
  dataCentre: string
  kinds: readonly QueueDemand[]
}

/**
 * Soft state: the latest report of each entry while it is fresh. Malformed reports are reduced to valid values: a
 * bounded number of queues, each with finite figures of at least 0.
 */
export class DemandView {
  readonly #reports = new Map<string, Report>()

  receive (peer: string, { dataCentre, kinds }: DemandMessage, now: number): void {
    const valid = Array.isArray(kinds) ? kinds.slice(0, MAX_QUEUES_PER_REPORT).filter(isQueueDemand).map(bounded) : []
    this.#reports.set(peer, { at: now, dataCentre: nameOf(dataCentre), kinds: valid })
  }

  remove (peer: string): void {
    this.#reports.delete(peer)
  }

  /** Fresh reports, with the data centre of the entry that sent them. */
  fresh (now: number): Array<QueueDemand & { dataCentre: string }> {
    for (const [peer, { at }] of this.#reports) if (now - at > DEMAND_EXPIRY_MILLISECONDS) this.#reports.delete(peer)
    return [...this.#reports.values()].flatMap(({ dataCentre, kinds }) => kinds.map(kind => ({ ...kind, dataCentre })))
  }
}

function isQueueDemand (value: unknown): value is QueueDemand {
  if (typeof value !== 'object' || value === null) return false
  const { name, service } = value as Partial<Record<keyof QueueDemand, unknown>>
  return isName(name) && isName(service)
}

function bounded ({ name, service, priority, offered, running, waiting }: QueueDemand): QueueDemand {
  return { name, service, priority: Math.floor(amountOf(priority)), offered: amountOf(offered), running: amountOf(running), waiting: amountOf(waiting) }
}

function amountOf (value: unknown): number {
  return typeof value === 'number' && value > 0 ? Math.min(value, MAX_DEMAND_CORES) : 0
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_DEMAND_NAME_LENGTH
}

function nameOf (value: unknown): string {
  return isName(value) ? value : ''
}
