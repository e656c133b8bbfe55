/**
 * Simulated links between the processes of a fleet, with the daemon's behaviour: one end dials, dials
 * again with backoff, closes idle links, and probes the peer's address when a link breaks. Packets
 * lost in a partition are retransmitted after 0.2, 0.6, 1.4, 3, 6.2 and 12.6 s, as by TCP.
 */
import type { Instance } from '@amaranthmast/coordination/messages'
import { CONNECT_TIMEOUT_MILLISECONDS, PROCESS_PAUSE_MILLISECONDS, RECONNECT_BASE_PAUSE_MILLISECONDS, MAX_RECONNECT_PAUSE_MILLISECONDS, MIN_SWEEP_INTERVAL_MILLISECONDS } from '@amaranthmast/daemon/defaults'
import type { EventLoop } from './eventloop.ts'
import type { FleetProcess } from './detectionprocess.ts'
import { logUniform } from './random.ts'

/** Callbacks from the network to the fleet. */
export interface NetworkCallbacks {
  /** Returns the process of an instance. */
  process: (instance: Instance) => FleetProcess | undefined
  /** Runs a callback in a process, deferred while the process is paused. */
  deliver: (process: FleetProcess, run: () => void) => void
  /** A link is open; `dialled` is whether this process dialled it. */
  connected: (process: FleetProcess, peer: FleetProcess, dialled: boolean) => void
  /** A link has ended, or the peer's address refused a connection. */
  disconnected: (process: FleetProcess, peer: FleetProcess, refused: boolean) => void
}

/** State of a link at one of its ends. */
interface LinkEnd {
  /** Number of the connection, the same at both ends. */
  connection: number
  /** Whether anything has arrived since the last sweep. */
  receivedSinceSweep: boolean
  lastReceivedAt: number
}

/** One-way latency, in milliseconds. */
const NETWORK_LATENCY = { low: 0.5, high: 2 }
/** Times after the first transmission at which a packet or a connection request is retransmitted, in milliseconds. */
const RETRANSMISSIONS = [200, 600, 1_400, 3_000, 6_200, 12_600]
const CONNECT_RETRANSMISSIONS = [1_000, 3_000, 7_000]

/** Simulates the links between processes. */
export class DetectionNetwork {
  readonly #loop: EventLoop
  readonly #random: () => number
  readonly #callbacks: NetworkCallbacks
  /** Link ends by owner, then by peer. */
  readonly #links = new Map<Instance, Map<Instance, LinkEnd>>()
  readonly #lossUntil = new Map<string, number>()
  readonly #delayUntil = new Map<string, { until: number, milliseconds: number }>()
  readonly #lastArrivals = new Map<string, number>()
  readonly #lastSweeps = new Map<Instance, number>()
  readonly #pendingDials = new Set<string>()
  readonly #idleTimeout: number
  #connections = 0

  /** @param idleTimeout time without received data after which a link is closed, in milliseconds */
  constructor (loop: EventLoop, random: () => number, idleTimeout: number, callbacks: NetworkCallbacks) {
    this.#idleTimeout = idleTimeout
    this.#loop = loop
    this.#random = random
    this.#callbacks = callbacks
  }

  /** Drops all packets from one instance to another until the instant `until`. */
  cut (from: Instance, to: Instance, until: number): void {
    this.#lossUntil.set(pairKey(from, to), until)
  }

  /** Delays packets from one instance to another by up to `milliseconds` until the instant `until`. */
  lag (from: Instance, to: Instance, milliseconds: number, until: number): void {
    this.#delayUntil.set(pairKey(from, to), { until, milliseconds })
  }

  /** Sets the instances that a process maintains links to. Between entries, the greater instance id dials; agents always dial. */
  setPeers (process: FleetProcess, peers: readonly Instance[]): void {
    const dropped = [...process.wanted].filter(peer => !peers.includes(peer))
    process.wanted = new Set(peers)
    for (const peer of dropped) this.#close(process.instance, peer)
    for (const peer of peers) if (this.#dials(process, peer)) this.#dial(process, peer, 0)
  }

  /** Sends a message on the link to a peer. It is dropped when there is no link, or when the connection ends before it arrives. */
  send (from: Instance, to: Instance, receive: (receiver: FleetProcess) => void): void {
    const link = this.#linkEnd(from, to)
    if (link === undefined) return
    this.#transmit(from, to, link.connection, receiver => {
      const end = this.#linkEnd(to, from)
      if (end === undefined || end.connection !== link.connection) return
      end.receivedSinceSweep = true
      receive(receiver)
    })
  }

  /** Breaks all connections of a process that has ended. */
  ended (process: FleetProcess): void {
    for (const [peer, { connection }] of this.#links.get(process.instance) ?? []) {
      this.#transmit(process.instance, peer, connection, other => this.#handleBroken(other, process, connection))
    }
    this.#links.delete(process.instance)
  }

  /** Breaks a connection at both ends, as a TCP reset does. */
  reset (one: Instance, other: Instance): void {
    this.#close(one, other)
  }

  /**
   * Closes idle links, at most twice a second. After a pause of the process itself, no link
   * counts as idle, because received data may be waiting.
   */
  closeIdleLinks (process: FleetProcess): void {
    const { now } = this.#loop
    const last = this.#lastSweeps.get(process.instance) ?? now
    if (now - last < MIN_SWEEP_INTERVAL_MILLISECONDS && this.#lastSweeps.has(process.instance)) return
    this.#lastSweeps.set(process.instance, now)
    for (const [peer, end] of this.#links.get(process.instance) ?? []) {
      if (end.receivedSinceSweep || now - last > PROCESS_PAUSE_MILLISECONDS) end.lastReceivedAt = now
      end.receivedSinceSweep = false
      if (now - end.lastReceivedAt > this.#idleTimeout) this.#close(process.instance, peer)
    }
  }

  #linkEnd (owner: Instance, peer: Instance): LinkEnd | undefined {
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
    const key = pairKey(process.instance, peer)
    if (this.#pendingDials.has(key) || this.#linkEnd(process.instance, peer) !== undefined) return
    this.#pendingDials.add(key)
    const wait = failures === 0 ? 0 : maxReconnectWait(failures) * (0.5 + this.#random() / 2)
    this.#loop.after(wait, () => this.#callbacks.deliver(process, () => {
      this.#pendingDials.delete(key)
      if (process.wanted.has(peer) && this.#linkEnd(process.instance, peer) === undefined) this.#connect(process, peer, failures)
    }))
  }

  #connect (process: FleetProcess, peer: Instance, failures: number): void {
    const connection = this.#newConnection()
    const key = pairKey(process.instance, peer)
    this.#pendingDials.add(key)
    let finished = false
    const end = (run: () => void) => {
      if (finished) return
      finished = true
      this.#pendingDials.delete(key)
      run()
    }
    const retry = () => this.#callbacks.deliver(process, () => this.#dial(process, peer, failures + 1))
    this.#loop.after(CONNECT_TIMEOUT_MILLISECONDS, () => end(retry))
    const target = this.#callbacks.process(peer)
    this.#transmitConnectRequest(process.instance, peer, () => {
      if (target === undefined || !target.alive) {
        this.#transmit(peer, process.instance, connection, () => end(() => { this.#reportRefused(process, peer); retry() }))
        return
      }
      this.#callbacks.deliver(target, () => {
        if (finished) return
        // The empty first frame is sent before any message that opening the link triggers.
        this.#transmit(peer, process.instance, connection, () => end(() => this.#open(process, target, connection, true)))
        this.#open(target, process, connection, false)
      })
    })
  }

  #open (process: FleetProcess, peer: FleetProcess, connection: number, dialled: boolean): void {
    if (this.#linkEnd(process.instance, peer.instance) !== undefined) this.#callbacks.disconnected(process, peer, false)
    const ends = this.#links.get(process.instance) ?? new Map<Instance, LinkEnd>()
    this.#links.set(process.instance, ends)
    ends.set(peer.instance, { connection, receivedSinceSweep: true, lastReceivedAt: this.#loop.now })
    this.#callbacks.connected(process, peer, dialled)
  }

  /** Closes the connection at this end and sends a packet that closes it at the other. */
  #close (own: Instance, peer: Instance): void {
    const process = this.#callbacks.process(own)
    const other = this.#callbacks.process(peer)
    const link = this.#linkEnd(own, peer)
    if (process === undefined || other === undefined || link === undefined) return
    this.#transmit(own, peer, link.connection, receiver => this.#handleBroken(receiver, process, link.connection))
    this.#handleBroken(process, other, link.connection)
  }

  #handleBroken (process: FleetProcess, peer: FleetProcess, connection: number): void {
    if (this.#linkEnd(process.instance, peer.instance)?.connection !== connection) return
    this.#links.get(process.instance)?.delete(peer.instance)
    this.#callbacks.disconnected(process, peer, false)
    if (!process.wanted.has(peer.instance)) return
    if (this.#dials(process, peer.instance)) this.#dial(process, peer.instance, 1)
    else this.#probe(process, peer, 0)
  }

  /** Probes the peer's address until a link is open again. Run by the end that does not dial. */
  #probe (process: FleetProcess, peer: FleetProcess, failures: number): void {
    if (!process.alive || !process.wanted.has(peer.instance) || this.#linkEnd(process.instance, peer.instance) !== undefined) return
    this.#transmitConnectRequest(process.instance, peer.instance, () => {
      if (!peer.alive) this.#transmit(peer.instance, process.instance, this.#newConnection(), () => this.#reportRefused(process, peer.instance))
    })
    const wait = CONNECT_TIMEOUT_MILLISECONDS / 2 + maxReconnectWait(failures)
    this.#loop.after(wait, () => this.#callbacks.deliver(process, () => this.#probe(process, peer, failures + 1)))
  }

  #reportRefused (process: FleetProcess, peer: Instance): void {
    const other = this.#callbacks.process(peer)
    if (other !== undefined && process.wanted.has(peer)) this.#callbacks.disconnected(process, other, true)
  }

  /** Delivers a packet to a process. Packets of one connection arrive in order. */
  #transmit (from: Instance, to: Instance, connection: number, receive: (receiver: FleetProcess) => void): void {
    const key = `${connection}|${from}`
    const at = Math.max(this.#arrivalTime(pairKey(from, to), RETRANSMISSIONS), this.#lastArrivals.get(key) ?? 0)
    this.#lastArrivals.set(key, at)
    this.#loop.at(at, () => {
      const receiver = this.#callbacks.process(to)
      if (receiver !== undefined) this.#callbacks.deliver(receiver, () => receive(receiver))
    })
  }

  /** Delivers a connection request, which is not ordered after other packets. */
  #transmitConnectRequest (from: Instance, to: Instance, arrive: () => void): void {
    this.#loop.at(this.#arrivalTime(pairKey(from, to), CONNECT_RETRANSMISSIONS), arrive)
  }

  #arrivalTime (key: string, retransmissions: readonly number[]): number {
    const { now } = this.#loop
    const end = this.#lossUntil.get(key) ?? 0
    const delay = this.#delayUntil.get(key)
    const extra = delay !== undefined && now < delay.until ? delay.milliseconds * this.#random() : 0
    const latency = logUniform(this.#random, NETWORK_LATENCY.low, NETWORK_LATENCY.high) + extra
    if (now >= end) return now + latency
    const retry = retransmissions.map(wait => now + wait).find(instant => instant >= end)
    return (retry ?? end) + latency
  }
}

function maxReconnectWait (failures: number): number {
  return Math.min(RECONNECT_BASE_PAUSE_MILLISECONDS * 2 ** failures, MAX_RECONNECT_PAUSE_MILLISECONDS)
}

function pairKey (from: Instance, to: Instance): string {
  return `${from}|${to}`
}
