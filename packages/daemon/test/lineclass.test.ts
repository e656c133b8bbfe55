/** Which lines of the decision log are routine. */
import { Cause, Outcome } from '@amaranthmast/dispatch/messages'
import { expect } from 'earl'
import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'node:test'
import { LineClass, lineClassOf, ROUTINE_MESSAGES } from '../src/lineclass.ts'

const ROOT = new URL('../../../', import.meta.url)

/** Folders of the code that writes decision log lines. */
const SOURCES = ['packages/dispatch/src/', 'packages/configuration/src/', 'packages/daemon/src/', 'platform/src/']

function sourcesBut (excepted: string): string {
  const files = SOURCES.flatMap(directory => readdirSync(new URL(directory, ROOT)).map(file => `${directory}${file}`))
  return files.filter(file => !file.endsWith(excepted)).map(file => readFileSync(new URL(file, ROOT), 'utf8')).join('\n')
}

// A message that is renamed only where it is written would be classified as a change and displace the reports of changes under load.
test('every routine message is written somewhere in the code', () => {
  const sources = sourcesBut('/lineclass.ts')
  expect([...ROUTINE_MESSAGES].filter(message => !sources.includes(`'${message}'`))).toEqual([])
})

const CHANGES = [
  'target lost', 'target silent', 'target found', 'target clear', 'task ended', 'orphaned run stopped', 'tasks of an entry stopped', 'start refused', 'start out of contact',
  'task to be placed again', 'task moved', 'tasks of a silent agent ended', 'further submission cancelled', 'agent silent', 'entry linked', 'entry unlinked',
  'woke from a suspension', 'fenced, token raised', 'a new incarnation of the target announced itself', 'evacuations in force'
]

test('lines that explain a second run of a task are not routine', () => {
  expect(CHANGES.filter(message => lineClassOf(message, { cause: Cause.TargetLost }) !== LineClass.Change)).toEqual([])
})

test('a task that found its target full is routine, one that failed for another cause is not', () => {
  const classes = [Cause.Full, Cause.Unanswered, Cause.Stopped, Cause.None].map(cause => lineClassOf('task ended', { cause }))
  expect(classes).toEqual([LineClass.Routine, LineClass.Change, LineClass.Change, LineClass.Change])
})

// The tasks of a queue that always fails are placed again as often as they start.
test('a task that failed by itself is routine, one that was lost or not started is not', () => {
  const classes = [Outcome.Failed, Outcome.Gone, Outcome.NotStarted].map(outcome => lineClassOf('task to be placed again', { outcome, cause: Cause.None }))
  expect(classes).toEqual([LineClass.Routine, LineClass.Change, LineClass.Change])
})
