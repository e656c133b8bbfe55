/** Exit codes of the tool, for scripts. */
export enum ExitCode {
  /** Done, or already so. */
  Done = 0,
  /** Refused and nothing written: another apply was faster, or the store holds another base. */
  Refused = 1,
  /** The command line or the file has faults; nothing was sent. */
  BadInput = 2,
  /** The key-value service cannot be reached or refuses the call; nothing was written. */
  StoreUnavailable = 3,
  /** The apply took effect, but not every live instance confirmed it in time. */
  WaitTimedOut = 4,
  /** The answer of the key-value service was lost and could not be settled: the apply may have taken effect. */
  Unsettled = 5,
  /** No daemon could be asked. */
  NoStatus = 6
}
