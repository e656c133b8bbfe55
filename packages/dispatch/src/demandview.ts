/** What the other entries have told of the demand that they see. */
import type { QueueDemand, PeerMessage } from './peermessages.ts'
import { DEMAND_KINDS_TOLD, DEMAND_LIMIT_CORES, DEMAND_MEMORY_MILLISECONDS, DEMAND_NAME_LIMIT } from './admissiondefaults.ts'

type DemandMessage = Extract<PeerMessage, { type: 'demand' }>

interface Told {
  at: number
  dataCentre: string
  kinds: readonly QueueDemand[]
}

/**
 * Soft state: the newest word of each entry, for as long as it is fresh. A word that makes no sense is cut down to what
 * may be: a bounded number of kinds, and of each a finite amount of at least 0.
 */
export class DemandView {
  readonly #told = new Map<string, Told>()

  heard (peer: string, { dataCentre, kinds }: DemandMessage, now: number): void {
    const sound = Array.isArray(kinds) ? kinds.slice(0, DEMAND_KINDS_TOLD).filter(isKind).map(bounded) : []
    this.#told.set(peer, { at: now, dataCentre: nameOf(dataCentre), kinds: sound })
  }

  forget (peer: string): void {
    this.#told.delete(peer)
  }

  /** What was told lately, with the data centre of the entry that told it. */
  fresh (now: number): Array<QueueDemand & { dataCentre: string }> {
    for (const [peer, { at }] of this.#told) if (now - at > DEMAND_MEMORY_MILLISECONDS) this.#told.delete(peer)
    return [...this.#told.values()].flatMap(({ dataCentre, kinds }) => kinds.map(kind => ({ ...kind, dataCentre })))
  }
}

function isKind (kind: unknown): kind is QueueDemand {
  if (typeof kind !== 'object' || kind === null) return false
  const { name, service } = kind as Partial<Record<keyof QueueDemand, unknown>>
  return isName(name) && isName(service)
}

function bounded ({ name, service, priority, offered, running, waiting }: QueueDemand): QueueDemand {
  return { name, service, priority: Math.floor(amountOf(priority)), offered: amountOf(offered), running: amountOf(running), waiting: amountOf(waiting) }
}

function amountOf (value: unknown): number {
  return typeof value === 'number' && value > 0 ? Math.min(value, DEMAND_LIMIT_CORES) : 0
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length <= DEMAND_NAME_LIMIT
}

function nameOf (value: unknown): string {
  return isName(value) ? value : ''
}
