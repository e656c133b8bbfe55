/** Faults of simulated targets. */

/** Type of a target's fault. */
export enum FaultKind {
  /** Fails each task {@link FAILED_RUN_MILLISECONDS} after its start. */
  Failing = 'failing',
  /** Runs each task for {@link SLOWDOWN_FACTOR} times its run time. */
  Slow = 'slow',
  /** Starts tasks that do not end before the fault does. */
  Hanging = 'hanging',
  /** The agent's link disconnects and reconnects periodically. */
  Flapping = 'flapping',
  /** Refuses connections: its agent returns every task as not started. */
  Unreachable = 'unreachable'
}

/** A fault of one target over an interval of virtual time. */
export interface Fault {
  /** Number of the target. */
  target: number
  kind: FaultKind
  /** Start, in milliseconds, inclusive. */
  from: number
  /** End, in milliseconds, exclusive. */
  until: number
}

/** Run time of a task on a failing target. */
export const FAILED_RUN_MILLISECONDS = 5

/** Factor by which a slow target extends run times. */
export const SLOWDOWN_FACTOR = 4

/** Time that the link of a flapping target is down, and then up. */
export const FLAP_INTERVAL_MILLISECONDS = 1_000

/** Returns the fault of a target at an instant, if there is one. */
export function faultAt (faults: readonly Fault[], target: number, instant: number): FaultKind | undefined {
  return faults.find(fault => fault.target === target && fault.from <= instant && instant < fault.until)?.kind
}
