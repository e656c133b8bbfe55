/** The links of an entry to other entries and to agents. Messages to a process without a link are dropped. */
import type { AgentLinks } from './agentlinks.ts'
import type { EntryEffect } from './entrytypes.ts'
import type { EntryToAgent, Instance, PeerMessage } from './messages.ts'

export class EntryLinks {
  readonly #agents: AgentLinks
  readonly #emit: (effect: EntryEffect) => void
  readonly #peers = new Set<Instance>()

  constructor (agents: AgentLinks, emit: (effect: EntryEffect) => void) {
    this.#agents = agents
    this.#emit = emit
  }

  /** Peers with an established link. */
  get peers (): ReadonlySet<Instance> {
    return this.#peers
  }

  peerConnected (peer: Instance): void {
    this.#peers.add(peer)
  }

  peerDisconnected (peer: Instance): void {
    this.#peers.delete(peer)
  }

  /** Sends to every linked peer. */
  broadcast (message: PeerMessage): void {
    for (const peer of this.#peers) this.sendPeer(peer, message)
  }

  /** Sends if the link is up; returns whether it was. */
  sendPeer (peer: Instance, message: PeerMessage): boolean {
    if (!this.#peers.has(peer)) return false
    this.#emit({ type: 'sendPeer', peer, message })
    return true
  }

  /** Sends if the link is up; returns whether it was. */
  sendAgent (agent: Instance, message: EntryToAgent): boolean {
    if (!this.#agents.connected(agent)) return false
    this.#emit({ type: 'sendAgent', agent, message })
    return true
  }
}
