/**
 * Membership of the entries as one entry sees it: it joins and leaves by compare-and-swap on the
 * view in the store, asks the store to remove silent peers, and fences a peer without the store
 * when every other member found the peer's own address refusing connections.
 */
import type { EntryGuards } from './entrycontext.ts'
import type { EntryEffect } from './entrytypes.ts'
import type { Timings } from './defaults.ts'
import type { Instance, Member, View } from './messages.ts'
import { EMPTY_VIEW, epochOf, isMember, liveMembers, mergeViews, withLeaving, withMember, withoutMembers } from './view.ts'

/** Pause between the removal attempts of members of successive rank. */
const RANK_DELAY_MILLISECONDS = 150
/** Time without a confirmation after which a woken entry goes on all the same: the store is down. */
const RECHECK_PATIENCE_MILLISECONDS = 1500
/** Silence of a peer, as a part of the time to suspicion, from which this entry may be the one cut off. */
const DOUBT_PART = 0.75
/** How old a confirmation by the store may be to stand for the contact with a silent peer. */
const FRESH_CONFIRMATION_MILLISECONDS = 400
/** Interval at which the store is read while a peer is silent. */
const DOUBT_READ_MILLISECONDS = 200
/** Silence of a peer, as a part of the time to suspicion, that two heartbeats on their way do not explain. */
const QUIET_PART = 0.5
/** Times the time to suspicion that an entry waits longer when most of the others look silent. */
const MINORITY_PATIENCE = 3
/** A write of which nothing is heard is taken as ended after this time. */
const WRITE_PATIENCE_MILLISECONDS = 3000

/** A refused connection to a peer. */
interface Refusal {
  at: number
  /** Whether the peer had been heard until shortly before. */
  heardUntilThen: boolean
}

export interface MembershipOptions {
  self: Member
  timings: Timings
  guards: EntryGuards
  emit: (effect: EntryEffect) => void
  /** Tells every other member that this peer's address refuses connections. */
  announceRefused: (peer: Instance) => void
}

export class Membership {
  readonly #self: Member
  readonly #timings: Timings
  readonly #guards: EntryGuards
  readonly #emit: (effect: EntryEffect) => void
  readonly #announceRefused: (peer: Instance) => void
  readonly #lastHeard = new Map<Instance, number>()
  /** Since when each peer is heard without a long silence. */
  readonly #contactSince = new Map<Instance, number>()
  /** Peers whose address refused a connection of this entry. */
  readonly #refusing = new Map<Instance, Refusal>()
  readonly #refusedBy = new Map<Instance, Set<Instance>>()
  #view: View = EMPTY_VIEW
  #stored: View = EMPTY_VIEW
  #revision: number | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  #writingSince: number | undefined
  #lastRead = Number.NEGATIVE_INFINITY
  #lastSeen: number | undefined
  /** When this process woke from a pause, until it knows that it is still a member. */
  #wokeAt: number | undefined
  /** The highest version that others have spoken of. */
  #highestHeard = 0
  #joined = false
  /** Whether an entry that was there before has told this one that it knows of it. */
  #acquainted = false
  #leaving = false
  #departing = false

  constructor (options: MembershipOptions) {
    this.#self = options.self
    this.#timings = options.timings
    this.#guards = options.guards
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

  /**
   * An entry whose memory is complete has begun a view with this entry in it, or there is none.
   * Until then the entries that were there before may stand on the far side of a cut with agents
   * that have never heard of this one, and would go on for as long as they hear each other.
   */
  acquaint (): void {
    this.#acquainted = true
  }

  heard (peer: Instance, now: number): void {
    const last = this.#lastHeard.get(peer)
    const first = last === undefined || !this.#contactSince.has(peer)
    if (first || now - last > this.#timings.suspect * DOUBT_PART) this.#contactSince.set(peer, now)
    this.#lastHeard.set(peer, now)
  }

  /** Another process has a view of this version. */
  heardOf (version: number): void {
    if (version <= this.#highestHeard) return
    this.#highestHeard = version
    if (version > this.#view.version) this.#emit({ type: 'readView' })
  }

  /**
   * Sees time pass, before anything else is done at `now`. After a pause of this process every peer
   * looks silent, though it was this one that did not listen: all are given their full time again.
   * And this entry may have been removed meanwhile: it asks the store before it takes anything.
   */
  observe (now: number): void {
    const paused = this.#lastSeen !== undefined && now - this.#lastSeen > this.#timings.suspect / 2
    this.#lastSeen = now
    if (this.#wokeAt !== undefined && now - this.#wokeAt > RECHECK_PATIENCE_MILLISECONDS) this.#wokeAt = undefined
    if (!paused) return
    for (const peer of this.#lastHeard.keys()) this.#lastHeard.set(peer, now)
    this.#wokeAt = now
    this.#emit({ type: 'readView' })
  }

  /** Whether this process was paused and does not know yet what happened meanwhile. */
  get waking (): boolean {
    return this.#guards.inForce && this.#wokeAt !== undefined
  }

  /**
   * Whether this entry has reason to believe that no other has taken its job ids over. Only then
   * may it say that a job was not run: to be removed, it must have been silent to some peer, which
   * then is silent to it, or it hears of the newer view.
   */
  inForce (now: number): boolean {
    if (!this.#guards.inForce) return true
    if (!this.joined || this.waking || this.#highestHeard > this.#view.version) return false
    return !this.#inDoubt(now) || this.confirmedAge(now) <= FRESH_CONFIRMATION_MILLISECONDS
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
    if (this.#wokeAt !== undefined && readStarted >= this.#wokeAt) this.#wokeAt = undefined
    const fenced = view.version === this.#view.version && this.#witnessOwn(({ at }) => readStarted >= at)
    return changed || fenced
  }

  viewWritten (): void {
    this.#writingSince = undefined
    this.#emit({ type: 'readView' })
  }

  /**
   * A new connection to the peer's own address was refused: that process has ended. A process that
   * is paused or cut off is silent instead, so silence never counts here. Before it counts, the
   * store is asked: if it still names this entry, the dead peer can change that no more. If the
   * store is down, the refusal counts only shortly after the peer was heard: after a longer silence
   * the peer may have removed this entry and gone on with others that this view does not name.
   */
  refused (peer: Instance, by: Instance, now: number): boolean {
    if (!isMember(this.#view, peer)) return false
    if (by !== this.#self.instance) return this.#witnessed(peer, by)
    if (this.#refusing.has(peer)) return false
    this.#refusing.set(peer, { at: now, heardUntilThen: this.#heardUntil(peer, now) })
    if (!this.#guards.refusal) return this.#witnessed(peer, by)
    this.#emit({ type: 'readView' })
    return false
  }

  /** The store cannot be read: refusals by peers that were heard until then count. */
  viewReadFailed (): boolean {
    return this.#witnessOwn(({ heardUntilThen }) => heardUntilThen)
  }

  #witnessOwn (counts: (refusal: Refusal) => boolean): boolean {
    let fenced = false
    for (const [peer, refusal] of this.#refusing) {
      if (!isMember(this.#view, peer) || !counts(refusal)) continue
      if (this.#witnessed(peer, this.#self.instance)) fenced = true
    }
    return fenced
  }

  #witnessed (peer: Instance, by: Instance): boolean {
    const witnesses = this.#refusedBy.get(peer) ?? new Set<Instance>()
    const first = !witnesses.has(by)
    witnesses.add(by)
    this.#refusedBy.set(peer, witnesses)
    if (first && by === this.#self.instance) this.#announceRefused(peer)
    return this.#fenceWhenUnanimous(peer, witnesses)
  }

  /**
   * Whether the peer was heard until now, and for some time: what a cut held back arrives all at
   * once when it heals, and tells nothing of the time between.
   */
  #heardUntil (peer: Instance, now: number): boolean {
    if (this.waking || this.#highestHeard > this.#view.version) return false
    const { suspect } = this.#timings
    const heardFor = now - (this.#contactSince.get(peer) ?? now)
    return heardFor >= suspect && now - (this.#lastHeard.get(peer) ?? Number.NEGATIVE_INFINITY) <= suspect
  }

  tick (now: number): void {
    const interval = this.#inDoubt(now) ? DOUBT_READ_MILLISECONDS : this.#timings.viewRead
    if (now - this.#lastRead >= interval) {
      this.#lastRead = now
      this.#emit({ type: 'readView' })
    }
    this.#propose(now)
  }

  /** Whether this peer has been silent for too long. */
  suspects (peer: Instance, now: number): boolean {
    if (this.#refusing.has(peer)) return true
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

  /** Whether some peer has been silent for so long that this entry may be the one cut off. */
  #inDoubt (now: number): boolean {
    const patience = this.#timings.suspect * DOUBT_PART
    return liveMembers(this.#view).some(({ instance }) => instance !== this.#self.instance && now - (this.#lastHeard.get(instance) ?? now) > patience)
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
    const delay = able.indexOf(this.#self.instance) * RANK_DELAY_MILLISECONDS + this.#minorityDelay(others, now)
    const acquainted = this.#acquainted || !this.#guards.acquaintance
    const patience = acquainted ? this.#timings.suspect + delay : this.#timings.retention
    return silent.filter(peer => this.#silentFor(peer, now) > patience)
  }

  /**
   * An entry that has lost most of the others is likelier to be the one cut off, and waits. It may
   * also be deaf while the others hear it: it waits long enough for its silent links to be closed, so
   * that the others miss it and remove it first. Alone in the view it would serve nobody.
   */
  #minorityDelay (others: readonly Member[], now: number): number {
    const quiet = others.filter(member => this.#silentFor(member.instance, now) > this.#timings.suspect * QUIET_PART)
    return quiet.length * 2 > others.length && others.length > 1 ? this.#timings.suspect * MINORITY_PATIENCE : 0
  }

  #silentFor (peer: Instance, now: number): number {
    if (this.#refusing.has(peer)) return Number.POSITIVE_INFINITY
    return now - (this.#lastHeard.get(peer) ?? now)
  }
}
