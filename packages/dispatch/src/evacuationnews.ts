/** What an entry tells other processes of evacuated data centres, and when. */
import type { EntryEffect } from './entrytypes.ts'
import type { EvacuationState } from './evacuations.ts'
import type { Fleet } from './fleet.ts'
import { EVACUATIONS_SEND_INTERVAL_MILLISECONDS, EVACUATIONS_FANOUT, EVACUATIONS_STALE_MILLISECONDS } from './defaults.ts'
import { Evacuations } from './evacuations.ts'

export interface EvacuationNewsParts {
  fleet: Fleet
  emit: (effect: EntryEffect) => void
}

/** Where a state was heard. */
export enum NewsSource {
  Store = 'store',
  Entry = 'entry',
  Agent = 'agent'
}

/**
 * A change goes to every agent and entry at once, and some entries are told again in turn, for those that missed it: an
 * entry that the store turns away must not go on placing tasks for the 5 s in which evacuations have to be in force. Agents
 * hear besides when this entry has lost the store, since then they must ask for themselves.
 */
export class EvacuationNews {
  readonly #parts: EvacuationNewsParts
  readonly #known = new Evacuations()
  readonly #peers: string[] = []
  #confirmedAt = Number.NEGATIVE_INFINITY
  /** As the agents were told. */
  #confirmed = false
  #toldAt = Number.NEGATIVE_INFINITY
  #turn = 0

  constructor (parts: EvacuationNewsParts) {
    this.#parts = parts
  }

  get known (): Evacuations {
    return this.#known
  }

  /** The store was read. */
  read (state: EvacuationState, now: number): void {
    this.#confirmedAt = now
    this.#learn(state, NewsSource.Store)
    this.#noteConfirmed(now)
  }

  /** Another entry has told what it knows. */
  heard (peer: string, state: EvacuationState): void {
    this.#learn(state, NewsSource.Entry)
    if (this.#isBehind(state)) this.#tell(peer)
  }

  /** An agent knows of another state than this entry acted on. */
  heardFromAgent (agent: string, state: EvacuationState): void {
    this.#learn(state, NewsSource.Agent)
    if (this.#isBehind(state)) this.tellAgent(agent)
  }

  peerLinked (peer: string): void {
    if (!this.#peers.includes(peer)) this.#peers.push(peer)
    this.#tell(peer)
  }

  peerUnlinked (peer: string): void {
    const index = this.#peers.indexOf(peer)
    if (index >= 0) this.#peers.splice(index, 1)
  }

  tick (now: number): void {
    this.#noteConfirmed(now)
    if (now - this.#toldAt < EVACUATIONS_SEND_INTERVAL_MILLISECONDS) return
    this.#toldAt = now
    for (let told = 0; told < Math.min(EVACUATIONS_FANOUT, this.#peers.length); told += 1) {
      this.#turn = (this.#turn + 1) % this.#peers.length
      this.#tell(this.#peers[this.#turn] as string)
    }
  }

  tellAgent (agent: string): void {
    const { state } = this.#known
    const message = { type: 'evacuations' as const, confirmed: this.#confirmed }
    this.#parts.emit({ type: 'send', agent, message: state === undefined ? message : { ...message, state } })
  }

  /** The sender has an older state with other data centres. */
  #isBehind ({ revision, dataCentres }: EvacuationState): boolean {
    return revision < this.#known.revision && !this.#known.matches(dataCentres)
  }

  #learn (state: EvacuationState, source: NewsSource): void {
    if (!this.#known.learn(state)) return
    this.#parts.emit({ type: 'note', what: 'evacuations in force', fields: { ...state, source } })
    this.#parts.fleet.setEvacuated(dataCentre => this.#known.has(dataCentre))
    this.#tellAgents()
    for (const peer of this.#peers) this.#tell(peer)
  }

  #noteConfirmed (now: number): void {
    const confirmed = now - this.#confirmedAt < EVACUATIONS_STALE_MILLISECONDS
    if (confirmed === this.#confirmed) return
    this.#confirmed = confirmed
    this.#tellAgents()
  }

  #tellAgents (): void {
    for (const agent of this.#parts.fleet.linkedNames()) this.tellAgent(agent)
  }

  #tell (peer: string): void {
    const { state } = this.#known
    if (state !== undefined) this.#parts.emit({ type: 'tell', peer, message: { type: 'evacuations', state } })
  }
}
