/** What an entry tells the others: whether it may give out room, and how much of it is free. */
import type { Peers } from './peers.ts'
import type { RoomMap } from './roommap.ts'
import type { MemberFacts, RoomMessage } from './roommessages.ts'
import { hashString } from '@amaranthmast/coordination/rendezvous'
import { MEMBER_INTERVAL_MILLISECONDS, CAPACITY_CHANGE_FRACTION, CAPACITY_REPORT_INTERVAL_MILLISECONDS } from './defaults.ts'
import { MEMBERS_EACH_SECOND, NEAR_WEIGHT, ROOM_BEAT_MILLISECONDS, ROOM_NEIGHBOURS } from './partitiondefaults.ts'
import { drawOf } from './partitions.ts'

export interface RoomNewsParts {
  /** Name of this entry. */
  name: string
  dataCentre: string
  partitions: boolean
  map: RoomMap
  peers: Peers
  /** Free processors of a group, in thousandths of a core. */
  freeOf: (group: string) => number
  tell: (peer: string, message: RoomMessage) => void
}

export class RoomNews {
  readonly #parts: RoomNewsParts
  /** As the others were told last. */
  #toldAble = false
  #memberToldAt = Number.NEGATIVE_INFINITY
  readonly #toldRooms = new Map<string, number>()
  #roomToldAt = Number.NEGATIVE_INFINITY
  readonly #neighbourNames = new Set<string>()
  #beatAt = Number.NEGATIVE_INFINITY

  constructor (parts: RoomNewsParts) {
    this.#parts = parts
  }

  /** Tells the others at once when this entry may give out room, or no longer may; repeats it while it gives out some. */
  tellFacts (own: MemberFacts, now: number): void {
    const { map, name } = this.#parts
    const allocates = map.groups.some(group => map.allocatorOf(group) === name)
    if (own.able === this.#toldAble && (!allocates || now - this.#memberToldAt < this.memberInterval)) return
    this.#toldAble = own.able
    this.#memberToldAt = now
    this.#tellAll({ type: 'member', ...own })
  }

  /** Time between two such messages, in milliseconds. */
  get memberInterval (): number {
    const { partitions, peers } = this.#parts
    return partitions ? MEMBER_INTERVAL_MILLISECONDS * Math.max(1, peers.names.length / MEMBERS_EACH_SECOND) : MEMBER_INTERVAL_MILLISECONDS
  }

  tellRooms (now: number): void {
    const { map, name, partitions, freeOf } = this.#parts
    if (now - this.#roomToldAt < CAPACITY_REPORT_INTERVAL_MILLISECONDS) return
    this.#roomToldAt = now
    if (partitions) return this.#tellNeighbours(now)
    for (const group of map.groups) {
      if (map.allocatorOf(group) !== name) continue
      const free = freeOf(group)
      if (this.#changed(group, free)) this.#tellAll({ type: 'room', group, free })
    }
  }

  /** A few others hear of the room of this entry's partition, and that it is there. */
  #tellNeighbours (now: number): void {
    const { map, name, freeOf, tell } = this.#parts
    if (map.allocatorOf(name) !== name) return
    const free = freeOf(name)
    if (!this.#changed(name, free) && now - this.#beatAt < ROOM_BEAT_MILLISECONDS) return
    this.#beatAt = now
    for (const peer of this.#neighbours()) tell(peer, { type: 'room', group: name, free })
  }

  /** Those that are told already stay: they take silence for a sign that this entry is gone. */
  #neighbours (): Iterable<string> {
    const { name, dataCentre, peers } = this.#parts
    for (const peer of this.#neighbourNames) if (!peers.has(peer)) this.#neighbourNames.delete(peer)
    if (this.#neighbourNames.size >= Math.min(ROOM_NEIGHBOURS, peers.names.length)) return this.#neighbourNames
    const hash = hashString(name)
    const drawn = peers.names.map(peer => ({ peer, place: drawOf(hash, peer, peers.dataCentreOf(peer) === dataCentre ? NEAR_WEIGHT : 1) }))
    drawn.sort((one, other) => one.place - other.place)
    for (const { peer } of drawn) if (this.#neighbourNames.size < ROOM_NEIGHBOURS) this.#neighbourNames.add(peer)
    return this.#neighbourNames
  }

  #changed (group: string, free: number): boolean {
    const told = this.#toldRooms.get(group)
    if (told !== undefined && Math.abs(free - told) <= CAPACITY_CHANGE_FRACTION * told) return false
    this.#toldRooms.set(group, free)
    return true
  }

  #tellAll (message: RoomMessage): void {
    for (const peer of this.#parts.peers.names) this.#parts.tell(peer, message)
  }
}
