/** Which of the other entries are silent: what they give out is not asked of them any more. */
import type { Peers } from './peers.ts'
import type { ProcessorLag } from './processorlag.ts'
import type { RoomClient } from './roomclient.ts'
import type { RoomMap } from './roommap.ts'
import type { RoomNews } from './roomnews.ts'
import { ALLOCATOR_TIMEOUT_MILLISECONDS, PEER_TIMEOUT_MILLISECONDS } from './defaults.ts'
import { HOLDER_SILENCE_MILLISECONDS, UNANSWERING_MILLISECONDS } from './partitiondefaults.ts'

/** Member messages of a holder that may be missing before it counts as silent. */
const MEMBERS_MISSED = 2.5

export interface PeerWatchParts {
  /** Name of this entry. */
  name: string
  map: RoomMap
  peers: Peers
  client: RoomClient
  lag: ProcessorLag
  news: RoomNews
  note: (what: string, fields: Record<string, unknown>) => void
}

export class PeerWatch {
  readonly #parts: PeerWatchParts
  /** When others last came to give out room. */
  #allocatorsSince = Number.NEGATIVE_INFINITY

  constructor (parts: PeerWatchParts) {
    this.#parts = parts
  }

  allocatorsChanged (now: number): void {
    this.#allocatorsSince = now
  }

  /**
   * An entry that owes an answer gives a sign of life with each tick; one that gives out room, each second.
   *
   * @returns whether one of them owes an answer and is silent
   */
  suspectSilentAllocators (now: number): boolean {
    const { name, map, peers, client, note } = this.#parts
    for (const group of map.groups) {
      const allocator = map.allocatorOf(group)
      if (allocator === undefined || allocator === name) continue
      if (now - Math.max(peers.heardAt(allocator), this.#allocatorsSince) >= PEER_TIMEOUT_MILLISECONDS) peers.suspect(allocator)
    }
    let silent = false
    for (const { peer, at } of client.owing()) {
      if (now - Math.max(at, peers.heardAt(peer)) < ALLOCATOR_TIMEOUT_MILLISECONDS) continue
      note('allocator silent', { entry: peer, asked: Math.round(now - at) })
      peers.suspect(peer)
      silent = true
    }
    if (silent) client.noteSilent()
    return silent
  }

  /** A holder of which nothing is heard is frozen, cut off or gone: its partition goes to others until it is heard again. */
  suspectSilentHolders (now: number): void {
    const { name, map, peers, lag, news, note } = this.#parts
    for (const holder of map.groups) {
      if (holder === name) continue
      const patience = peers.tells(holder) ? HOLDER_SILENCE_MILLISECONDS : MEMBERS_MISSED * news.memberInterval
      const silence = now - Math.max(peers.heardAt(holder), lag.stoodUntil)
      if (silence < patience) continue
      note('holder silent', { entry: holder, silence: Math.round(silence) })
      peers.suspect(holder)
    }
  }

  /** An entry that does not answer is not asked for a while, though others may still reach it. */
  giveUpUnanswered (now: number): void {
    const { peers, client, lag, note } = this.#parts
    const entries = new Map(client.giveUpUnanswered(lag.stoodUntil, lag.milliseconds, now).map(({ peer, asked }) => [peer, asked]))
    for (const [entry, asked] of entries) {
      peers.noteUnanswered(entry, now + UNANSWERING_MILLISECONDS)
      note('holder does not answer', { entry, asked: Math.round(asked) })
    }
  }
}
