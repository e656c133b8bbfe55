/** The daemon in the agent role: connects the decision logic to the target, the entries and the store. */
import { Agent } from '@amaranthmast/coordination/agent'
import type { AgentEffect, AgentEvent } from '@amaranthmast/coordination/agenttypes'
import { AgentState } from '@amaranthmast/coordination/agenttypes'
import { DEFAULT_TIMINGS } from '@amaranthmast/coordination/defaults'
import type { TargetDescription } from '@amaranthmast/coordination/messages'
import { QUEUE_PER_SLOT } from '@amaranthmast/coordination/schedulingdefaults'
import { Slots } from '@amaranthmast/coordination/slots'
import { KeyValueClient } from '@amaranthmast/store/client'
import type { AgentSettings } from '@amaranthmast/settings/settingstypes'
import type { Result } from 'neverthrow'
import { setTimeout as pause } from 'node:timers/promises'
import { FLUSH_MILLISECONDS, TICK_MILLISECONDS } from './defaults.ts'
import { Entries } from './entries.ts'
import type { Daemon, Environment } from './environment.ts'
import { Exposition } from './exposition.ts'
import type { ListenError } from './listen.ts'
import type { EffectHandlers } from './loop.ts'
import { Loop, runLoop } from './loop.ts'
import { Direction, ProcessMetrics } from './metrics.ts'
import { Seeds } from './seeds.ts'
import { linkTimeout } from './silence.ts'
import { StatusPort } from './status.ts'
import { TargetClient } from './targets.ts'
import { plainView } from './viewcodec.ts'
import { ViewReader } from './viewreader.ts'

export class AgentDaemon implements Daemon {
  readonly #environment: Environment
  readonly #settings: AgentSettings
  readonly #loop = new Loop<AgentEvent>()
  readonly #metrics = new ProcessMetrics()
  readonly #client: KeyValueClient
  readonly #viewReader: ViewReader
  readonly #seeds: Seeds
  readonly #entries: Entries
  readonly #target: TargetClient
  readonly #status: StatusPort
  readonly #agent: Agent
  readonly #linkTimeout: number
  #state = AgentState.Joining

  readonly #handlers: EffectHandlers<AgentEffect> = {
    sendEntry: ({ entry, message }) => {
      this.#metrics.message('entry', Direction.Sent, message.case)
      this.#entries.send(entry, message)
    },
    startTask: ({ task, dispatch }) => this.#target.start(task, dispatch),
    abortTask: ({ task }) => this.#target.abort(task),
    connectEntries: ({ entries }) => this.#entries.connect(entries),
    readView: () => { this.#viewReader.read() },
    stateChanged: ({ state, detail }) => {
      this.#state = state
      this.#environment.log.info({ state, detail }, 'state changed')
    },
    note: ({ what, fields }) => this.#environment.log.info(fields, what),
    stopped: () => this.#loop.end()
  }

  constructor (settings: AgentSettings, environment: Environment) {
    const { instance, log, now, random } = environment
    const post = (event: AgentEvent) => this.#loop.post(event)
    const timings = { ...DEFAULT_TIMINGS, ...settings.timings }
    this.#linkTimeout = linkTimeout(timings)
    this.#settings = settings
    this.#environment = environment
    this.#client = new KeyValueClient({ endpoints: settings.store.endpoints, timeoutMilliseconds: settings.store.timeoutMilliseconds, random, now })
    this.#viewReader = new ViewReader({ client: this.#client, settings: settings.store, log, now, random }, event => {
      if (event.type === 'viewRead') post({ type: 'viewRead', view: event.view })
      else this.#requestViewFromSeeds()
    })
    this.#seeds = new Seeds(environment, settings.seeds)
    this.#entries = new Entries(environment, event => this.#received(event))
    this.#target = new TargetClient(settings.target.url, settings.target.slots, post, now)
    const health = { ready: () => this.#state === AgentState.Serving, state: () => this.#state }
    this.#status = new StatusPort({ ...health, metrics: () => this.#metricsText(), status: () => this.#statusPage() })
    const target = describeTarget(settings)
    this.#agent = new Agent({ instance, target, slots: new Slots({ ...target, queueLimit: target.slots * QUEUE_PER_SLOT }), timings })
  }

  /** Starts the status listener and returns its port. */
  async listen (): Promise<Result<number, ListenError>> {
    return await this.#status.listen(this.#settings.status.host, this.#settings.status.port)
  }

  async run (): Promise<void> {
    const timer = setInterval(() => this.#tick(), TICK_MILLISECONDS)
    try {
      await runLoop(this.#loop, this.#agent, this.#handlers, this.#environment.now)
    } finally {
      clearInterval(timer)
    }
  }

  stop (): void {
    this.#loop.post({ type: 'stopOrdered' })
  }

  unfinished (): Readonly<Record<string, number>> {
    return this.#sizes()
  }

  async close (): Promise<void> {
    this.#seeds.stop()
    this.#entries.finish()
    await pause(FLUSH_MILLISECONDS)
    this.#status.close()
    await this.#target.close()
    await this.#client.close()
  }

  async #requestViewFromSeeds (): Promise<void> {
    const view = await this.#seeds.view()
    if (view !== undefined) this.#loop.post({ type: 'viewRead', view })
  }

  #tick (): void {
    this.#entries.sweep(this.#environment.now(), this.#linkTimeout)
    this.#loop.post({ type: 'tick' })
  }

  #received (event: AgentEvent): void {
    if (event.type === 'entryMessage') this.#metrics.message('entry', Direction.Received, event.message.case)
    this.#loop.post(event)
  }

  #sizes (): Record<string, number> {
    return { entries: this.#entries.size, calls: this.#target.size }
  }

  #metricsText (): string {
    const exposition = new Exposition()
    this.#metrics.expose(exposition, this.#state, this.#sizes())
    return exposition.text()
  }

  #statusPage (): unknown {
    const core = this.#agent.status()
    return {
      role: this.#settings.role,
      id: this.#settings.id,
      instance: this.#environment.instance,
      dataCentre: this.#settings.dataCentre,
      rack: this.#settings.rack,
      target: describeTarget(this.#settings),
      sizes: this.#sizes(),
      storeCalls: this.#client.calls,
      ...core,
      view: plainView(core.view)
    }
  }
}

function describeTarget ({ id, dataCentre, rack, target }: AgentSettings): TargetDescription {
  const { provider, services, slots, accelerators, memoryMegabytes } = target
  return { target: id, provider, services, slots, accelerators, memoryMegabytes, dataCentre, rack }
}
