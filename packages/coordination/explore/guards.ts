/** The guards that can be switched off, by name. */
import type { AgentGuards } from '../src/agentguards.ts'
import type { EntryGuards } from '../src/entrycontext.ts'
import type { Guards } from './processes.ts'
import { ALL_AGENT_GUARDS } from '../src/agentguards.ts'
import { ALL_ENTRY_GUARDS } from '../src/entrycontext.ts'
import { Action } from './schedule.ts'

export const GUARD_NAMES: string[] = [...Object.keys(ALL_ENTRY_GUARDS), ...Object.keys(ALL_AGENT_GUARDS)]

/** Every guard on but one. */
export function guardsWithout (name: string | undefined): Guards {
  const entry: EntryGuards = { ...ALL_ENTRY_GUARDS }
  const agent: AgentGuards = { ...ALL_AGENT_GUARDS }
  if (name !== undefined && name in entry) entry[name as keyof EntryGuards] = false
  if (name !== undefined && name in agent) agent[name as keyof AgentGuards] = false
  return { entry, agent }
}

/** The traps that a guard is for, made likelier in the search without it. */
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

/** Steps to look for when this guard is switched off. */
export function focusOf (name: string | undefined): readonly Action[] {
  return name === undefined ? [] : FOCUS[name] ?? []
}
