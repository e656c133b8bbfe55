/**
 * Which data centres are evacuated: nothing is started there before the operators take that back.
 *
 * Entries read it from the store, and tell each other and the agents. The revision of the store orders what is heard by
 * several ways, so that nobody goes back to an older state.
 */

/** The evacuated data centres as of one revision of the store. */
export interface EvacuationState {
  revision: number
  dataCentres: readonly string[]
}

export class Evacuations {
  #revision = 0
  #dataCentres: ReadonlySet<string> = new Set()

  /** The newest state that was heard; undefined before the first. */
  get state (): EvacuationState | undefined {
    return this.#revision === 0 ? undefined : { revision: this.#revision, dataCentres: [...this.#dataCentres] }
  }

  get revision (): number {
    return this.#revision
  }

  has (dataCentre: string | undefined): boolean {
    return dataCentre !== undefined && this.#dataCentres.has(dataCentre)
  }

  /** Takes a state in, unless a newer one is known; tells whether other data centres are evacuated than before. */
  learn ({ revision, dataCentres }: EvacuationState): boolean {
    if (revision <= this.#revision) return false
    const first = this.#revision === 0
    this.#revision = revision
    if (!first && this.matches(dataCentres)) return false
    this.#dataCentres = new Set(dataCentres)
    return true
  }

  /** Whether just these data centres are evacuated. */
  matches (dataCentres: readonly string[]): boolean {
    return dataCentres.length === this.#dataCentres.size && dataCentres.every(dataCentre => this.#dataCentres.has(dataCentre))
  }
}
