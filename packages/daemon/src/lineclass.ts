/** Which lines of the log of decisions are routine, and which tell that something changed. */
import { Cause, Outcome } from '@amaranthmast/dispatch/messages'

export enum LineClass {
  /** There are as many as jobs, tasks, requests or messages: under load they are many. */
  Routine = 'routine',
  /** A change of what the process believes, or a run that did not end as it should. */
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

/** There are as many as there are callers who want the same room. */
const ROUTINE_CAUSES: ReadonlySet<unknown> = new Set([Cause.Full])

/** The target has listed the end of the run: there are as many as a queue has tasks that fail by themselves. */
const ROUTINE_OUTCOMES: ReadonlySet<unknown> = new Set([Outcome.Failed])

export function lineClassOf (what: string, fields: Readonly<Record<string, unknown>>): LineClass {
  const routine = ROUTINE_MESSAGES.has(what) || ROUTINE_CAUSES.has(fields['cause']) || ROUTINE_OUTCOMES.has(fields['outcome'])
  return routine ? LineClass.Routine : LineClass.Change
}
