/** Guards of an entry against concurrent runs of one task, and against runs of cancelled jobs. */
export interface FleetGuards {
  /** Tasks at an unresponsive agent count as ended only once they must have been stopped. */
  silence: boolean
  /** Tasks of an agent's earlier incarnation count as ended only once the new incarnation has cleared the target. */
  cleared: boolean
  /** Stops are sent again on a new link, since the previous link may have lost them. */
  stopAgain: boolean
  /** Nothing is echoed on a new link before the agent's announcement, and thus before those stops. */
  announcedEcho: boolean
  /** A cancelled job is not started when it is submitted again. */
  cancelMemory: boolean
  /** Cancellations are sent to the other entries. */
  cancelNews: boolean
  /** Cancellations are acknowledged once they are stored, and jobs accepted once the stored ones are known. */
  cancelStored: boolean
  /** Capacity granted to a task that has been placed elsewhere meanwhile is returned. */
  grantedOnce: boolean
}

export const ALL_FLEET_GUARDS: Readonly<FleetGuards> = { silence: true, cleared: true, stopAgain: true, announcedEcho: true, cancelMemory: true, cancelNews: true, cancelStored: true, grantedOnce: true }
