/** Exchanges the state of evacuated data centres with agents and other entries. */
import type { EntryEffect } from './entrytypes.ts'
import type { EvacuationState } from './evacuations.ts'
import type { Fleet } from './fleet.ts'
import { EVACUATIONS_SEND_INTERVAL_MILLISECONDS, EVACUATIONS_FANOUT, EVACUATIONS_STALE_MILLISECONDS } from './defaults.ts'
import { Evacuations } from './evacuations.ts'

export interface EvacuationUpdatesDependencies {
  fleet: Fleet
  emit: (effect: EntryEffect) => void
}

/** Where a state was received from. */
export enum UpdateSource {
  Store = 'store',
  Entry = 'entry',
  Agent = 'agent'
}

/**
 * A change is sent to every agent and entry at once, and repeated to a few entries in turn for those that missed it: an
 * entry that cannot read the store must stop placing tasks within the 5 s in which evacuations have to be in force.
 * Agents are also informed when this entry loses contact with the store, since they must then read it themselves.
 */
export class EvacuationUpdates {
  readonly #dependencies: EvacuationUpdatesDependencies
  readonly #known = new Evacuations()
  readonly #peers: string[] = []
  #confirmedAt = Number.NEGATIVE_INFINITY
  /** Whether the store was read recently, as last sent to the agents. */
  #confirmed = false
  #repeatedAt = Number.NEGATIVE_INFINITY
  #turn = 0

  constructor (dependencies: EvacuationUpdatesDependencies) {
    this.#dependencies = dependencies
  }

  get known (): Evacuations {
    return this.#known
  }

  /** Records a state read from the store. */
  read (state: EvacuationState, now: number): void {
    this.#confirmedAt = now
    this.#learn(state, UpdateSource.Store)
    this.#noteConfirmed(now)
  }

  /** Records a state sent by another entry, and replies if that entry is behind. */
  receive (peer: string, state: EvacuationState): void {
    this.#learn(state, UpdateSource.Entry)
    if (this.#isBehind(state)) this.#send(peer)
  }

  /** Records a state sent by an agent that differs from the one this entry acted on, and replies if the agent is behind. */
  receiveFromAgent (agent: string, state: EvacuationState): void {
    this.#learn(state, UpdateSource.Agent)
    if (this.#isBehind(state)) this.sendToAgent(agent)
  }

  peerLinked (peer: string): void {
    if (!this.#peers.includes(peer)) this.#peers.push(peer)
    this.#send(peer)
  }

  peerUnlinked (peer: string): void {
    const index = this.#peers.indexOf(peer)
    if (index >= 0) this.#peers.splice(index, 1)
  }

  tick (now: number): void {
    this.#noteConfirmed(now)
    if (now - this.#repeatedAt < EVACUATIONS_SEND_INTERVAL_MILLISECONDS) return
    this.#repeatedAt = now
    for (let sent = 0; sent < Math.min(EVACUATIONS_FANOUT, this.#peers.length); sent += 1) {
      this.#turn = (this.#turn + 1) % this.#peers.length
      this.#send(this.#peers[this.#turn] as string)
    }
  }

  sendToAgent (agent: string): void {
    const { state } = this.#known
    const message = { type: 'evacuations' as const, confirmed: this.#confirmed }
    this.#dependencies.emit({ type: 'send', agent, message: state === undefined ? message : { ...message, state } })
  }

  /** Whether the sender has an older state with other data centres. */
  #isBehind ({ revision, dataCentres }: EvacuationState): boolean {
    return revision < this.#known.revision && !this.#known.matches(dataCentres)
  }

  #learn (state: EvacuationState, source: UpdateSource): void {
    if (!this.#known.learn(state)) return
    this.#dependencies.emit({ type: 'note', what: 'evacuations in force', fields: { ...state, source } })
    this.#dependencies.fleet.setEvacuated(dataCentre => this.#known.has(dataCentre))
    this.#sendToAgents()
    for (const peer of this.#peers) this.#send(peer)
  }

  #noteConfirmed (now: number): void {
    const confirmed = now - this.#confirmedAt < EVACUATIONS_STALE_MILLISECONDS
    if (confirmed === this.#confirmed) return
    this.#confirmed = confirmed
    this.#sendToAgents()
  }

  #sendToAgents (): void {
    for (const agent of this.#dependencies.fleet.linkedNames()) this.sendToAgent(agent)
  }

  #send (peer: string): void {
    const { state } = this.#known
    if (state !== undefined) this.#dependencies.emit({ type: 'tell', peer, message: { type: 'evacuations', state } })
  }
}
