/** Maintains the links that processes request; each is dialled repeatedly until it is up. */
import type { Instance } from '../src/messages.ts'
import type { SeededRandom } from './seededrandom.ts'
import type { Network } from './network.ts'
import type { Process } from './processes.ts'
import type { Timeline } from './timeline.ts'
import { idOf } from '../src/view.ts'

export interface DiallingDependencies {
  timeline: Timeline
  chance: SeededRandom
  network: Network
  process: (instance: Instance) => Process | undefined
  isEntry: (instance: Instance) => boolean
  /** The running process with this id, if any. */
  current: (id: string) => Instance | undefined
  /** Called when the address of `peer` refuses a connection of an entry. */
  refused: (entry: Instance, peer: Instance) => void
}

export class Dialling {
  readonly #timeline: Timeline
  readonly #chance: SeededRandom
  readonly #network: Network
  readonly #process: (instance: Instance) => Process | undefined
  readonly #isEntry: (instance: Instance) => boolean
  readonly #current: (id: string) => Instance | undefined
  readonly #refused: (entry: Instance, peer: Instance) => void

  constructor (dependencies: DiallingDependencies) {
    this.#timeline = dependencies.timeline
    this.#chance = dependencies.chance
    this.#network = dependencies.network
    this.#process = dependencies.process
    this.#isEntry = dependencies.isEntry
    this.#current = dependencies.current
    this.#refused = dependencies.refused
  }

  /**
   * Sets the instances to which the process keeps links, and closes links that neither end needs any more.
   */
  setWanted (process: Process, instances: Instance[]): void {
    const dropped = [...process.wanted].filter(instance => !instances.includes(instance))
    process.wanted = new Set(instances)
    for (const instance of dropped) {
      if (this.#process(instance)?.wanted.has(process.instance) !== true) this.#network.close(process.instance, instance)
    }
    this.dial(process)
  }

  dial (process: Process): void {
    if (!process.alive || process.paused) return
    for (const instance of process.wanted) {
      if (this.#network.linked(process.instance, instance)) continue
      if (!this.#network.isolated(process.id, idOf(instance))) this.#tryConnect(process, instance)
    }
  }

  #tryConnect (process: Process, instance: Instance): void {
    const callee = this.#process(instance)
    if (callee?.alive === true) {
      if (!callee.paused) this.#network.connect(process.instance, instance)
      return
    }
    if (!this.#isEntry(process.instance) || this.#current(idOf(instance)) !== undefined) return
    this.#timeline.after(this.#chance.between(0, 10), () => this.#refused(process.instance, instance))
  }
}
