/** The process of an agent under leases: the edges around its decision logic. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { EntryMessage } from '@amaranthmast/dispatch/messages'
import type { Greeting } from '@amaranthmast/links/greeting'
import type { DecisionLog } from './decisionlog.ts'
import type { EffectHandlers } from './loop.ts'
import type { ServiceSettings, StorePort, TargetPort, TargetPortFactory } from './ports.ts'
import { Agent } from '@amaranthmast/dispatch/agent'
import { policyOf } from '@amaranthmast/dispatch/schedulingsettings'
import { timingsFor } from '@amaranthmast/dispatch/timings'
import { Dialer } from '@amaranthmast/links/dialer'
import { PeerRole } from '@amaranthmast/links/greeting'
import { Listener } from '@amaranthmast/links/listener'
import { exposeStoreCalls } from './configurationmetrics.ts'
import { Exposition } from './exposition.ts'
import { Loop, runLoop } from './loop.ts'
import { lateTurnThreshold, LoopLag } from './looplag.ts'
import { MetricsListener } from './metricslistener.ts'
import { exposeDroppedLines } from './processmetrics.ts'
import { SuspensionWatch } from './suspension.ts'
import { Ticker } from './ticker.ts'

export interface AgentServiceOptions {
  settings: ServiceSettings
  incarnation: string
  store: StorePort
  target: TargetPortFactory
  decisions: DecisionLog
  now: () => number
  wallClock: () => number
}

/** Without a link to any entry for this long, the agent goes to those that it knows, in milliseconds. */
const LONELY_MILLISECONDS = 700

/** Part of the grace that is kept for the end of the process itself, in milliseconds. */
const END_RESERVE_MILLISECONDS = 400

export class AgentService {
  readonly #options: AgentServiceOptions
  readonly #loop = new Loop<AgentEvent>()
  readonly #agent: Agent
  readonly #target: TargetPort
  readonly #listener: Listener
  /** Visits to entries that may not know of this agent. */
  readonly #visits: Dialer
  readonly #suspension: SuspensionWatch
  readonly #metricsListener: MetricsListener
  readonly #lag: LoopLag
  readonly #entryAddresses = new Set<string>()
  readonly #linked = new Set<string>()
  #visitedAt: number
  #stopOrderedAt: number | undefined

  readonly #handlers: EffectHandlers<AgentEffect> = {
    start: effect => this.#target.start(effect),
    stop: effect => this.#target.stop(effect),
    poll: effect => this.#target.poll(effect),
    send: ({ entry, message }) => this.#listener.link(nameOf(entry))?.send(message),
    unlink: ({ entry }) => this.#listener.link(nameOf(entry))?.close('out of contact'),
    rememberTarget: ({ facts }) => this.#options.store.rememberTarget(facts),
    readEvacuations: () => this.#readEvacuations(),
    note: ({ what, fields }) => this.#options.decisions.decision(what, fields),
    stopped: () => this.#loop.end()
  }

  constructor (options: AgentServiceOptions) {
    const { settings, incarnation, decisions, now, wallClock } = options
    this.#options = options
    this.#visitedAt = now()
    this.#agent = new Agent({ timings: timingsFor(settings.bounds), stop: settings.bounds.stop, drain: settings.bounds.drain, wallClock, policy: policyOf(settings.scheduling) })
    this.#suspension = new SuspensionWatch(now, wallClock)
    const own: Greeting = { role: PeerRole.Agent, name: settings.id, incarnation, address: settings.linkAddress }
    const post = (event: AgentEvent): void => this.#post(event)
    this.#target = options.target(post)
    this.#listener = new Listener(own, {
      linked: (_link, peer) => {
        this.#linked.add(peer.name)
        this.#entryAddresses.add(peer.address)
        post({ type: 'entryLinked', entry: `${peer.name}#${peer.incarnation}` })
      },
      received: (peer, message) => post({ type: 'entryMessage', entry: `${peer.name}#${peer.incarnation}`, message: message as EntryMessage }),
      unlinked: peer => {
        this.#linked.delete(peer.name)
        post({ type: 'entryUnlinked', entry: `${peer.name}#${peer.incarnation}` })
      }
    })
    this.#visits = new Dialer(own, { linked: () => {}, received: () => {}, unlinked: () => {} }, now)
    this.#lag = new LoopLag({ threshold: lateTurnThreshold(settings.bounds.stop), now, note: decisions.decision })
    this.#metricsListener = new MetricsListener(() => this.#exposed(), decisions.log)
  }

  /** Runs until it was told to stop and nothing runs any more; rejects with a fault of the program. */
  async run (): Promise<void> {
    const { settings, store, now } = this.#options
    await this.#listener.listen(settings.host, settings.linkPort)
    this.#metricsListener.listen(settings.metrics.host, settings.metrics.port)
    store.publish({ name: settings.id, role: PeerRole.Agent, address: settings.linkAddress })
    this.#recallTarget()
    const ticker = new Ticker(() => this.#tick(), () => this.#agent.busy || this.#stopOrderedAt !== undefined, this.#lag)
    ticker.start()
    try {
      await runLoop(this.#loop, this.#agent, this.#handlers, now)
    } finally {
      ticker.stop()
    }
  }

  stop (): void {
    if (this.#stopOrderedAt !== undefined) return
    this.#stopOrderedAt = this.#options.now()
    this.#post({ type: 'stopOrdered' })
  }

  async close (): Promise<void> {
    this.#listener.close()
    this.#visits.close()
    this.#metricsListener.close()
    this.#target.close()
    await this.#options.store.close()
  }

  /** A suspension is told before anything that waited behind it. */
  #post (event: AgentEvent): void {
    const asleep = this.#suspension.check()
    if (asleep > 0) this.#loop.post({ type: 'woke', asleep })
    this.#loop.post(event)
  }

  async #recallTarget (): Promise<void> {
    const facts = await this.#options.store.recallTarget(this.#options.settings.id)
    if (facts !== undefined) this.#post({ type: 'targetRemembered', facts })
  }

  async #readEvacuations (): Promise<void> {
    const state = await this.#options.store.readEvacuations()
    if (state !== undefined) this.#post({ type: 'evacuationsRead', state })
  }

  #tick (): void {
    this.#post({ type: 'tick' })
    this.#visitIfLonely()
    if (this.#stopOrderedAt === undefined) return
    if (this.#options.now() - this.#stopOrderedAt >= this.#options.settings.bounds.grace - END_RESERVE_MILLISECONDS) this.#loop.end()
  }

  /** No entry has dialled: after a restart while the store is down, none may know where this agent is. */
  #visitIfLonely (): void {
    const now = this.#options.now()
    if (this.#linked.size > 0 || now - this.#visitedAt < LONELY_MILLISECONDS) return
    this.#visitedAt = now
    const { seeds, linkPort } = this.#options.settings
    for (const address of [...seeds.map(seed => `${seed}:${linkPort}`), ...this.#entryAddresses]) this.#visits.add(address)
  }

  #exposed (): string {
    const exposition = new Exposition()
    const { tasks, entries, cleared, silent, ends, strays } = this.#agent.status()
    const sizes = { tasks, entries, cleared: Number(cleared), silent: Number(silent) }
    exposition.gauge('amaranthmast_size', 'Tasks at the target, linked entries, state of the target', Object.entries(sizes).map(([kind, value]) => ({ labels: { kind }, value })))
    exposition.counter('amaranthmast_run_ends_total', 'Runs that counted as ended, by the evidence', [...ends].map(([evidence, value]) => ({ labels: { evidence }, value })))
    exposition.counter('amaranthmast_stray_runs_total', 'Runs listed by the target of which nobody here knows', [{ labels: {}, value: strays }])
    exposeStoreCalls(exposition, this.#options.store.calls(), this.#options.store.ends())
    exposeDroppedLines(exposition, this.#options.decisions.dropped())
    this.#lag.expose(exposition)
    return exposition.text()
  }
}

function nameOf (instance: string): string {
  return instance.slice(0, instance.lastIndexOf('#'))
}
