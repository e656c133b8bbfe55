/** Links between emulated entries. Messages stay in order, take time, and are lost when a process ends. */
import type { PeerMessage } from '@amaranthmast/dispatch/peermessages'
import type { EntryProcess } from './linkends.ts'
import type { Timeline } from './timeline.ts'

interface PeerLink {
  /** Incarnations of both processes. */
  from: number
  to: number
  /** Earliest arrival of the next message. */
  earliestArrival: number
}

/** All links between entries, one for each direction of a pair. */
export class PeerLinks {
  readonly #timeline: Timeline
  readonly #entries: readonly EntryProcess[]
  readonly #travelTime: (from: number, to: number) => number
  readonly #links = new Map<string, PeerLink>()
  /** When the cut of an entry ends, on the timeline. */
  readonly #cuts = new Map<number, number>()

  /** @param travelTime returns the travel time of the next message, in milliseconds */
  constructor (timeline: Timeline, entries: readonly EntryProcess[], travelTime: (from: number, to: number) => number) {
    this.#timeline = timeline
    this.#entries = entries
    this.#travelTime = travelTime
  }

  /** Opens missing links between entries that are running and not cut off, and replaces those of ended incarnations. */
  dial (): void {
    for (const [from, entry] of this.#entries.entries()) {
      for (const [to, other] of this.#entries.entries()) {
        if (from === to || !entry.alive || entry.frozen || !other.alive || other.frozen || this.#isCut(from) || this.#isCut(to)) continue
        const key = `${from}-${to}`
        const link = this.#links.get(key)
        if (link?.from === entry.incarnation && link.to === other.incarnation) continue
        if (link?.from === entry.incarnation) entry.post({ type: 'peerUnlinked', peer: other.name })
        this.#links.set(key, { from: entry.incarnation, to: other.incarnation, earliestArrival: 0 })
        entry.post({ type: 'peerLinked', peer: other.name })
      }
    }
  }

  cut (entry: number, milliseconds: number): void {
    this.#cuts.set(entry, this.#timeline.now + milliseconds)
  }

  /** Closes the links to an entry that has ended, after the travel time. If its machine lost power, the other entries are not notified. */
  ended (index: number, powerLost: boolean): void {
    if (powerLost) return
    const { name } = this.#entries[index] as EntryProcess
    for (const [from, entry] of this.#entries.entries()) {
      const key = `${from}-${index}`
      const link = this.#links.get(key)
      if (link === undefined) continue
      this.#links.delete(key)
      this.#timeline.after(this.#travelTime(index, from), () => { if (link.from === entry.incarnation) entry.post({ type: 'peerUnlinked', peer: name }) })
    }
  }

  send (from: number, to: number, message: PeerMessage): void {
    const link = this.#links.get(`${from}-${to}`)
    const sender = this.#entries[from] as EntryProcess
    const receiver = this.#entries[to] as EntryProcess
    if (link?.from !== sender.incarnation) return
    const { now } = this.#timeline
    const travelTime = this.#travelTime(from, to)
    const cutUntil = Math.max(this.#cuts.get(from) ?? 0, this.#cuts.get(to) ?? 0)
    link.earliestArrival = Math.max(now + travelTime, link.earliestArrival + 0.001, cutUntil + travelTime)
    this.#timeline.after(link.earliestArrival - now, () => {
      if (receiver.alive && link.to === receiver.incarnation) receiver.post({ type: 'peerMessage', peer: sender.name, message })
    })
  }

  get isAnyCut (): boolean {
    return [...this.#cuts.keys()].some(entry => this.#isCut(entry))
  }

  #isCut (entry: number): boolean {
    return (this.#cuts.get(entry) ?? 0) > this.#timeline.now
  }
}
