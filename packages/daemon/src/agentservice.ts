/** Runs a lease-based agent: connects its decision logic to the target, the entries and the store. */
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

/** Time without a link to any entry after which the agent dials the entries that it knows, in milliseconds. */
const UNLINKED_MILLISECONDS = 700

/** Time at the end of the grace period that is reserved for the exit of the process, in milliseconds. */
const EXIT_RESERVE_MILLISECONDS = 400

/** Posts the events of all adapters to one loop and executes the effects of the decision logic. */
export class AgentService {
  readonly #options: AgentServiceOptions
  readonly #loop = new Loop<AgentEvent>()
  readonly #agent: Agent
  readonly #target: TargetPort
  readonly #listener: Listener
  /** Dials entries that may not have the address of this agent; an entry that is dialled opens its own link in return. */
  readonly #entryDialer: Dialer
  readonly #suspension: SuspensionWatch
  readonly #metricsListener: MetricsListener
  readonly #lag: LoopLag
  readonly #entryAddresses = new Set<string>()
  readonly #linked = new Set<string>()
  #entriesDialledAt: number
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
    this.#entriesDialledAt = now()
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
    this.#entryDialer = new Dialer(own, { linked: () => {}, received: () => {}, unlinked: () => {} }, now)
    this.#lag = new LoopLag({ threshold: lateTurnThreshold(settings.bounds.stop), now, note: decisions.decision })
    this.#metricsListener = new MetricsListener(() => this.#metricsText(), decisions.log)
  }

  /** Runs until it has been stopped and no task is running; rejects when the program has an internal error. */
  async run (): Promise<void> {
    const { settings, store, now } = this.#options
    await this.#listener.listen(settings.host, settings.linkPort)
    this.#metricsListener.listen(settings.metrics.host, settings.metrics.port)
    store.publish({ name: settings.id, role: PeerRole.Agent, address: settings.linkAddress })
    this.#readTargetFacts()
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
    this.#entryDialer.close()
    this.#metricsListener.close()
    this.#target.close()
    await this.#options.store.close()
  }

  /** Posts an event. After a suspension of the machine, the `woke` event is posted first, ahead of anything that queued up meanwhile. */
  #post (event: AgentEvent): void {
    const asleep = this.#suspension.check()
    if (asleep > 0) this.#loop.post({ type: 'woke', asleep })
    this.#loop.post(event)
  }

  async #readTargetFacts (): Promise<void> {
    const facts = await this.#options.store.recallTarget(this.#options.settings.id)
    if (facts !== undefined) this.#post({ type: 'targetRemembered', facts })
  }

  async #readEvacuations (): Promise<void> {
    const state = await this.#options.store.readEvacuations()
    if (state !== undefined) this.#post({ type: 'evacuationsRead', state })
  }

  #tick (): void {
    this.#post({ type: 'tick' })
    this.#dialEntriesIfUnlinked()
    if (this.#stopOrderedAt === undefined) return
    if (this.#options.now() - this.#stopOrderedAt >= this.#options.settings.bounds.grace - EXIT_RESERVE_MILLISECONDS) this.#loop.end()
  }

  /** Dials the known entries when none is linked: after a restart while the store is down, no entry may have this agent's address. */
  #dialEntriesIfUnlinked (): void {
    const now = this.#options.now()
    if (this.#linked.size > 0 || now - this.#entriesDialledAt < UNLINKED_MILLISECONDS) return
    this.#entriesDialledAt = now
    const { seeds, linkPort } = this.#options.settings
    for (const address of [...seeds.map(seed => `${seed}:${linkPort}`), ...this.#entryAddresses]) this.#entryDialer.add(address)
  }

  #metricsText (): string {
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
