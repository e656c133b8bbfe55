/** Exit codes of the tool, for scripts. */
export enum ExitCode {
  /** Done, or nothing to do. */
  Done = 0,
  /** Refused, nothing written: a concurrent apply came first, the store holds another base, or nothing was found. */
  Refused = 1,
  /** The command line or a file is invalid; nothing was written. */
  BadInput = 2,
  /** The key-value service cannot be reached or refuses the request; nothing was written. */
  StoreUnavailable = 3,
  /** The apply was accepted, but not every live instance confirmed it in time. */
  WaitTimedOut = 4,
  /** The answer of the key-value service was lost, so the apply may or may not have taken effect. */
  Unsettled = 5,
  /** No daemon answered. */
  NoStatus = 6
}
