/** State of the other entries, and the choice of the one that allocates the capacity of a group of targets. */
import type { MemberFacts } from './peermessages.ts'
import { hashString } from '@amaranthmast/coordination/rendezvous'

interface Peer {
  /** Whether it reports its free capacity several times a second, which also serves as a keep-alive. */
  sendsUpdates: boolean
  heardAt: number
  /** Whether it is unresponsive: nothing is requested from it until a message of it arrives. */
  suspected: boolean
  /** A request to it timed out: nothing is requested from it before this time, unless it answers another request. */
  unresponsiveUntil: number
}

export class Peers {
  readonly #self: string
  readonly #peers = new Map<string, Peer>()
  /** Facts that each has reported, also before it was linked. */
  readonly #facts = new Map<string, MemberFacts>()

  /** @param self name of this entry */
  constructor (self: string) {
    this.#self = self
  }

  /** Names of the linked entries. */
  get names (): string[] {
    return [...this.#peers.keys()]
  }

  link (name: string, now: number): void {
    this.#peers.set(name, { sendsUpdates: false, heardAt: now, suspected: false, unresponsiveUntil: Number.NEGATIVE_INFINITY })
  }

  unlink (name: string): void {
    this.#peers.delete(name)
    this.#facts.delete(name)
  }

  has (name: string): boolean {
    return this.#peers.has(name)
  }

  noteFacts (name: string, facts: MemberFacts): void {
    this.#facts.set(name, facts)
  }

  noteContact (name: string, now: number): void {
    const peer = this.#peers.get(name)
    if (peer === undefined) return
    peer.heardAt = now
    peer.suspected = false
  }

  /** Data centre of an entry; undefined until it reports one. */
  dataCentreOf (name: string): string | undefined {
    return this.#facts.get(name)?.dataCentre
  }

  /** Time of the last message of an entry; `-Infinity` for one that is not linked. */
  heardAt (name: string): number {
    return this.#peers.get(name)?.heardAt ?? Number.NEGATIVE_INFINITY
  }

  noteSendsUpdates (name: string): void {
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.sendsUpdates = true
  }

  /** Whether an entry reports its free capacity several times a second. */
  sendsUpdates (name: string): boolean {
    return this.#peers.get(name)?.sendsUpdates === true
  }

  suspect (name: string): void {
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.suspected = true
  }

  noteUnanswered (name: string, until: number): void {
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.unresponsiveUntil = until
  }

  noteAnswered (name: string): void {
    this.noteUnanswered(name, Number.NEGATIVE_INFINITY)
  }

  answers (name: string, now: number): boolean {
    const peer = this.#peers.get(name)
    return peer !== undefined && !peer.suspected && now >= peer.unresponsiveUntil
  }

  /** Linked and responsive entries that report that they may allocate capacity. */
  able (): Array<MemberFacts & { name: string }> {
    const able = []
    for (const [name, { suspected }] of this.#peers) {
      const facts = this.#facts.get(name)
      if (facts?.able === true && !suspected) able.push({ ...facts, name })
    }
    return able
  }

  /**
   * The entry that allocates the capacity of a group: the fastest one in a data centre of the group, or the fastest one
   * anywhere if there is none. Ties are broken by rendezvous hashing, so that entries with the same peers agree without a
   * message. While entries disagree, two of them allocate the same capacity and agents reject some starts.
   */
  allocatorOf (group: string, inGroup: (dataCentre: string) => boolean, own: MemberFacts): string | undefined {
    const able = [...own.able ? [{ ...own, name: this.#self }] : [], ...this.able()]
    const local = able.filter(({ dataCentre }) => inGroup(dataCentre))
    return fastestMember(group, local.length > 0 ? local : able)
  }
}

function fastestMember (group: string, members: ReadonlyArray<MemberFacts & { name: string }>): string | undefined {
  let best: string | undefined
  let highestStrength = Number.NEGATIVE_INFINITY
  let bestScore = -1
  for (const { name, strength } of members) {
    const score = hashString(`${group}/${name}`)
    if (strength < highestStrength || (strength === highestStrength && score <= bestScore)) continue
    best = name
    highestStrength = strength
    bestScore = score
  }
  return best
}
