/** Faults of targets, as tables. */

/** How a target misbehaves. */
export enum FaultKind {
  /** Fails each task a few milliseconds after its start. */
  Failing = 'failing',
  /** Takes several times as long. */
  Slow = 'slow',
  /** Starts tasks and never ends them. */
  Hanging = 'hanging',
  /** Its agent's link goes and comes back. */
  Flapping = 'flapping',
  /** Refuses connections: its agent hands every task back as not started. */
  Unreachable = 'unreachable'
}

/** One fault of one target, by its number. */
export interface Fault {
  target: number
  kind: FaultKind
  from: number
  until: number
}

/** Run time of a task that the target fails. */
export const FAILING_RUN = 5

/** How many times as long a slow target takes. */
export const SLOW_FACTOR = 4

/** Time a flapping target is up, and then down. */
export const FLAP_MILLISECONDS = 1_000

/** The fault of the target at the instant, if any. */
export function faultAt (faults: readonly Fault[], target: number, instant: number): FaultKind | undefined {
  return faults.find(fault => fault.target === target && fault.from <= instant && instant < fault.until)?.kind
}
