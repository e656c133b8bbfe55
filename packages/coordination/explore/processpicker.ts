/** Selects processes that are alive by the numbers in a step. */
import type { Job } from '../src/messages.ts'
import type { AgentProcess, EntryProcess } from './processes.ts'
import type { World } from './world.ts'
import { ownerOf } from '../src/rendezvous.ts'
import { liveMembers } from '../src/view.ts'

/** The item that a number in a step selects. */
export function pick<Item> (items: readonly Item[], number: number): Item | undefined {
  return items[number % Math.max(1, items.length)]
}

export class ProcessPicker {
  readonly #world: World

  constructor (world: World) {
    this.#world = world
  }

  entry (number: number): EntryProcess | undefined {
    return pick(this.#world.liveEntries(), number)
  }

  agent (number: number): AgentProcess | undefined {
    return pick(this.#world.liveAgents(), number)
  }

  any (number: number): EntryProcess | AgentProcess | undefined {
    return pick([...this.#world.liveEntries(), ...this.#world.liveAgents()], number)
  }

  /** The entry that owns the job according to the store's view, if it is alive. */
  executor (job: Job | undefined): EntryProcess | undefined {
    if (job === undefined) return undefined
    const owner = ownerOf(job.key, liveMembers(this.#world.store.view))
    const entry = owner === undefined ? undefined : this.#world.entries.get(owner)
    return entry?.alive === true ? entry : undefined
  }

  /** Ids of the live processes that are not among these. */
  others (ids: readonly string[]): string[] {
    const all = [...this.#world.liveEntries(), ...this.#world.liveAgents()].map(process => process.id)
    return all.filter(id => !ids.includes(id))
  }
}
