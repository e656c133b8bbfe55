/** How runs at a target ended, and on which evidence they counted as ended. */
import type { Cause, Outcome } from './messages.ts'

export enum EndEvidence {
  /** The target listed its end. */
  Listed = 'listed',
  /** The target lists it neither as running nor as ended, though it had confirmed its start or stop before. */
  Missing = 'missing',
  /** The target refused to start it. */
  StartRefused = 'startRefused',
  /** The lease that it ran under has lapsed. */
  Lapsed = 'lapsed',
  /** Another life answers at the target's address. */
  OtherLife = 'otherLife',
  /** The target departs, with the guard switched off that waits for the lease. */
  Assumed = 'assumed'
}

/** The end of a run as its agent takes it. */
export interface RunEnding {
  outcome: Outcome
  cause: Cause
  evidence: EndEvidence
}

/** Counts of one agent since its start. */
export class RunEnds {
  readonly #counts = new Map<EndEvidence, number>()
  #strays = 0

  note (evidence: EndEvidence): void {
    this.#counts.set(evidence, (this.#counts.get(evidence) ?? 0) + 1)
  }

  /** Polls begin to list a run that counted as ended, or that nobody here asked for. */
  noteStray (): void {
    this.#strays += 1
  }

  get counts (): ReadonlyMap<EndEvidence, number> {
    return this.#counts
  }

  /** Strays since the start of the agent: each may have run beside another run of its task. */
  get strays (): number {
    return this.#strays
  }
}
