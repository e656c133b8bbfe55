/** Runs a lease-based entry: connects its decision logic to callers, agents, other entries and the store. */
import type { EntryEffect, EntryEvent } from '@amaranthmast/dispatch/entrytypes'
import type { JobName } from '@amaranthmast/dispatch/jobname'
import type { AgentMessage } from '@amaranthmast/dispatch/messages'
import type { DispatchConfiguration, Queue } from '@amaranthmast/dispatch/queues'
import type { PeerMessage } from '@amaranthmast/dispatch/peermessages'
import type { Greeting } from '@amaranthmast/links/greeting'
import type { Link } from '@amaranthmast/links/link'
import type { CallerPort, CallerPortFactory, ServiceSettings, StorePort } from './ports.ts'
import type { GossipMessage } from './gossip.ts'
import type { DecisionLog } from './decisionlog.ts'
import type { EffectHandlers } from './loop.ts'
import { AnswerKind } from '@amaranthmast/dispatch/entrytypes'
import { Entry } from '@amaranthmast/dispatch/entry'
import { QueueTable } from '@amaranthmast/dispatch/queues'
import { policyOf } from '@amaranthmast/dispatch/schedulingsettings'
import { timingsFor } from '@amaranthmast/dispatch/timings'
import { Dialer } from '@amaranthmast/links/dialer'
import { PeerRole } from '@amaranthmast/links/greeting'
import { Listener } from '@amaranthmast/links/listener'
import { exposeConfiguration, exposeStoreCalls } from './configurationmetrics.ts'
import { Exposition } from './exposition.ts'
import { addressesOf, Gossip, isGossip } from './gossip.ts'
import { Loop, runLoop } from './loop.ts'
import { lateTurnThreshold, LoopLag } from './looplag.ts'
import { MetricsListener } from './metricslistener.ts'
import { QueueLookup } from './ports.ts'
import { JobMetrics } from './jobmetrics.ts'
import { exposeDroppedLines } from './processmetrics.ts'
import { exposeScheduling } from './schedulingmetrics.ts'
import { Ticker } from './ticker.ts'

export interface EntryServiceOptions {
  settings: ServiceSettings
  incarnation: string
  store: StorePort
  callers: CallerPortFactory
  decisions: DecisionLog
  /** Processor speed relative to other machines, as a base-2 logarithm: 1 is twice as fast. */
  strength: number
  now: () => number
}

/** How long a stopping entry serves as before, in milliseconds: the balancer probes once a second and removes an entry after two failed probes. */
const BALANCER_DETECTION_MILLISECONDS = 2500

/** How long open connections may still deliver requests after the balancer has removed the entry, in milliseconds. */
const IDLE_CONNECTION_MILLISECONDS = 1000

/** How long before the end of the grace period all waiting callers are answered, in milliseconds: sending the answers takes some milliseconds. */
const ANSWER_RESERVE_MILLISECONDS = 600

/** Time at the end of the grace period that is reserved for the exit of the process, in milliseconds. */
const EXIT_RESERVE_MILLISECONDS = 300

/** Posts the events of all adapters to one loop and executes the effects of the decision logic. */
export class EntryService {
  readonly #options: EntryServiceOptions
  readonly #loop = new Loop<EntryEvent>()
  readonly #entry: Entry
  readonly #callers: CallerPort
  readonly #agents: Dialer
  readonly #peers: Dialer
  readonly #listener: Listener
  readonly #gossip: Gossip
  readonly #metrics = new JobMetrics()
  readonly #metricsListener: MetricsListener
  readonly #lag: LoopLag
  #configuration: DispatchConfiguration | undefined
  #queues = new QueueTable([])
  #stopOrderedAt: number | undefined
  #endingPosted = false

  readonly #handlers: EffectHandlers<EntryEffect> = {
    answer: ({ request, answer }) => {
      // The caller submits the job again after this answer, so the stop messages are sent before it.
      if (answer.kind === AnswerKind.TimedOut) this.#agents.flush()
      this.#callers.answer(request, answer)
    },
    send: ({ agent, message }) => this.#agents.send(agent, message),
    tell: ({ peer, message }) => this.#peers.send(peer, message),
    unlink: ({ agent }) => this.#agents.reconnect(agent),
    storeCancellations: ({ jobs }) => { this.#storeCancellations(jobs) },
    jobEnded: effect => this.#metrics.jobEnded(effect),
    note: ({ what, fields }) => this.#options.decisions.decision(what, fields)
  }

  constructor (options: EntryServiceOptions) {
    const { settings, incarnation, decisions, now, store } = options
    this.#options = options
    this.#entry = new Entry({ name: settings.id, strength: options.strength, dataCentre: settings.dataCentre, timings: timingsFor(settings.bounds), grace: settings.bounds.grace, policy: policyOf(settings.scheduling), weights: settings.scheduling.weights })
    const own: Greeting = { role: PeerRole.Entry, name: settings.id, incarnation, address: settings.linkAddress }
    // Messages of agents are deferred by one turn: every caller that had disconnected when a ping was sent has been read by then, so its tasks are stopped before the echo.
    this.#agents = new Dialer(own, {
      linked: (peer, address) => {
        this.#gossip.agentLinked(address)
        this.#loop.postDeferred({ type: 'agentLinked', agent: peer.name, incarnation: peer.incarnation })
      },
      received: (peer, message) => this.#loop.postDeferred({ type: 'agentMessage', agent: peer.name, message: message as AgentMessage }),
      unlinked: peer => this.#loop.postDeferred({ type: 'agentUnlinked', agent: peer.name })
    }, now)
    this.#peers = new Dialer(own, {
      linked: peer => {
        this.#gossip.linked(peer.name)
        this.#loop.post({ type: 'peerLinked', peer: peer.name })
      },
      received: (peer, message) => this.#receivedFromPeer(peer, message),
      unlinked: peer => {
        this.#gossip.unlinked(peer.name)
        this.#loop.post({ type: 'peerUnlinked', peer: peer.name })
      }
    }, now)
    this.#listener = new Listener(own, {
      linked: (link, peer) => this.#inboundLinked(link, peer),
      received: (peer, message) => this.#receivedFromPeer(peer, message),
      unlinked: peer => { if (peer.role === PeerRole.Entry) this.#gossip.unlinked(peer.name) }
    })
    this.#gossip = new Gossip({
      store,
      bound: settings.bounds.configuration,
      configured: configuration => this.#applyConfiguration(configuration),
      agentFound: address => this.#agents.add(address),
      note: (what, fields) => decisions.decision(what, fields),
      send: (peer, message) => this.#sendTo(peer, message),
      now
    })
    this.#callers = options.callers({
      find: (host, path) => this.#findQueue(host, path),
      limits: () => this.#configuration?.limits,
      // Deferred by one turn: if the caller has already disconnected, the end of its connection is read right after the request.
      submitted: (request, job) => this.#loop.postDeferred({ type: 'submitted', request, job }),
      cancelAsked: (request, job, remaining) => this.#loop.postDeferred({ type: 'cancelAsked', request, job, remaining }),
      stateAsked: (request, id) => this.#loop.postDeferred({ type: 'stateAsked', request, id }),
      waiting: () => 0,
      gone: request => this.#callerDisconnected(request),
      ready: () => this.#entry.ready
    }, decisions.decision)
    this.#lag = new LoopLag({ threshold: lateTurnThreshold(settings.bounds.stop), now, note: decisions.decision })
    this.#metricsListener = new MetricsListener(() => this.#metricsText(), decisions.log)
  }

  /** Runs until it has been stopped; rejects when the program has an internal error. */
  async run (): Promise<void> {
    const { settings, store, now } = this.#options
    await this.#listener.listen(settings.host, settings.linkPort)
    await this.#callers.listen()
    this.#metricsListener.listen(settings.metrics.host, settings.metrics.port)
    store.watchOperators({
      configured: (configuration, document) => this.#gossip.offer(configuration, document),
      confirmed: at => this.#gossip.confirmed(at),
      doubted: () => this.#gossip.doubted(),
      evacuated: state => this.#loop.post({ type: 'evacuationsRead', state })
    })
    store.watchCancellations(jobs => this.#loop.post({ type: 'cancellationsRead', jobs }))
    store.watchInstances(records => {
      for (const address of addressesOf(records, PeerRole.Agent)) this.#agents.add(address)
      for (const address of addressesOf(records, PeerRole.Entry)) this.#peers.add(address)
    })
    store.publish({ name: settings.id, role: PeerRole.Entry, address: settings.linkAddress })
    for (const seed of settings.seeds) this.#peers.add(`${seed}:${settings.linkPort}`)
    const ticker = new Ticker(() => this.#tick(), () => this.#entry.busy || this.#stopOrderedAt !== undefined, this.#lag)
    ticker.start()
    try {
      await runLoop(this.#loop, this.#entry, this.#handlers, now)
    } finally {
      ticker.stop()
    }
  }

  stop (): void {
    if (this.#stopOrderedAt !== undefined) return
    this.#stopOrderedAt = this.#options.now()
    this.#loop.post({ type: 'stopOrdered' })
  }

  async close (): Promise<void> {
    this.#callers.close()
    this.#agents.close()
    this.#peers.close()
    this.#listener.close()
    this.#metricsListener.close()
    await this.#options.store.close()
  }

  #tick (): void {
    this.#loop.post({ type: 'tick' })
    this.#gossip.tick()
    if (this.#stopOrderedAt === undefined) return
    const elapsed = this.#options.now() - this.#stopOrderedAt
    if (elapsed < BALANCER_DETECTION_MILLISECONDS) return
    this.#callers.drain()
    const { grace } = this.#options.settings.bounds
    const answered = this.#endingPosted
    if (elapsed >= grace - ANSWER_RESERVE_MILLISECONDS) this.#answerWaitingCallers()
    const idle = this.#callers.open() === 0 && elapsed >= BALANCER_DETECTION_MILLISECONDS + IDLE_CONNECTION_MILLISECONDS
    if (idle || (answered && elapsed >= grace - EXIT_RESERVE_MILLISECONDS)) this.#loop.end()
  }

  /** Drops the caller's submission if it is still queued. Otherwise the disconnect is handled first in its turn, so that its tasks are stopped before any echo that would keep them alive. */
  #callerDisconnected (request: number): void {
    const [dropped] = this.#loop.withdraw(event => event.type === 'submitted' && event.request === request)
    if (dropped?.type === 'submitted') this.#options.decisions.decision('submission dropped, caller disconnected', { job: dropped.job.id })
    else this.#loop.postUrgent({ type: 'requestGone', request })
  }

  async #storeCancellations (jobs: readonly JobName[]): Promise<void> {
    if (await this.#options.store.storeCancellations(jobs)) this.#loop.post({ type: 'cancellationsStored' })
  }

  /** Answers all waiting callers and stops their tasks. Both are sent before the next tick, at which the process may exit. */
  #answerWaitingCallers (): void {
    this.#endingPosted = true
    this.#loop.post({ type: 'ending' })
  }

  #findQueue (host: string, path: string): Queue | QueueLookup {
    if (this.#configuration === undefined) return QueueLookup.Unconfigured
    const queue = this.#queues.find(host, path)
    if (queue !== undefined) return queue
    if (this.#gossip.isCurrent) return QueueLookup.Missing
    const { version, newest } = this.#gossip.status
    this.#options.decisions.decision('queue not known, the configuration may be out of date', { host, path, version, newest, age: Math.round(this.#gossip.age ?? -1) })
    return QueueLookup.Uncertain
  }

  #applyConfiguration (configuration: DispatchConfiguration): void {
    this.#configuration = configuration
    this.#queues = new QueueTable(configuration.queues)
    this.#loop.post({ type: 'configured', configuration })
  }

  /** Handles a link that was opened by the other end: agents are dialled back, other entries are kept as peers. */
  #inboundLinked (link: Link, peer: Greeting): void {
    if (peer.role === PeerRole.Agent) {
      this.#agents.add(peer.address)
      link.close('told')
      return
    }
    this.#peers.add(peer.address)
    this.#gossip.linked(peer.name)
  }

  /** Sends over the link that this entry dialled, or over the peer's link when there is no other. */
  #sendTo (peer: string, message: GossipMessage): void {
    if (this.#peers.linked.includes(peer)) this.#peers.send(peer, message)
    else this.#listener.link(peer)?.send(message)
  }

  /** Passes a message of another entry to the gossip, or to the decision logic when it is about capacity at targets. */
  #receivedFromPeer (peer: Greeting, message: unknown): void {
    if (isGossip(message)) this.#gossip.received(peer.name, message)
    else this.#loop.post({ type: 'peerMessage', peer: peer.name, message: message as PeerMessage })
  }

  #metricsText (): string {
    const exposition = new Exposition()
    const { suspects, convictions, crashes, ...sizes } = this.#entry.status()
    exposition.gauge('amaranthmast_crashes', 'Tasks suspected of crashing targets, tasks given up for it, and targets that crashed lately', Object.entries({ suspects, convictions, crashes }).map(([figure, value]) => ({ labels: { figure }, value })))
    exposition.gauge('amaranthmast_size', 'Open jobs, queued jobs, linked agents, version of the configuration, evacuated data centres, cancellations remembered and not stored yet', Object.entries(sizes).map(([kind, value]) => ({ labels: { kind }, value })))
    exposeConfiguration(exposition, this.#gossip.status, this.#gossip.age)
    exposeStoreCalls(exposition, this.#options.store.calls(), this.#options.store.ends())
    exposeDroppedLines(exposition, this.#options.decisions.dropped())
    this.#lag.expose(exposition)
    this.#metrics.expose(exposition)
    exposeScheduling(exposition, this.#options.settings.id, this.#entry.scheduling(this.#options.now()))
    return exposition.text()
  }
}
