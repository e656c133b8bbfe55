/** The other entries, and which of them gives out the room of a group of targets. */
import type { MemberFacts } from './roommessages.ts'
import { hashString } from '@amaranthmast/coordination/rendezvous'

interface Peer {
  /** It tells of its room, and so that it is there, several times a second. */
  tells: boolean
  heardAt: number
  /** It did not answer: nothing is asked of it before it is heard again. */
  suspected: boolean
  /** A request came back without an answer: it is not asked before, unless it answers another. */
  unansweringUntil: number
}

export class Peers {
  readonly #self: string
  readonly #peers = new Map<string, Peer>()
  /** What each has told of itself, also before the link to it stood. */
  readonly #facts = new Map<string, MemberFacts>()

  /** @param self name of this entry */
  constructor (self: string) {
    this.#self = self
  }

  /** Names of the entries with a link. */
  get names (): string[] {
    return [...this.#peers.keys()]
  }

  link (name: string, now: number): void {
    this.#peers.set(name, { tells: false, heardAt: now, suspected: false, unansweringUntil: Number.NEGATIVE_INFINITY })
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

  noteHeard (name: string, now: number): void {
    const peer = this.#peers.get(name)
    if (peer === undefined) return
    peer.heardAt = now
    peer.suspected = false
  }

  /** Data centre of an entry, as far as it has told. */
  dataCentreOf (name: string): string | undefined {
    return this.#facts.get(name)?.dataCentre
  }

  /** When it was last heard. */
  heardAt (name: string): number {
    return this.#peers.get(name)?.heardAt ?? Number.NEGATIVE_INFINITY
  }

  noteTells (name: string): void {
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.tells = true
  }

  /** Whether it tells of its room, and so that it is there, several times a second. */
  tells (name: string): boolean {
    return this.#peers.get(name)?.tells === true
  }

  suspect (name: string): void {
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.suspected = true
  }

  noteUnanswered (name: string, until: number): void {
    const peer = this.#peers.get(name)
    if (peer !== undefined) peer.unansweringUntil = until
  }

  noteAnswered (name: string): void {
    this.noteUnanswered(name, Number.NEGATIVE_INFINITY)
  }

  answers (name: string, now: number): boolean {
    const peer = this.#peers.get(name)
    return peer !== undefined && !peer.suspected && now >= peer.unansweringUntil
  }

  /** Linked entries that say that they are able to give out room, and are heard. */
  able (): Array<MemberFacts & { name: string }> {
    const able = []
    for (const [name, { suspected }] of this.#peers) {
      const facts = this.#facts.get(name)
      if (facts?.able === true && !suspected) able.push({ ...facts, name })
    }
    return able
  }

  /**
   * The entry that gives out the room of a group: the fastest of those that stand beside its targets, of equals the one that
   * rendezvous hashing names, so that entries which know the same peers agree without a message. Without one beside them,
   * any other does it. Where entries disagree for a moment, two give out the same room and some starts are refused.
   */
  allocatorOf (group: string, beside: (dataCentre: string) => boolean, own: MemberFacts): string | undefined {
    const able = [...own.able ? [{ ...own, name: this.#self }] : [], ...this.able()]
    const near = able.filter(({ dataCentre }) => beside(dataCentre))
    return strongest(group, near.length > 0 ? near : able)
  }
}

function strongest (group: string, members: ReadonlyArray<MemberFacts & { name: string }>): string | undefined {
  let best: string | undefined
  let bestStrength = Number.NEGATIVE_INFINITY
  let bestScore = -1
  for (const { name, strength } of members) {
    const score = hashString(`${group}/${name}`)
    if (strength < bestStrength || (strength === bestStrength && score <= bestScore)) continue
    best = name
    bestStrength = strength
    bestScore = score
  }
  return best
}
