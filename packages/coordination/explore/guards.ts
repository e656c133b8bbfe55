/** The guards that can be switched off, by name. */
import type { AgentGuards } from '../src/agentguards.ts'
import type { EntryGuards } from '../src/entrycontext.ts'
import type { Guards } from './processes.ts'
import { ALL_AGENT_GUARDS } from '../src/agentguards.ts'
import { ALL_ENTRY_GUARDS } from '../src/entrycontext.ts'
import { Action } from './schedule.ts'

export const GUARD_NAMES: string[] = [...Object.keys(ALL_ENTRY_GUARDS), ...Object.keys(ALL_AGENT_GUARDS)]

/** All guards on, except the named one. */
export function guardsWithout (name: string | undefined): Guards {
  const entry: EntryGuards = { ...ALL_ENTRY_GUARDS }
  const agent: AgentGuards = { ...ALL_AGENT_GUARDS }
  if (name !== undefined && name in entry) entry[name as keyof EntryGuards] = false
  if (name !== undefined && name in agent) agent[name as keyof AgentGuards] = false
  return { entry, agent }
}

/** The actions against which a guard protects. A search without the guard makes them more likely. */
const FOCUS: Record<string, readonly Action[]> = {
  rooted: [Action.HideNewAgent],
  isolation: [Action.SplitAndSubmitBoth],
  acquaintance: [Action.JoinBehindCut],
  refusal: [Action.CutRunnerWithAgent, Action.CrashRunnerAndResubmit],
  inForce: [Action.PauseRunnerAndResubmit, Action.Resubmit],
  release: [Action.CrashRunnerAndResubmit, Action.JoinEntry, Action.Resubmit],
  fence: [Action.PauseRunnerAndResubmit, Action.CutRunnerWithAgent],
  takeover: [Action.CrashRunnerAndResubmit],
  secondMemory: [Action.CrashBothAndResubmit],
  attempt: [Action.Repeat],
  incarnation: [Action.Repeat, Action.ReplaceAgent],
  submission: [Action.Repeat]
}

/** Actions that a search without this guard focuses on. */
export function focusOf (name: string | undefined): readonly Action[] {
  return name === undefined ? [] : FOCUS[name] ?? []
}
