/** When the other entries are told what the callers of this one want. */
import type { EntryEffect } from './entrytypes.ts'
import type { Returns } from './returns.ts'
import type { QueueDemand } from './peermessages.ts'
import { DEMAND_CHANGE_PART, DEMAND_INTERVAL_MILLISECONDS, DEMAND_KINDS_TOLD, DEMAND_REPEAT_MILLISECONDS } from './admissiondefaults.ts'

const FIGURES = ['offered', 'running', 'waiting'] as const

/** Digits after the point of a figure that is told: a hundredth of a core. */
const HUNDREDTHS = 100

export class DemandTelling {
  readonly #dataCentre: string
  readonly #emit: (effect: EntryEffect) => void
  readonly #peers = new Set<string>()
  #told: readonly QueueDemand[] = []
  #toldAt = Number.NEGATIVE_INFINITY

  constructor (dataCentre: string, emit: (effect: EntryEffect) => void) {
    this.#dataCentre = dataCentre
    this.#emit = emit
  }

  add (peer: string): void {
    this.#peers.add(peer)
    this.#told = []
  }

  remove (peer: string): void {
    this.#peers.delete(peer)
  }

  /** Tells all, unless that was done a moment ago, or lately and nothing has changed. */
  tick (kinds: readonly QueueDemand[], returns: Pick<Returns, 'newsSize' | 'takeNews'> | undefined, now: number): void {
    const since = now - this.#toldAt
    if (kinds.length === 0 || since < DEMAND_INTERVAL_MILLISECONDS || (since < DEMAND_REPEAT_MILLISECONDS && (returns?.newsSize ?? 0) === 0 && !this.#changed(kinds))) return
    this.#told = kinds
    this.#toldAt = now
    const told = [...kinds].sort((one, other) => other.offered - one.offered).slice(0, DEMAND_KINDS_TOLD).map(rounded)
    const news = returns?.takeNews(now) ?? []
    for (const peer of this.#peers) this.#emit({ type: 'tell', peer, message: { type: 'demand', dataCentre: this.#dataCentre, kinds: told, ...(news.length === 0 ? {} : { returns: news }) } })
  }

  #changed (kinds: readonly QueueDemand[]): boolean {
    return kinds.some(kind => {
      const told = this.#told.find(({ name, service }) => name === kind.name && service === kind.service)
      return told === undefined || FIGURES.some(figure => Math.abs(kind[figure] - told[figure]) > DEMAND_CHANGE_PART * Math.max(1, told[figure]))
    })
  }
}

function rounded (kind: QueueDemand): QueueDemand {
  const figures = FIGURES.map(figure => [figure, Math.round(kind[figure] * HUNDREDTHS) / HUNDREDTHS])
  return { ...kind, ...Object.fromEntries(figures) }
}
