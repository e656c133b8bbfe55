/** Sends the demand of this entry's callers to the other entries. */
import type { EntryEffect } from './entrytypes.ts'
import type { Returns } from './returns.ts'
import type { QueueDemand } from './peermessages.ts'
import { DEMAND_CHANGE_FRACTION, DEMAND_INTERVAL_MILLISECONDS, MAX_QUEUES_PER_REPORT, DEMAND_REPEAT_MILLISECONDS } from './admissiondefaults.ts'

const FIGURES = ['offered', 'running', 'waiting'] as const

/** Reported figures are rounded to hundredths of a core. */
const HUNDREDTHS = 100

export class DemandReports {
  readonly #dataCentre: string
  readonly #emit: (effect: EntryEffect) => void
  readonly #peers = new Set<string>()
  #lastSent: readonly QueueDemand[] = []
  #sentAt = Number.NEGATIVE_INFINITY

  constructor (dataCentre: string, emit: (effect: EntryEffect) => void) {
    this.#dataCentre = dataCentre
    this.#emit = emit
  }

  add (peer: string): void {
    this.#peers.add(peer)
    this.#lastSent = []
  }

  remove (peer: string): void {
    this.#peers.delete(peer)
  }

  /**
   * Sends a report to all entries, unless one was sent within the minimum interval, or within the repeat interval while
   * no figure has changed and no returns are pending.
   */
  tick (demands: readonly QueueDemand[], returns: Pick<Returns, 'newsSize' | 'takeNews'> | undefined, now: number): void {
    const since = now - this.#sentAt
    if (demands.length === 0 || since < DEMAND_INTERVAL_MILLISECONDS || (since < DEMAND_REPEAT_MILLISECONDS && (returns?.newsSize ?? 0) === 0 && !this.#changed(demands))) return
    this.#lastSent = demands
    this.#sentAt = now
    const reported = [...demands].sort((one, other) => other.offered - one.offered).slice(0, MAX_QUEUES_PER_REPORT).map(rounded)
    const notices = returns?.takeNews(now) ?? []
    for (const peer of this.#peers) this.#emit({ type: 'tell', peer, message: { type: 'demand', dataCentre: this.#dataCentre, kinds: reported, ...(notices.length === 0 ? {} : { returns: notices }) } })
  }

  #changed (demands: readonly QueueDemand[]): boolean {
    return demands.some(demand => {
      const sent = this.#lastSent.find(({ name, service }) => name === demand.name && service === demand.service)
      return sent === undefined || FIGURES.some(figure => Math.abs(demand[figure] - sent[figure]) > DEMAND_CHANGE_FRACTION * Math.max(1, sent[figure]))
    })
  }
}

function rounded (kind: QueueDemand): QueueDemand {
  const figures = FIGURES.map(figure => [figure, Math.round(kind[figure] * HUNDREDTHS) / HUNDREDTHS])
  return { ...kind, ...Object.fromEntries(figures) }
}
