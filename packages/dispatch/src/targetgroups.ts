/** Groups of targets; one entry allocates the capacity of a group. */
import { MIN_GROUP_TARGETS } from './defaults.ts'

/** Group of all targets in data centres that are too small for their own group. */
const SMALL_DATA_CENTRES = ''

export class TargetGroups {
  #sizes: ReadonlyMap<string, number> = new Map()
  #names: string[] = [SMALL_DATA_CENTRES]

  /** @param sizes number of known targets of each data centre */
  update (sizes: ReadonlyMap<string, number>): void {
    this.#sizes = sizes
    const names = new Set([...sizes.keys()].map(dataCentre => this.of(dataCentre)))
    this.#names = names.size > 0 ? [...names].sort() : [SMALL_DATA_CENTRES]
  }

  get names (): readonly string[] {
    return this.#names
  }

  /** The group of the targets in a data centre. */
  of (dataCentre: string): string {
    return (this.#sizes.get(dataCentre) ?? 0) >= MIN_GROUP_TARGETS ? dataCentre : SMALL_DATA_CENTRES
  }

  /** The group that an entry in the data centre requests from first. */
  home (dataCentre: string): string {
    const own = this.of(dataCentre)
    return this.#names.includes(own) ? own : this.#names[0] as string
  }
}
