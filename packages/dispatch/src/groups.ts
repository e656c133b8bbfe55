/** Groups of targets whose room is given out by one entry. */
import { MIN_GROUP_TARGETS } from './defaults.ts'

/** The group of all targets in data centres that are too small for one of their own. */
const REST = ''

export class TargetGroups {
  #sizes: ReadonlyMap<string, number> = new Map()
  #names: string[] = [REST]

  /** @param sizes known targets of each data centre */
  update (sizes: ReadonlyMap<string, number>): void {
    this.#sizes = sizes
    const names = new Set([...sizes.keys()].map(dataCentre => this.of(dataCentre)))
    this.#names = names.size > 0 ? [...names].sort() : [REST]
  }

  get names (): readonly string[] {
    return this.#names
  }

  /** The group of the targets in a data centre. */
  of (dataCentre: string): string {
    return (this.#sizes.get(dataCentre) ?? 0) >= MIN_GROUP_TARGETS ? dataCentre : REST
  }

  /** The group from which an entry in the data centre is served first. */
  home (dataCentre: string): string {
    const own = this.of(dataCentre)
    return this.#names.includes(own) ? own : this.#names[0] as string
  }
}
