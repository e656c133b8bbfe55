/** Ends of runs at a target, with the evidence on which an agent reports them. */
import type { Cause, Outcome } from './messages.ts'

export enum EndEvidence {
  /** The target listed the end. */
  Listed = 'listed',
  /** The target lists the run neither as running nor as ended after it confirmed the start or the stop. */
  Missing = 'missing',
  /** The target refused the start. */
  StartRefused = 'startRefused',
  /** The lease of the run expired. */
  Expired = 'lapsed',
  /** A new incarnation answers at the target's address. */
  NewIncarnation = 'otherLife',
  /** The target departs while the guard that waits for the lease (`refusals`) is switched off. */
  Assumed = 'assumed'
}

/** The end of a run as its agent reports it. */
export interface RunEnding {
  outcome: Outcome
  cause: Cause
  evidence: EndEvidence
}

/** Counts ends and orphaned runs since the start of the agent. */
export class RunEnds {
  readonly #counts = new Map<EndEvidence, number>()
  #orphanedRuns = 0

  note (evidence: EndEvidence): void {
    this.#counts.set(evidence, (this.#counts.get(evidence) ?? 0) + 1)
  }

  /** Counts a newly listed run that the agent did not start or has already reported as ended. */
  noteOrphanedRun (): void {
    this.#orphanedRuns += 1
  }

  get counts (): ReadonlyMap<EndEvidence, number> {
    return this.#counts
  }

  /** Number of orphaned runs since the start of the agent. Each may have overlapped with another run of its task. */
  get strays (): number {
    return this.#orphanedRuns
  }
}
