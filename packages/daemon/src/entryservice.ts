/** The process of an entry under leases: the edges around its decision logic. */
import type { EntryEffect, EntryEvent } from '@amaranthmast/dispatch/entrytypes'
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
  /** Speed of the processor against other machines', in doublings. */
  strength: number
  now: () => number
}

/** How long a stopping entry goes on as before: the balancer looks once a second and needs two misses, in milliseconds. */
const BALANCER_MILLISECONDS = 2500

/** How long open connections may still bring requests after the balancer has left, in milliseconds. */
const IDLE_MILLISECONDS = 1000

/** Before the end of the grace, whoever still waits is answered, in milliseconds: answers take a few to leave. */
const ANSWER_RESERVE_MILLISECONDS = 600

/** Part of the grace that is kept for the end of the process itself, in milliseconds. */
const END_RESERVE_MILLISECONDS = 300

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
  #endingTold = false

  readonly #handlers: EffectHandlers<EntryEffect> = {
    answer: ({ request, answer }) => {
      // The caller submits the job again after this answer: the stops leave before it.
      if (answer.kind === AnswerKind.TimedOut) this.#agents.flush()
      this.#callers.answer(request, answer)
    },
    send: ({ agent, message }) => this.#agents.send(agent, message),
    tell: ({ peer, message }) => this.#peers.send(peer, message),
    unlink: ({ agent }) => this.#agents.renew(agent),
    jobEnded: effect => this.#metrics.jobEnded(effect),
    note: ({ what, fields }) => this.#options.decisions.decision(what, fields)
  }

  constructor (options: EntryServiceOptions) {
    const { settings, incarnation, decisions, now, store } = options
    this.#options = options
    this.#entry = new Entry({ name: settings.id, strength: options.strength, dataCentre: settings.dataCentre, timings: timingsFor(settings.bounds), grace: settings.bounds.grace, policy: policyOf(settings.scheduling), weights: settings.scheduling.weights })
    const own: Greeting = { role: PeerRole.Entry, name: settings.id, incarnation, address: settings.linkAddress }
    // A ping is echoed only after the ends of all callers that had gone when it was sent: they are read by the next turn.
    this.#agents = new Dialer(own, {
      linked: (peer, address) => {
        this.#gossip.agentLinked(address)
        this.#loop.postLater({ type: 'agentLinked', agent: peer.name, incarnation: peer.incarnation })
      },
      received: (peer, message) => this.#loop.postLater({ type: 'agentMessage', agent: peer.name, message: message as AgentMessage }),
      unlinked: peer => this.#loop.postLater({ type: 'agentUnlinked', agent: peer.name })
    }, now)
    this.#peers = new Dialer(own, {
      linked: peer => {
        this.#gossip.linked(peer.name)
        this.#loop.post({ type: 'peerLinked', peer: peer.name })
      },
      received: (peer, message) => this.#told(peer, message),
      unlinked: peer => {
        this.#gossip.unlinked(peer.name)
        this.#loop.post({ type: 'peerUnlinked', peer: peer.name })
      }
    }, now)
    this.#listener = new Listener(own, {
      linked: (link, peer) => this.#visited(link, peer),
      received: (peer, message) => this.#told(peer, message),
      unlinked: peer => { if (peer.role === PeerRole.Entry) this.#gossip.unlinked(peer.name) }
    })
    this.#gossip = new Gossip({
      store,
      bound: settings.bounds.configuration,
      configured: configuration => this.#configured(configuration),
      agentFound: address => this.#agents.add(address),
      note: (what, fields) => decisions.decision(what, fields),
      send: (peer, message) => this.#sendTo(peer, message),
      now
    })
    this.#callers = options.callers({
      find: (host, path) => this.#find(host, path),
      limits: () => this.#configuration?.limits,
      // A caller that has given up before its request is read has ended its connection behind it.
      submitted: (request, job) => this.#loop.postLater({ type: 'submitted', request, job }),
      cancelAsked: (request, id) => this.#loop.postLater({ type: 'cancelAsked', request, id }),
      stateAsked: (request, id) => this.#loop.postLater({ type: 'stateAsked', request, id }),
      waiting: () => 0,
      gone: request => this.#callerGone(request),
      ready: () => this.#entry.ready
    }, decisions.decision)
    this.#lag = new LoopLag({ threshold: lateTurnThreshold(settings.bounds.stop), now, note: decisions.decision })
    this.#metricsListener = new MetricsListener(() => this.#exposed(), decisions.log)
  }

  /** Runs until it was told to stop; rejects with a fault of the program. */
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
    const stopping = this.#options.now() - this.#stopOrderedAt
    if (stopping < BALANCER_MILLISECONDS) return
    this.#callers.drain()
    const { grace } = this.#options.settings.bounds
    const answered = this.#endingTold
    if (stopping >= grace - ANSWER_RESERVE_MILLISECONDS) this.#answerAll()
    const idle = this.#callers.open() === 0 && stopping >= BALANCER_MILLISECONDS + IDLE_MILLISECONDS
    if (idle || (answered && stopping >= grace - END_RESERVE_MILLISECONDS)) this.#loop.end()
  }

  /** Stops for its tasks leave before any echo that keeps tasks alive; a submission that is not handled yet never is. */
  #callerGone (request: number): void {
    const [dropped] = this.#loop.withdraw(event => event.type === 'submitted' && event.request === request)
    if (dropped?.type === 'submitted') this.#options.decisions.decision('submission dropped, its caller has gone', { job: dropped.job.id })
    else this.#loop.postFirst({ type: 'requestGone', request })
  }

  /** The answers and the stops leave before the next tick, at which the process may end. */
  #answerAll (): void {
    this.#endingTold = true
    this.#loop.post({ type: 'ending' })
  }

  #find (host: string, path: string): Queue | QueueLookup {
    if (this.#configuration === undefined) return QueueLookup.Unconfigured
    const queue = this.#queues.find(host, path)
    if (queue !== undefined) return queue
    if (this.#gossip.isCurrent) return QueueLookup.Missing
    const { version, newest } = this.#gossip.status
    this.#options.decisions.decision('queue not known, the configuration may be out of date', { host, path, version, newest, age: Math.round(this.#gossip.age ?? -1) })
    return QueueLookup.Uncertain
  }

  #configured (configuration: DispatchConfiguration): void {
    this.#configuration = configuration
    this.#queues = new QueueTable(configuration.queues)
    this.#loop.post({ type: 'configured', configuration })
  }

  /** An agent that nobody has dialled yet, or another entry, has come here. */
  #visited (link: Link, peer: Greeting): void {
    if (peer.role === PeerRole.Agent) {
      this.#agents.add(peer.address)
      link.close('told')
      return
    }
    this.#peers.add(peer.address)
    this.#gossip.linked(peer.name)
  }

  /** Over the link dialled here, or the one dialled there when it is the only one. */
  #sendTo (peer: string, message: GossipMessage): void {
    if (this.#peers.linked.includes(peer)) this.#peers.send(peer, message)
    else this.#listener.link(peer)?.send(message)
  }

  /** A message of another entry: on what both know, or on room at the targets. */
  #told (peer: Greeting, message: unknown): void {
    if (isGossip(message)) this.#gossip.received(peer.name, message)
    else this.#loop.post({ type: 'peerMessage', peer: peer.name, message: message as PeerMessage })
  }

  #exposed (): string {
    const exposition = new Exposition()
    const { suspects, convictions, crashes, ...sizes } = this.#entry.status()
    exposition.gauge('amaranthmast_crashes', 'Tasks suspected of crashing targets, tasks given up for it, and targets that crashed lately', Object.entries({ suspects, convictions, crashes }).map(([figure, value]) => ({ labels: { figure }, value })))
    exposition.gauge('amaranthmast_size', 'Open jobs, queued jobs, linked agents, version of the configuration, evacuated data centres, cancellations remembered', Object.entries(sizes).map(([kind, value]) => ({ labels: { kind }, value })))
    exposeConfiguration(exposition, this.#gossip.status, this.#gossip.age)
    exposeStoreCalls(exposition, this.#options.store.calls(), this.#options.store.ends())
    exposeDroppedLines(exposition, this.#options.decisions.dropped())
    this.#lag.expose(exposition)
    this.#metrics.expose(exposition)
    exposeScheduling(exposition, this.#options.settings.id, this.#entry.scheduling(this.#options.now()))
    return exposition.text()
  }
}
