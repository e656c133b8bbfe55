/**
 * Membership of the entries as seen by one entry.
 *
 * It joins and leaves by compare-and-swap on the view in the store, and asks the store to remove unresponsive peers. It
 * fences a peer without the store when every other member has found the peer's own address refusing connections.
 */
import type { EntryGuards } from './entrycontext.ts'
import type { EntryEffect } from './entrytypes.ts'
import type { Timings } from './defaults.ts'
import type { Instance, Member, View } from './messages.ts'
import { EMPTY_VIEW, epochOf, isMember, liveMembers, mergeViews, withLeaving, withMember, withoutMembers } from './view.ts'

/** Delay between the removal attempts of members of successive rank. */
const RANK_DELAY_MILLISECONDS = 150
/** Time without a confirmation after which an entry that resumed from a pause continues anyway: the store is down. */
const VIEW_RECHECK_TIMEOUT_MILLISECONDS = 1500
/**
 * Time without contact to a peer, as a fraction of the suspicion time, after which this entry may itself be isolated.
 */
const POSSIBLE_ISOLATION_FRACTION = 0.75
/** Maximum age of a confirmation by the store that makes up for missing contact with a peer. */
const MAX_CONFIRMATION_AGE_MILLISECONDS = 400
/** Interval at which the store is read while a peer does not respond. */
const POSSIBLE_ISOLATION_READ_INTERVAL_MILLISECONDS = 200
/** Time without contact, as a fraction of the suspicion time, that two delayed heartbeats do not explain. */
const MISSED_CONTACT_FRACTION = 0.5
/** Multiple of the suspicion time that an entry waits longer when most of the others do not respond. */
const MINORITY_DELAY_FACTOR = 3
/** A write without an outcome is considered finished after this time. */
const WRITE_TIMEOUT_MILLISECONDS = 3000

/** A refused connection to a peer. */
interface Refusal {
  at: number
  /** Whether the peer was in contact until shortly before. */
  inContactBefore: boolean
}

export interface MembershipOptions {
  self: Member
  timings: Timings
  guards: EntryGuards
  emit: (effect: EntryEffect) => void
  /** Informs every other member that this peer's address refuses connections. */
  announceRefused: (peer: Instance) => void
}

export class Membership {
  readonly #self: Member
  readonly #timings: Timings
  readonly #guards: EntryGuards
  readonly #emit: (effect: EntryEffect) => void
  readonly #announceRefused: (peer: Instance) => void
  readonly #lastContact = new Map<Instance, number>()
  /** Start of the current period of contact with each peer, without a long gap. */
  readonly #contactSince = new Map<Instance, number>()
  /** Peers whose address refused a connection of this entry. */
  readonly #ownRefusals = new Map<Instance, Refusal>()
  readonly #refusedBy = new Map<Instance, Set<Instance>>()
  #view: View = EMPTY_VIEW
  #stored: View = EMPTY_VIEW
  #revision: number | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  #writingSince: number | undefined
  #lastReadAt = Number.NEGATIVE_INFINITY
  #lastEventAt: number | undefined
  /** When this process resumed from a pause, until its membership is confirmed again. */
  #resumedAt: number | undefined
  /** Highest view version that another process has reported. */
  #highestReportedVersion = 0
  #joined = false
  /** Whether an entry that joined earlier has confirmed that this one is in its view. */
  #knownToOthers = false
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

  /** Whether this entry was a member and no longer is. */
  get removed (): boolean {
    return this.#joined && !this.joined
  }

  get departing (): boolean {
    return this.#departing
  }

  /** Whether the view marks this entry as leaving, so that it owns no job ids any more. */
  get leavingPublished (): boolean {
    return this.#view.members.some(member => member.instance === this.#self.instance && member.leaving)
  }

  /** Age of the last confirmation of the current view by the store. */
  confirmedAge (now: number): number {
    return this.#stored.version === this.#view.version ? now - this.#confirmedAt : Number.POSITIVE_INFINITY
  }

  /**
   * Called when an entry with a complete memory has begun a view that contains this one, or when there is no such
   * entry.
   *
   * Until then the entries that joined earlier may be partitioned away together with agents that have never been in
   * contact with this entry. They would go on working for as long as they reach each other.
   */
  markKnownToOthers (): void {
    this.#knownToOthers = true
  }

  noteContact (peer: Instance, now: number): void {
    const last = this.#lastContact.get(peer)
    const first = last === undefined || !this.#contactSince.has(peer)
    if (first || now - last > this.#timings.suspect * POSSIBLE_ISOLATION_FRACTION) this.#contactSince.set(peer, now)
    this.#lastContact.set(peer, now)
  }

  /** Another process reports a view of this version. */
  noteViewVersion (version: number): void {
    if (version <= this.#highestReportedVersion) return
    this.#highestReportedVersion = version
    if (version > this.#view.version) this.#emit({ type: 'readView' })
  }

  /**
   * Called before anything else is done at `now`, to detect a pause of this process.
   *
   * After a pause every peer appears unresponsive although it was this process that did not receive, so all of them
   * get their full time again. This entry may also have been removed meanwhile: it reads the store before it accepts
   * anything.
   */
  detectPause (now: number): void {
    const paused = this.#lastEventAt !== undefined && now - this.#lastEventAt > this.#timings.suspect / 2
    this.#lastEventAt = now
    if (this.#resumedAt !== undefined && now - this.#resumedAt > VIEW_RECHECK_TIMEOUT_MILLISECONDS) this.#resumedAt = undefined
    if (!paused) return
    for (const peer of this.#lastContact.keys()) this.#lastContact.set(peer, now)
    this.#resumedAt = now
    this.#emit({ type: 'readView' })
  }

  /** Whether this process was paused and has not yet confirmed its membership. */
  get resuming (): boolean {
    return this.#guards.inForce && this.#resumedAt !== undefined
  }

  /**
   * Whether it is safe to assume that no other entry has taken over this one's job ids. Only then may this entry
   * answer that a job was not run. For an entry to be removed, some peer must have lost contact with it. Then this
   * entry has also lost contact with that peer, or receives the newer view.
   */
  inForce (now: number): boolean {
    if (!this.#guards.inForce) return true
    if (!this.joined || this.resuming || this.#highestReportedVersion > this.#view.version) return false
    return !this.#mayBeIsolated(now) || this.confirmedAge(now) <= MAX_CONFIRMATION_AGE_MILLISECONDS
  }

  /** Stops owning job ids with the next view. */
  leave (): void {
    this.#leaving = true
  }

  /** Leaves the view; called once everything has been handed over. */
  depart (): void {
    this.#departing = true
  }

  /** Merges a view from a peer or an agent; returns true when the members changed. */
  merge (view: View): boolean {
    const before = epochOf(this.#view)
    this.#view = mergeViews(this.#view, view)
    if (this.joined) this.#joined = true
    return epochOf(this.#view) !== before
  }

  /** Handles a view read from the store; a view older than one already acted on confirms nothing. */
  viewRead (view: View, revision: number, readStarted: number): boolean {
    if (view.version < this.#stored.version) return false
    this.#stored = view
    this.#revision = revision
    const changed = this.merge(view)
    if (view.version === this.#view.version) this.#confirmedAt = readStarted
    if (this.#resumedAt !== undefined && readStarted >= this.#resumedAt) this.#resumedAt = undefined
    const fenced = view.version === this.#view.version && this.#countOwnRefusals(({ at }) => readStarted >= at)
    return changed || fenced
  }

  viewWritten (): void {
    this.#writingSince = undefined
    this.#emit({ type: 'readView' })
  }

  /**
   * Handles a refused connection to the peer's own address, which means that its process has ended. A paused or
   * partitioned process does not respond at all, so a missing response never counts here.
   *
   * Before a refusal counts, the store is read: if it still names this entry, the ended peer cannot change that any
   * more. If the store is down, the refusal counts only shortly after contact with the peer. After a longer gap the
   * peer may have removed this entry and continued with others that this view does not contain.
   */
  refused (peer: Instance, by: Instance, now: number): boolean {
    if (!isMember(this.#view, peer)) return false
    if (by !== this.#self.instance) return this.#addWitness(peer, by)
    if (this.#ownRefusals.has(peer)) return false
    this.#ownRefusals.set(peer, { at: now, inContactBefore: this.#hadSteadyContact(peer, now) })
    if (!this.#guards.refusal) return this.#addWitness(peer, by)
    this.#emit({ type: 'readView' })
    return false
  }

  /** The store cannot be read: only refusals by peers that were in contact until then count. */
  viewReadFailed (): boolean {
    return this.#countOwnRefusals(({ inContactBefore }) => inContactBefore)
  }

  #countOwnRefusals (counts: (refusal: Refusal) => boolean): boolean {
    let fenced = false
    for (const [peer, refusal] of this.#ownRefusals) {
      if (!isMember(this.#view, peer) || !counts(refusal)) continue
      if (this.#addWitness(peer, this.#self.instance)) fenced = true
    }
    return fenced
  }

  #addWitness (peer: Instance, by: Instance): boolean {
    const witnesses = this.#refusedBy.get(peer) ?? new Set<Instance>()
    const first = !witnesses.has(by)
    witnesses.add(by)
    this.#refusedBy.set(peer, witnesses)
    if (first && by === this.#self.instance) this.#announceRefused(peer)
    return this.#fenceWhenUnanimous(peer, witnesses)
  }

  /**
   * Whether the peer was in contact until now, and for some time. Messages held back by a partition arrive all at once
   * when it heals and prove no contact in between.
   */
  #hadSteadyContact (peer: Instance, now: number): boolean {
    if (this.resuming || this.#highestReportedVersion > this.#view.version) return false
    const { suspect } = this.#timings
    const contactDuration = now - (this.#contactSince.get(peer) ?? now)
    return contactDuration >= suspect && now - (this.#lastContact.get(peer) ?? Number.NEGATIVE_INFINITY) <= suspect
  }

  tick (now: number): void {
    const interval = this.#mayBeIsolated(now) ? POSSIBLE_ISOLATION_READ_INTERVAL_MILLISECONDS : this.#timings.viewRead
    if (now - this.#lastReadAt >= interval) {
      this.#lastReadAt = now
      this.#emit({ type: 'readView' })
    }
    this.#proposeView(now)
  }

  /** Whether this peer has been without contact for longer than the suspicion time. */
  suspects (peer: Instance, now: number): boolean {
    if (this.#ownRefusals.has(peer)) return true
    const lastContact = this.#lastContact.get(peer)
    if (lastContact === undefined) {
      this.#lastContact.set(peer, now)
      return false
    }
    return now - lastContact > this.#timings.suspect
  }

  #fenceWhenUnanimous (peer: Instance, witnesses: ReadonlySet<Instance>): boolean {
    const others = liveMembers(this.#view).filter(member => member.instance !== peer)
    const all = others.every(member => witnesses.has(member.instance))
    if (!all || !this.joined) return false
    return this.merge({ ...this.#view, fenced: [...this.#view.fenced, peer] })
  }

  /** Whether some peer has not responded for so long that this entry may itself be isolated. */
  #mayBeIsolated (now: number): boolean {
    const timeout = this.#timings.suspect * POSSIBLE_ISOLATION_FRACTION
    return liveMembers(this.#view).some(({ instance }) => instance !== this.#self.instance && now - (this.#lastContact.get(instance) ?? now) > timeout)
  }

  #proposeView (now: number): void {
    if (this.#revision === undefined || this.removed) return
    if (this.#writingSince !== undefined && now - this.#writingSince < WRITE_TIMEOUT_MILLISECONDS) return
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
    const unresponsive = this.#removablePeers(now)
    if (unresponsive.length > 0) return withoutMembers(stored, unresponsive)
    if (stored.members.length !== liveMembers(stored).length) return withoutMembers(stored, [])
    if (this.#leaving && !this.leavingPublished) return withLeaving(stored, this.#self.instance)
    return undefined
  }

  /** Unresponsive peers whose removal this entry is due to request. */
  #removablePeers (now: number): Instance[] {
    const others = liveMembers(this.#view).filter(member => member.instance !== this.#self.instance)
    const unresponsive = others.filter(member => this.suspects(member.instance, now)).map(member => member.instance)
    if (unresponsive.length === 0) return []
    const responsive = liveMembers(this.#view).map(member => member.instance).filter(instance => !unresponsive.includes(instance))
    const delay = responsive.indexOf(this.#self.instance) * RANK_DELAY_MILLISECONDS + this.#minorityDelay(others, now)
    const knownToOthers = this.#knownToOthers || !this.#guards.acquaintance
    const timeout = knownToOthers ? this.#timings.suspect + delay : this.#timings.retention
    return unresponsive.filter(peer => this.#timeSinceContact(peer, now) > timeout)
  }

  /**
   * Extra time that an entry waits when most of the others do not respond, since it is then more likely to be the
   * isolated one. It may also fail to receive while the others still receive from it: the delay is long enough for its
   * unresponsive links to be closed, so that the others lose contact and remove it first. As the only entry in the view
   * it would serve no caller.
   */
  #minorityDelay (others: readonly Member[], now: number): number {
    const missed = others.filter(member => this.#timeSinceContact(member.instance, now) > this.#timings.suspect * MISSED_CONTACT_FRACTION)
    return missed.length * 2 > others.length && others.length > 1 ? this.#timings.suspect * MINORITY_DELAY_FACTOR : 0
  }

  #timeSinceContact (peer: Instance, now: number): number {
    if (this.#ownRefusals.has(peer)) return Number.POSITIVE_INFINITY
    return now - (this.#lastContact.get(peer) ?? now)
  }
}
