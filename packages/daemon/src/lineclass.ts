/** Classifies the lines of the decision log as routine lines or as reports of a change. */
import { Cause, Outcome } from '@amaranthmast/dispatch/messages'

export enum LineClass {
  /** Written once for each job, task, request or message, so that there are many under load. */
  Routine = 'routine',
  /** Reports a change of the process's state, or a run that did not end as expected. */
  Change = 'change'
}

export const ROUTINE_MESSAGES: ReadonlySet<string> = new Set([
  'job taken',
  'tasks placed',
  'job ended',
  'job refused',
  'job given up',
  'job not taken',
  'answer broken off',
  'queue not known, the configuration may be out of date',
  'message of an unknown kind ignored'
])

/** A full target causes one line for each caller that competes for its capacity. */
const ROUTINE_CAUSES: ReadonlySet<unknown> = new Set([Cause.Full])

/** The target has reported the end of the run: a queue whose tasks fail by themselves causes one line for each. */
const ROUTINE_OUTCOMES: ReadonlySet<unknown> = new Set([Outcome.Failed])

export function lineClassOf (what: string, fields: Readonly<Record<string, unknown>>): LineClass {
  const routine = ROUTINE_MESSAGES.has(what) || ROUTINE_CAUSES.has(fields['cause']) || ROUTINE_OUTCOMES.has(fields['outcome'])
  return routine ? LineClass.Routine : LineClass.Change
}
