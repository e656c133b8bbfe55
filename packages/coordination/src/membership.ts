/**
 * Membership of the entries as one entry sees it: it joins and leaves by compare-and-swap on the
 * view in the store, asks the store to remove silent peers, and fences a peer without the store
 * when every other member found the peer's own address refusing connections.
 */
import type { EntryEffect } from './entrytypes.ts'
import type { Timings } from './defaults.ts'
import type { Instance, Member, View } from './messages.ts'
import { EMPTY_VIEW, epochOf, isMember, liveMembers, mergeViews, withLeaving, withMember, withoutMembers } from './view.ts'

/** Pause between the removal attempts of members of successive rank. */
const RANK_DELAY_MILLISECONDS = 150
/** A write of which nothing is heard is taken as ended after this time. */
const WRITE_PATIENCE_MILLISECONDS = 3000

export interface MembershipOptions {
  self: Member
  timings: Timings
  emit: (effect: EntryEffect) => void
  /** Tells every other member that this peer's address refuses connections. */
  announceRefused: (peer: Instance) => void
}

export class Membership {
  readonly #self: Member
  readonly #timings: Timings
  readonly #emit: (effect: EntryEffect) => void
  readonly #announceRefused: (peer: Instance) => void
  readonly #lastHeard = new Map<Instance, number>()
  readonly #refusedBy = new Map<Instance, Set<Instance>>()
  #view: View = EMPTY_VIEW
  #stored: View = EMPTY_VIEW
  #revision: number | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  #writingSince: number | undefined
  #lastRead = Number.NEGATIVE_INFINITY
  #lastTick: number | undefined
  #joined = false
  #leaving = false
  #departing = false

  constructor (options: MembershipOptions) {
    this.#self = options.self
    this.#timings = options.timings
    this.#emit = options.emit
    this.#announceRefused = options.announceRefused
  }

  get view (): View {
    return this.#view
  }

  /** Whether this entry is a member now. */
  get joined (): boolean {
    return isMember(this.#view, this.#self.instance)
  }

  /** Whether this entry was a member and is none any more. */
  get removed (): boolean {
    return this.#joined && !this.joined
  }

  get departing (): boolean {
    return this.#departing
  }

  /** Whether the view says that this entry owns no job ids any more. */
  get leavingInForce (): boolean {
    return this.#view.members.some(member => member.instance === this.#self.instance && member.leaving)
  }

  /** Age of the last confirmation of the current view by the store. */
  confirmedAge (now: number): number {
    return this.#stored.version === this.#view.version ? now - this.#confirmedAt : Number.POSITIVE_INFINITY
  }

  heard (peer: Instance, now: number): void {
    this.#lastHeard.set(peer, now)
  }

  /** Stops owning job ids with the next view. */
  leave (): void {
    this.#leaving = true
  }

  /** Leaves the view: everything has been handed over. */
  depart (): void {
    this.#departing = true
  }

  /** Takes a view of a peer or an agent in; true when the members changed. */
  merge (view: View): boolean {
    const before = epochOf(this.#view)
    this.#view = mergeViews(this.#view, view)
    if (this.joined) this.#joined = true
    return epochOf(this.#view) !== before
  }

  /** Takes a read of the store in; an older view than one already acted on confirms nothing. */
  viewRead (view: View, revision: number, readStarted: number): boolean {
    if (view.version < this.#stored.version) return false
    this.#stored = view
    this.#revision = revision
    const changed = this.merge(view)
    if (view.version === this.#view.version) this.#confirmedAt = readStarted
    return changed
  }

  viewWritten (): void {
    this.#writingSince = undefined
    this.#emit({ type: 'readView' })
  }

  /**
   * A new connection to the peer's own address was refused: that process has ended. A process that
   * is paused or cut off is silent instead, so silence never counts here.
   */
  refused (peer: Instance, by: Instance): boolean {
    if (!isMember(this.#view, peer)) return false
    const witnesses = this.#refusedBy.get(peer) ?? new Set<Instance>()
    const first = !witnesses.has(by)
    witnesses.add(by)
    this.#refusedBy.set(peer, witnesses)
    if (first && by === this.#self.instance) this.#announceRefused(peer)
    return this.#fenceWhenUnanimous(peer, witnesses)
  }

  tick (now: number): void {
    this.#forgivePause(now)
    if (now - this.#lastRead >= this.#timings.viewRead) {
      this.#lastRead = now
      this.#emit({ type: 'readView' })
    }
    this.#propose(now)
  }

  /** Whether this peer has been silent for too long. */
  suspects (peer: Instance, now: number): boolean {
    if (this.#refusedBy.get(peer)?.has(this.#self.instance) === true) return true
    const heard = this.#lastHeard.get(peer)
    if (heard === undefined) {
      this.#lastHeard.set(peer, now)
      return false
    }
    return now - heard > this.#timings.suspect
  }

  #fenceWhenUnanimous (peer: Instance, witnesses: ReadonlySet<Instance>): boolean {
    const others = liveMembers(this.#view).filter(member => member.instance !== peer)
    const all = others.every(member => witnesses.has(member.instance))
    if (!all || !this.joined) return false
    return this.merge({ ...this.#view, fenced: [...this.#view.fenced, peer] })
  }

  /**
   * After a pause of this process every peer looks silent, though it was this one that did not
   * listen: all are given their full time again.
   */
  #forgivePause (now: number): void {
    const paused = this.#lastTick !== undefined && now - this.#lastTick > this.#timings.suspect / 2
    this.#lastTick = now
    if (!paused) return
    for (const peer of this.#lastHeard.keys()) this.#lastHeard.set(peer, now)
  }

  #propose (now: number): void {
    if (this.#revision === undefined || this.removed) return
    if (this.#writingSince !== undefined && now - this.#writingSince < WRITE_PATIENCE_MILLISECONDS) return
    const next = this.#nextView(now)
    if (next === undefined) return
    this.#writingSince = now
    this.#emit({ type: 'writeView', view: next, expectedRevision: this.#revision })
  }

  #nextView (now: number): View | undefined {
    const stored = mergeViews(this.#stored, this.#view)
    if (this.#stored.version < this.#view.version) return undefined
    if (!this.#joined) return this.#leaving ? undefined : withMember(stored, this.#self)
    if (this.#departing) return withoutMembers(stored, [this.#self.instance])
    const silent = this.#removable(now)
    if (silent.length > 0) return withoutMembers(stored, silent)
    if (stored.members.length !== liveMembers(stored).length) return withoutMembers(stored, [])
    if (this.#leaving && !this.leavingInForce) return withLeaving(stored, this.#self.instance)
    return undefined
  }

  /** Silent peers that it is this entry's turn to have removed. */
  #removable (now: number): Instance[] {
    const others = liveMembers(this.#view).filter(member => member.instance !== this.#self.instance)
    const silent = others.filter(member => this.suspects(member.instance, now)).map(member => member.instance)
    if (silent.length === 0) return []
    const able = liveMembers(this.#view).map(member => member.instance).filter(instance => !silent.includes(instance))
    const delay = able.indexOf(this.#self.instance) * RANK_DELAY_MILLISECONDS + this.#minorityDelay(silent.length, others.length)
    return silent.filter(peer => this.#silentFor(peer, now) > this.#timings.suspect + delay)
  }

  /** An entry that has lost most of the others is likelier to be the one cut off, and waits. */
  #minorityDelay (silent: number, others: number): number {
    return silent * 2 > others && others > 1 ? this.#timings.suspect : 0
  }

  #silentFor (peer: Instance, now: number): number {
    if (this.#refusedBy.get(peer)?.has(this.#self.instance) === true) return Number.POSITIVE_INFINITY
    return now - (this.#lastHeard.get(peer) ?? now)
  }
}
