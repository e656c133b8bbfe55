/** Updates that an entry sends to the others: whether it may allocate capacity, and how much is free. */
import type { Peers } from './peers.ts'
import type { AllocatorMap } from './allocatormap.ts'
import type { MemberFacts, AllocationMessage } from './peermessages.ts'
import { hashString } from '@amaranthmast/coordination/rendezvous'
import { MEMBER_INTERVAL_MILLISECONDS, CAPACITY_CHANGE_FRACTION, CAPACITY_REPORT_INTERVAL_MILLISECONDS } from './defaults.ts'
import { MEMBER_MESSAGES_PER_SECOND, LOCAL_WEIGHT, MAX_UPDATE_INTERVAL_MILLISECONDS, MAX_UPDATE_RECIPIENTS } from './partitiondefaults.ts'
import { drawRank } from './partitions.ts'

export interface AllocationUpdatesDependencies {
  /** Name of this entry. */
  name: string
  dataCentre: string
  partitions: boolean
  map: AllocatorMap
  peers: Peers
  /** Free processors of a group, in thousandths of a core. */
  freeOf: (group: string) => number
  tell: (peer: string, message: AllocationMessage) => void
}

export class AllocationUpdates {
  readonly #dependencies: AllocationUpdatesDependencies
  /** The `able` flag that was last sent. */
  #sentAble = false
  #memberSentAt = Number.NEGATIVE_INFINITY
  readonly #sentFreeCapacity = new Map<string, number>()
  #freeCapacityCheckedAt = Number.NEGATIVE_INFINITY
  readonly #recipients = new Set<string>()
  #partitionUpdateSentAt = Number.NEGATIVE_INFINITY

  constructor (dependencies: AllocationUpdatesDependencies) {
    this.#dependencies = dependencies
  }

  /** Sends the facts of this entry to all others: immediately when `able` changes, and periodically while it allocates capacity. */
  sendFacts (own: MemberFacts, now: number): void {
    const { map, name } = this.#dependencies
    const allocates = map.groups.some(group => map.allocatorOf(group) === name)
    if (own.able === this.#sentAble && (!allocates || now - this.#memberSentAt < this.memberInterval)) return
    this.#sentAble = own.able
    this.#memberSentAt = now
    this.#sendToAll({ type: 'member', ...own })
  }

  /** Time between two periodic member messages, in milliseconds. */
  get memberInterval (): number {
    const { partitions, peers } = this.#dependencies
    return partitions ? MEMBER_INTERVAL_MILLISECONDS * Math.max(1, peers.names.length / MEMBER_MESSAGES_PER_SECOND) : MEMBER_INTERVAL_MILLISECONDS
  }

  sendFreeCapacity (now: number): void {
    const { map, name, partitions, freeOf } = this.#dependencies
    if (now - this.#freeCapacityCheckedAt < CAPACITY_REPORT_INTERVAL_MILLISECONDS) return
    this.#freeCapacityCheckedAt = now
    if (partitions) return this.#sendPartitionUpdate(now)
    for (const group of map.groups) {
      if (map.allocatorOf(group) !== name) continue
      const free = freeOf(group)
      if (this.#changed(group, free)) this.#sendToAll({ type: 'room', group, free })
    }
  }

  /** Sends the free capacity of this entry's partition to a few others; this also keeps the entry from timing out there. */
  #sendPartitionUpdate (now: number): void {
    const { map, name, freeOf, tell } = this.#dependencies
    if (map.allocatorOf(name) !== name) return
    const free = freeOf(name)
    if (!this.#changed(name, free) && now - this.#partitionUpdateSentAt < MAX_UPDATE_INTERVAL_MILLISECONDS) return
    this.#partitionUpdateSentAt = now
    for (const peer of this.#selectRecipients()) tell(peer, { type: 'room', group: name, free })
  }

  /** Entries that receive updates of the partition. Earlier recipients stay, since they count missing updates as a failure of this entry. */
  #selectRecipients (): Iterable<string> {
    const { name, dataCentre, peers } = this.#dependencies
    for (const peer of this.#recipients) if (!peers.has(peer)) this.#recipients.delete(peer)
    if (this.#recipients.size >= Math.min(MAX_UPDATE_RECIPIENTS, peers.names.length)) return this.#recipients
    const hash = hashString(name)
    const ranked = peers.names.map(peer => ({ peer, rank: drawRank(hash, peer, peers.dataCentreOf(peer) === dataCentre ? LOCAL_WEIGHT : 1) }))
    ranked.sort((one, other) => one.rank - other.rank)
    for (const { peer } of ranked) if (this.#recipients.size < MAX_UPDATE_RECIPIENTS) this.#recipients.add(peer)
    return this.#recipients
  }

  #changed (group: string, free: number): boolean {
    const sent = this.#sentFreeCapacity.get(group)
    if (sent !== undefined && Math.abs(free - sent) <= CAPACITY_CHANGE_FRACTION * sent) return false
    this.#sentFreeCapacity.set(group, free)
    return true
  }

  #sendToAll (message: AllocationMessage): void {
    for (const peer of this.#dependencies.peers.names) this.#dependencies.tell(peer, message)
  }
}
