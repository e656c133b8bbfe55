/** Guards of the agent, which a proof can switch off to show that they are needed. */

/** @internal */
export interface AgentGuards {
  /** Refuse entries that are not members of the view. */
  fence: boolean
  /** Ignore dispatches meant for another incarnation. */
  incarnation: boolean
  /** Look dispatches up in the ledger. */
  ledger: boolean
  /** Start nothing while isolated from the view. */
  isolation: boolean
  /** Start nothing before every entry of the view has answered the agent. */
  rooted: boolean
}

/** Every guard on. @internal */
export const ALL_AGENT_GUARDS: AgentGuards = { fence: true, incarnation: true, ledger: true, isolation: true, rooted: true }
