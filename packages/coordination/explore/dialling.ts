/** The links that processes want, each dialled again and again until it is up. */
import type { Instance } from '../src/messages.ts'
import type { Chance } from './chance.ts'
import type { Network } from './network.ts'
import type { Process } from './processes.ts'
import type { Timeline } from './timeline.ts'
import { idOf } from '../src/view.ts'

export interface DiallingParts {
  timeline: Timeline
  chance: Chance
  network: Network
  process: (instance: Instance) => Process | undefined
  isEntry: (instance: Instance) => boolean
  /** The process that has this id now, if any. */
  current: (id: string) => Instance | undefined
  /** The address of `peer` has refused a connection of an entry. */
  refused: (entry: Instance, peer: Instance) => void
}

export class Dialling {
  readonly #timeline: Timeline
  readonly #chance: Chance
  readonly #network: Network
  readonly #process: (instance: Instance) => Process | undefined
  readonly #isEntry: (instance: Instance) => boolean
  readonly #current: (id: string) => Instance | undefined
  readonly #refused: (entry: Instance, peer: Instance) => void

  constructor (parts: DiallingParts) {
    this.#timeline = parts.timeline
    this.#chance = parts.chance
    this.#network = parts.network
    this.#process = parts.process
    this.#isEntry = parts.isEntry
    this.#current = parts.current
    this.#refused = parts.refused
  }

  /** The process keeps links to these instances from now on, and to no others. */
  want (process: Process, instances: Instance[]): void {
    const dropped = [...process.wanted].filter(instance => !instances.includes(instance))
    process.wanted = new Set(instances)
    for (const instance of dropped) {
      if (this.#process(instance)?.wanted.has(process.instance) !== true) this.#network.close(process.instance, instance)
    }
    this.dial(process)
  }

  dial (process: Process): void {
    if (!process.alive || process.frozen) return
    for (const instance of process.wanted) {
      if (this.#network.linked(process.instance, instance)) continue
      if (!this.#network.isolated(process.id, idOf(instance))) this.#call(process, instance)
    }
  }

  #call (process: Process, instance: Instance): void {
    const callee = this.#process(instance)
    if (callee?.alive === true) {
      if (!callee.frozen) this.#network.connect(process.instance, instance)
      return
    }
    if (!this.#isEntry(process.instance) || this.#current(idOf(instance)) !== undefined) return
    this.#timeline.after(this.#chance.between(0, 10), () => this.#refused(process.instance, instance))
  }
}
