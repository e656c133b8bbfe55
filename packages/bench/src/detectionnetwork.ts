/**
 * Links between the processes of a fleet, as the daemon keeps them: dialled by one end, dialled
 * again after a growing pause, closed when silent, asked about at the peer's own address when they
 * break. Packets that meet a cut are sent again after 0.2, 0.6, 1.4, 3 and 6.2 s, as TCP does.
 */
import type { Instance } from '@amaranthmast/coordination/messages'
import { CONNECT_TIMEOUT_MILLISECONDS, PROCESS_PAUSE_MILLISECONDS, RECONNECT_BASE_PAUSE_MILLISECONDS, MAX_RECONNECT_PAUSE_MILLISECONDS, MIN_SWEEP_INTERVAL_MILLISECONDS } from '@amaranthmast/daemon/defaults'
import type { EventLoop } from './eventloop.ts'
import type { FleetProcess } from './detectionprocess.ts'
import { logUniform } from './random.ts'

/** What the network needs of the fleet. */
export interface NetworkEnds {
  process: (instance: Instance) => FleetProcess | undefined
  /** Runs something in a process, later when it is paused. */
  deliver: (process: FleetProcess, run: () => void) => void
  connected: (process: FleetProcess, peer: FleetProcess, dialled: boolean) => void
  disconnected: (process: FleetProcess, peer: FleetProcess, refused: boolean) => void
}

/** One end of a link as its process sees it. */
interface LinkEnd {
  /** Both ends of one connection have the same number. */
  connection: number
  heard: boolean
  lastHeard: number
}

const LEG = { low: 0.5, high: 2 }
/** Waits before a packet is sent again, and before a request for a connection is. */
const RETRANSMISSIONS = [200, 600, 1_400, 3_000, 6_200, 12_600]
const CONNECT_RETRANSMISSIONS = [1_000, 3_000, 7_000]

export class DetectionNetwork {
  readonly #loop: EventLoop
  readonly #random: () => number
  readonly #ends: NetworkEnds
  /** Ends of links by owner, then by peer. */
  readonly #links = new Map<Instance, Map<Instance, LinkEnd>>()
  readonly #cutUntil = new Map<string, number>()
  readonly #lagUntil = new Map<string, { until: number, milliseconds: number }>()
  readonly #arrivals = new Map<string, number>()
  readonly #swept = new Map<Instance, number>()
  readonly #dialling = new Set<string>()
  readonly #silence: number
  #connections = 0

  /** @param silence time after which a link on which nothing arrives is closed, in milliseconds */
  constructor (loop: EventLoop, random: () => number, silence: number, ends: NetworkEnds) {
    this.#silence = silence
    this.#loop = loop
    this.#random = random
    this.#ends = ends
  }

  /** Loses what goes from one instance to another until then. */
  cut (from: Instance, to: Instance, until: number): void {
    this.#cutUntil.set(pair(from, to), until)
  }

  /** Delays what goes from one instance to another until then. */
  lag (from: Instance, to: Instance, milliseconds: number, until: number): void {
    this.#lagUntil.set(pair(from, to), { until, milliseconds })
  }

  /** Keeps links to these instances. Between entries the greater one dials; agents always dial. */
  want (process: FleetProcess, peers: readonly Instance[]): void {
    const dropped = [...process.wanted].filter(peer => !peers.includes(peer))
    process.wanted = new Set(peers)
    for (const peer of dropped) this.#close(process.instance, peer)
    for (const peer of peers) if (this.#dials(process, peer)) this.#dial(process, peer, 0)
  }

  send (from: Instance, to: Instance, receive: (receiver: FleetProcess) => void): void {
    const link = this.#end(from, to)
    if (link === undefined) return
    this.#transmit(from, to, link.connection, receiver => {
      const end = this.#end(to, from)
      if (end === undefined || end.connection !== link.connection) return
      end.heard = true
      receive(receiver)
    })
  }

  /** A process has ended: its connections break, and its address refuses. */
  ended (process: FleetProcess): void {
    for (const [peer, { connection }] of this.#links.get(process.instance) ?? []) {
      this.#transmit(process.instance, peer, connection, other => this.#broken(other, process, connection))
    }
    this.#links.delete(process.instance)
  }

  /** Breaks a connection at both ends, as a reset does. */
  reset (one: Instance, other: Instance): void {
    this.#close(one, other)
  }

  /** Closes silent links, twice a second; after a pause of the process itself none counts as silent. */
  sweep (process: FleetProcess): void {
    const { now } = this.#loop
    const last = this.#swept.get(process.instance) ?? now
    if (now - last < MIN_SWEEP_INTERVAL_MILLISECONDS && this.#swept.has(process.instance)) return
    this.#swept.set(process.instance, now)
    for (const [peer, end] of this.#links.get(process.instance) ?? []) {
      if (end.heard || now - last > PROCESS_PAUSE_MILLISECONDS) end.lastHeard = now
      end.heard = false
      if (now - end.lastHeard > this.#silence) this.#close(process.instance, peer)
    }
  }

  #end (owner: Instance, peer: Instance): LinkEnd | undefined {
    return this.#links.get(owner)?.get(peer)
  }

  #newConnection (): number {
    this.#connections += 1
    return this.#connections
  }

  #dials (process: FleetProcess, peer: Instance): boolean {
    return process.agent !== undefined || process.instance > peer
  }

  #dial (process: FleetProcess, peer: Instance, failures: number): void {
    const key = pair(process.instance, peer)
    if (this.#dialling.has(key) || this.#end(process.instance, peer) !== undefined) return
    this.#dialling.add(key)
    const wait = failures === 0 ? 0 : longestWait(failures) * (0.5 + this.#random() / 2)
    this.#loop.after(wait, () => this.#ends.deliver(process, () => {
      this.#dialling.delete(key)
      if (process.wanted.has(peer) && this.#end(process.instance, peer) === undefined) this.#attempt(process, peer, failures)
    }))
  }

  #attempt (process: FleetProcess, peer: Instance, failures: number): void {
    const connection = this.#newConnection()
    const key = pair(process.instance, peer)
    this.#dialling.add(key)
    let over = false
    const end = (run: () => void) => {
      if (over) return
      over = true
      this.#dialling.delete(key)
      run()
    }
    const again = () => this.#ends.deliver(process, () => this.#dial(process, peer, failures + 1))
    this.#loop.after(CONNECT_TIMEOUT_MILLISECONDS, () => end(again))
    const target = this.#ends.process(peer)
    this.#transmitRequest(process.instance, peer, () => {
      if (target === undefined || !target.alive) {
        this.#transmit(peer, process.instance, connection, () => end(() => { this.#reportRefused(process, peer); again() }))
        return
      }
      this.#ends.deliver(target, () => {
        if (over) return
        // The empty first frame leaves before anything that the new link makes the target say.
        this.#transmit(peer, process.instance, connection, () => end(() => this.#open(process, target, connection, true)))
        this.#open(target, process, connection, false)
      })
    })
  }

  #open (process: FleetProcess, peer: FleetProcess, connection: number, dialled: boolean): void {
    if (this.#end(process.instance, peer.instance) !== undefined) this.#ends.disconnected(process, peer, false)
    const ends = this.#links.get(process.instance) ?? new Map<Instance, LinkEnd>()
    this.#links.set(process.instance, ends)
    ends.set(peer.instance, { connection, heard: true, lastHeard: this.#loop.now })
    this.#ends.connected(process, peer, dialled)
  }

  /** This end breaks the connection off; the other end learns of it by a packet. */
  #close (own: Instance, peer: Instance): void {
    const process = this.#ends.process(own)
    const other = this.#ends.process(peer)
    const link = this.#end(own, peer)
    if (process === undefined || other === undefined || link === undefined) return
    this.#transmit(own, peer, link.connection, receiver => this.#broken(receiver, process, link.connection))
    this.#broken(process, other, link.connection)
  }

  #broken (process: FleetProcess, peer: FleetProcess, connection: number): void {
    if (this.#end(process.instance, peer.instance)?.connection !== connection) return
    this.#links.get(process.instance)?.delete(peer.instance)
    this.#ends.disconnected(process, peer, false)
    if (!process.wanted.has(peer.instance)) return
    if (this.#dials(process, peer.instance)) this.#dial(process, peer.instance, 1)
    else this.#probe(process, peer, 0)
  }

  /** The end that is dialled asks at the peer's own address until a link is up again. */
  #probe (process: FleetProcess, peer: FleetProcess, failures: number): void {
    if (!process.alive || !process.wanted.has(peer.instance) || this.#end(process.instance, peer.instance) !== undefined) return
    this.#transmitRequest(process.instance, peer.instance, () => {
      if (!peer.alive) this.#transmit(peer.instance, process.instance, this.#newConnection(), () => this.#reportRefused(process, peer.instance))
    })
    const wait = CONNECT_TIMEOUT_MILLISECONDS / 2 + longestWait(failures)
    this.#loop.after(wait, () => this.#ends.deliver(process, () => this.#probe(process, peer, failures + 1)))
  }

  #reportRefused (process: FleetProcess, peer: Instance): void {
    const other = this.#ends.process(peer)
    if (other !== undefined && process.wanted.has(peer)) this.#ends.disconnected(process, other, true)
  }

  /** Brings a packet to a process, in the order of sending on its connection. */
  #transmit (from: Instance, to: Instance, connection: number, receive: (receiver: FleetProcess) => void): void {
    const key = `${connection}|${from}`
    const at = Math.max(this.#arrival(pair(from, to), RETRANSMISSIONS), this.#arrivals.get(key) ?? 0)
    this.#arrivals.set(key, at)
    this.#loop.at(at, () => {
      const receiver = this.#ends.process(to)
      if (receiver !== undefined) this.#ends.deliver(receiver, () => receive(receiver))
    })
  }

  /** A request for a connection, which no earlier packet delays. */
  #transmitRequest (from: Instance, to: Instance, arrive: () => void): void {
    this.#loop.at(this.#arrival(pair(from, to), CONNECT_RETRANSMISSIONS), arrive)
  }

  #arrival (key: string, retransmissions: readonly number[]): number {
    const { now } = this.#loop
    const end = this.#cutUntil.get(key) ?? 0
    const lag = this.#lagUntil.get(key)
    const extra = lag !== undefined && now < lag.until ? lag.milliseconds * this.#random() : 0
    const leg = logUniform(this.#random, LEG.low, LEG.high) + extra
    if (now >= end) return now + leg
    const retry = retransmissions.map(wait => now + wait).find(instant => instant >= end)
    return (retry ?? end) + leg
  }
}

function longestWait (failures: number): number {
  return Math.min(RECONNECT_BASE_PAUSE_MILLISECONDS * 2 ** failures, MAX_RECONNECT_PAUSE_MILLISECONDS)
}

function pair (from: Instance, to: Instance): string {
  return `${from}|${to}`
}
