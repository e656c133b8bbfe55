/** The daemon in the entry role: connects the decision logic to callers, agents, peers and the store. */
import type { EntryEffect, EntryEvent } from '@amaranthmast/coordination/entrytypes'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import { Entry } from '@amaranthmast/coordination/entry'
import { EntryState } from '@amaranthmast/coordination/entrytypes'
import { TaskScheduler } from '@amaranthmast/coordination/scheduler'
import { KeyValueClient } from '@amaranthmast/store/client'
import type { EntryFrame } from '@amaranthmast/protocol/inner_pb'
import { parseConfiguration } from '@amaranthmast/settings/configurationfile'
import { publishedRecord } from '@amaranthmast/settings/publishedinstance'
import type { EntrySettings } from '@amaranthmast/settings/settingstypes'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { setTimeout as pause } from 'node:timers/promises'
import { Agents } from './agents.ts'
import { Callers } from './callers.ts'
import { FLUSH_MILLISECONDS, TICK_MILLISECONDS } from './defaults.ts'
import { EntryMetrics } from './entrymetrics.ts'
import type { Daemon, Environment } from './environment.ts'
import { Exposition } from './exposition.ts'
import { InnerListener } from './innerlistener.ts'
import type { ListenError } from './listen.ts'
import type { EffectHandlers } from './loop.ts'
import { Loop, runLoop } from './loop.ts'
import { Direction, ProcessMetrics } from './metrics.ts'
import { Peers } from './peers.ts'
import { isViewRequest, sendView } from './seeds.ts'
import { linkTimeout } from './silence.ts'
import { StatusPort } from './status.ts'
import { EntryStore } from './store.ts'
import { plainView } from './viewcodec.ts'

export class EntryDaemon implements Daemon {
  readonly #environment: Environment
  readonly #settings: EntrySettings
  readonly #loop = new Loop<EntryEvent>()
  readonly #metrics = new ProcessMetrics()
  readonly #entryMetrics = new EntryMetrics()
  readonly #client: KeyValueClient
  readonly #store: EntryStore
  readonly #agents: Agents
  readonly #peers: Peers
  readonly #callers: Callers
  readonly #inner: InnerListener
  readonly #status: StatusPort
  readonly #entry: Entry
  readonly #linkTimeout: number
  #state = EntryState.Joining
  #statusPort = 0

  readonly #handlers: EffectHandlers<EntryEffect> = {
    answer: ({ request, answer }) => this.#callers.answer(request, answer),
    lookedUp: ({ request, state, answer }) => this.#callers.lookedUp(request, state, answer),
    sendAgent: ({ agent, message }) => {
      this.#metrics.message('agent', Direction.Sent, message.case)
      this.#agents.send(agent, message)
    },
    sendPeer: ({ peer, message }) => {
      this.#metrics.message('peer', Direction.Sent, message.case)
      this.#peers.send(peer, message)
    },
    connectPeers: ({ peers }) => this.#peers.connect(peers),
    readView: () => this.#store.readView(),
    writeView: ({ view, expectedRevision }) => { this.#store.writeView(view, expectedRevision) },
    configurationAdopted: ({ configuration }) => {
      this.#environment.log.info({ version: configuration.version }, 'configuration in force')
    },
    stateChanged: ({ state, detail }) => {
      this.#state = state
      this.#environment.log.info({ state, detail }, 'state changed')
    },
    jobFinished: effect => this.#entryMetrics.jobFinished(effect),
    taskFinished: effect => this.#entryMetrics.taskFinished(effect),
    note: ({ what, fields }) => this.#environment.log.info(fields, what),
    stopped: () => this.#loop.end()
  }

  constructor (settings: EntrySettings, environment: Environment) {
    const { instance, log, now, random, wallClock } = environment
    const post = (event: EntryEvent) => this.#loop.post(event)
    const timings = { ...DEFAULT_TIMINGS, ...settings.timings }
    this.#linkTimeout = linkTimeout(timings)
    this.#settings = settings
    this.#environment = environment
    this.#client = new KeyValueClient({ endpoints: settings.store.endpoints, timeoutMilliseconds: settings.store.timeoutMilliseconds, random, now })
    this.#store = new EntryStore({ client: this.#client, settings: settings.store, log, now, random }, post)
    this.#agents = new Agents(instance, event => this.#received('agent', event))
    this.#peers = new Peers(environment, event => this.#received('peer', event))
    this.#inner = new InnerListener({
      agent: (frames, context) => isViewRequest(context) ? this.#sendView() : this.#agents.serve(frames, context),
      peer: (frames, context) => this.#peers.serve(frames, context)
    })
    const health = { ready: () => this.#state === EntryState.Serving, state: () => this.#state }
    this.#callers = new Callers(post, health)
    this.#status = new StatusPort({ ...health, metrics: () => this.#metricsText(), status: () => this.#statusPage() })
    this.#entry = new Entry({
      instance,
      address: settings.peers.address,
      dataCentre: settings.dataCentre,
      scheduler: new TaskScheduler({ random, ...settings.scheduler }),
      parseConfiguration: (document, version) => parseConfiguration(document, version).unwrapOr(undefined),
      timings,
      random,
      wallClock
    })
  }

  /**
   * Starts all listeners. The view is read only after this has succeeded.
   *
   * @returns port of the status listener
   */
  async listen (): Promise<Result<number, ListenError>> {
    const { peers, callers, status } = this.#settings
    const statusListening = await this.#status.listen(status.host, status.port)
    if (statusListening.isErr()) return err(statusListening.error)
    this.#statusPort = statusListening.value
    const results = [
      await this.#inner.listen(peers.host, peers.port),
      await this.#callers.listen(callers.host, callers.port)
    ]
    const failure = results.find(result => result.isErr())
    return failure?.isErr() ? err(failure.error) : ok(this.#statusPort)
  }

  async run (): Promise<void> {
    const timer = setInterval(() => this.#tick(), TICK_MILLISECONDS)
    this.#store.start()
    this.#store.publish(publishedRecord(this.#settings, this.#environment.instance, this.#statusPort))
    try {
      await runLoop(this.#loop, this.#entry, this.#handlers, this.#environment.now)
    } finally {
      clearInterval(timer)
    }
  }

  stop (): void {
    this.#callers.drain()
    this.#loop.post({ type: 'stopOrdered' })
  }

  unfinished (): Readonly<Record<string, number>> {
    return this.#sizes()
  }

  async close (): Promise<void> {
    this.#store.stop()
    this.#peers.finish()
    this.#agents.finish()
    await Promise.race([this.#callers.close(), pause(FLUSH_MILLISECONDS)])
    await pause(FLUSH_MILLISECONDS)
    this.#inner.close()
    this.#status.close()
    await this.#client.close()
  }

  #tick (): void {
    const now = this.#environment.now()
    this.#agents.sweep(now, this.#linkTimeout)
    this.#peers.sweep(now, this.#linkTimeout)
    this.#loop.post({ type: 'tick' })
  }

  #sendView (): AsyncGenerator<EntryFrame> {
    const { view, configurationVersion } = this.#entry.status()
    return sendView(this.#environment.instance, view, configurationVersion)
  }

  #received (link: string, event: EntryEvent): void {
    if (event.type === 'agentMessage' || event.type === 'peerMessage') this.#metrics.message(link, Direction.Received, event.message.case)
    this.#loop.post(event)
  }

  #sizes (): Record<string, number> {
    return { callers: this.#callers.size, agents: this.#agents.size, peers: this.#peers.size, evacuated: this.#entry.status().scheduler.evacuated }
  }

  #metricsText (): string {
    const exposition = new Exposition()
    this.#metrics.expose(exposition, this.#state, this.#sizes())
    this.#entryMetrics.expose(exposition)
    return exposition.text()
  }

  #statusPage (): unknown {
    const core = this.#entry.status()
    return {
      role: this.#settings.role,
      id: this.#settings.id,
      instance: this.#environment.instance,
      dataCentre: this.#settings.dataCentre,
      sizes: this.#sizes(),
      storeCalls: this.#client.calls,
      classes: this.#entryMetrics.figures(),
      ...core,
      view: plainView(core.view)
    }
  }
}
