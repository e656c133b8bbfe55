/** Guards of an entry against two runs of one task, and against runs of cancelled jobs. */
export interface FleetGuards {
  /** Tasks at an agent out of touch count as ended only when they must have been stopped. */
  silence: boolean
  /** Tasks of an earlier run of the agent count as ended only when its successor has cleared the target. */
  cleared: boolean
  /** Stops are sent again on a new link, since the link before may have lost them. */
  stopAgain: boolean
  /** Nothing is echoed on a new link before those stops. */
  announcedEcho: boolean
  /** A job that was cancelled is not begun when it is submitted again. */
  cancelMemory: boolean
  /** The other entries are told of cancellations. */
  cancelNews: boolean
  /** Room granted to a task that has found another place meanwhile is given back. */
  grantedOnce: boolean
}

export const ALL_FLEET_GUARDS: Readonly<FleetGuards> = { silence: true, cleared: true, stopAgain: true, announcedEcho: true, cancelMemory: true, cancelNews: true, grantedOnce: true }
