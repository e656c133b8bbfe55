/** Detects unresponsive entries, so that no requests are sent to them. */
import type { Peers } from './peers.ts'
import type { EventLoopLag } from './eventlooplag.ts'
import type { AllocationClient } from './allocationclient.ts'
import type { AllocatorMap } from './allocatormap.ts'
import type { AllocationUpdates } from './roomnews.ts'
import { ALLOCATOR_TIMEOUT_MILLISECONDS, PEER_TIMEOUT_MILLISECONDS } from './defaults.ts'
import { HOLDER_TIMEOUT_MILLISECONDS, UNRESPONSIVE_PAUSE_MILLISECONDS } from './partitiondefaults.ts'

/** Number of member intervals without a message after which a holder counts as unresponsive. */
const MAX_MISSED_MEMBER_MESSAGES = 2.5

export interface PeerWatchDependencies {
  /** Name of this entry. */
  name: string
  map: AllocatorMap
  peers: Peers
  client: AllocationClient
  lag: EventLoopLag
  updates: AllocationUpdates
  note: (what: string, fields: Record<string, unknown>) => void
}

export class PeerWatch {
  readonly #dependencies: PeerWatchDependencies
  /** When the allocator of any group last changed. */
  #allocatorsChangedAt = Number.NEGATIVE_INFINITY

  constructor (dependencies: PeerWatchDependencies) {
    this.#dependencies = dependencies
  }

  allocatorsChanged (now: number): void {
    this.#allocatorsChangedAt = now
  }

  /**
   * Marks unresponsive allocators as suspected. An allocator sends a member message each second, and a keep-alive with each
   * tick while requests wait there.
   *
   * @returns whether an entry with a pending request is unresponsive
   */
  suspectUnresponsiveAllocators (now: number): boolean {
    const { name, map, peers, client, note } = this.#dependencies
    for (const group of map.groups) {
      const allocator = map.allocatorOf(group)
      if (allocator === undefined || allocator === name) continue
      if (now - Math.max(peers.heardAt(allocator), this.#allocatorsChangedAt) >= PEER_TIMEOUT_MILLISECONDS) peers.suspect(allocator)
    }
    let unresponsive = false
    for (const { peer, at } of client.awaitingAnswer()) {
      if (now - Math.max(at, peers.heardAt(peer)) < ALLOCATOR_TIMEOUT_MILLISECONDS) continue
      note('allocator unresponsive', { entry: peer, asked: Math.round(now - at) })
      peers.suspect(peer)
      unresponsive = true
    }
    if (unresponsive) client.noteUnresponsive()
    return unresponsive
  }

  /** Marks holders as suspected when no message of them arrives: they are frozen, isolated or gone. Others get their partitions until they respond. */
  suspectUnresponsiveHolders (now: number): void {
    const { name, map, peers, lag, updates, note } = this.#dependencies
    for (const holder of map.groups) {
      if (holder === name) continue
      const timeout = peers.sendsUpdates(holder) ? HOLDER_TIMEOUT_MILLISECONDS : MAX_MISSED_MEMBER_MESSAGES * updates.memberInterval
      const sinceContact = now - Math.max(peers.heardAt(holder), lag.stalledUntil)
      if (sinceContact < timeout) continue
      note('holder unresponsive', { entry: holder, silence: Math.round(sinceContact) })
      peers.suspect(holder)
    }
  }

  /** Abandons requests that timed out, and sends no further ones to those entries for a while; other entries may still reach them. */
  abandonUnanswered (now: number): void {
    const { peers, client, lag, note } = this.#dependencies
    const entries = new Map(client.abandonUnanswered(lag.stalledUntil, lag.milliseconds, now).map(({ peer, asked }) => [peer, asked]))
    for (const [entry, asked] of entries) {
      peers.noteUnanswered(entry, now + UNRESPONSIVE_PAUSE_MILLISECONDS)
      note('request to holder timed out', { entry, asked: Math.round(asked) })
    }
  }
}
