/**
 * Tracks which data centres are evacuated: nothing is started there until operators revert it.
 *
 * Entries read the state from the store, and send it to each other and to the agents. States that arrive by several
 * ways are ordered by the revision of the store, so that an older one never replaces a newer one.
 */

/** The evacuated data centres as of one revision of the store. */
export interface EvacuationState {
  revision: number
  dataCentres: readonly string[]
}

export class Evacuations {
  #revision = 0
  #dataCentres: ReadonlySet<string> = new Set()

  /** The newest state received; undefined before the first. */
  get state (): EvacuationState | undefined {
    return this.#revision === 0 ? undefined : { revision: this.#revision, dataCentres: [...this.#dataCentres] }
  }

  get revision (): number {
    return this.#revision
  }

  has (dataCentre: string | undefined): boolean {
    return dataCentre !== undefined && this.#dataCentres.has(dataCentre)
  }

  /** Stores a state unless a newer one is known. Returns whether the set of evacuated data centres changed. */
  learn ({ revision, dataCentres }: EvacuationState): boolean {
    if (revision <= this.#revision) return false
    const first = this.#revision === 0
    this.#revision = revision
    if (!first && this.matches(dataCentres)) return false
    this.#dataCentres = new Set(dataCentres)
    return true
  }

  /** Whether exactly these data centres are evacuated. */
  matches (dataCentres: readonly string[]): boolean {
    return dataCentres.length === this.#dataCentres.size && dataCentres.every(dataCentre => this.#dataCentres.has(dataCentre))
  }
}
