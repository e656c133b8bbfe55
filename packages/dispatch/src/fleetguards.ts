/** Guards of an entry against two runs of one task. */
export interface FleetGuards {
  /** Tasks at an agent out of touch count as ended only when they must have been stopped. */
  silence: boolean
  /** Tasks of an earlier run of the agent count as ended only when its successor has cleared the target. */
  cleared: boolean
  /** Room granted to a task that has found another place meanwhile is given back. */
  grantedOnce: boolean
}

export const ALL_FLEET_GUARDS: Readonly<FleetGuards> = { silence: true, cleared: true, grantedOnce: true }
