/** `history`: lists the latest versions and their changes. */
import type { StoredConfiguration } from '@amaranthmast/settings/configurationfile'
import type { Change } from '@amaranthmast/settings/difference'
import { diffConfigurations, formatChanges } from '@amaranthmast/settings/difference'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Arguments, Command, Context, Report } from './command.ts'
import { versionOf } from './configurationstore.ts'
import type { ToolError } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { STORE_OPTIONS } from './options.ts'

/** Version in the history; `changes` is undefined if the previous version is not kept. */
interface HistoryEntry {
  version: number
  appliedAt: string
  applyId: string
  changes: Change[] | undefined
}

async function listHistory (context: Context, { limit }: Arguments): Promise<Result<Report, ToolError>> {
  const current = await context.configurations.current()
  if (current.isErr()) return err(current.error)
  const last = versionOf(current.value)
  const versions = Array.from({ length: Math.min(limit, last) + 1 }, (_, index) => last - index)
  const kept: Array<StoredConfiguration | undefined> = []
  for (const version of versions) {
    const read = version === 0 ? ok(undefined) : await context.configurations.version(version)
    if (read.isErr()) return err(read.error)
    kept.push(read.value)
  }
  return ok(reportHistory(kept.slice(0, -1).flatMap((stored, index) => stored === undefined ? [] : [entryOf(stored, kept[index + 1])])))
}

function entryOf (stored: StoredConfiguration, previous: StoredConfiguration | undefined): HistoryEntry {
  const { version, appliedAt, applyId } = stored
  const isFirst = version === 1
  const changes = previous === undefined && !isFirst ? undefined : diffConfigurations(previous?.document, stored.document)
  return { version, appliedAt, applyId, changes }
}

function reportHistory (entries: HistoryEntry[]): Report {
  const lines = entries.length === 0 ? ['Nothing has been applied yet.'] : entries.flatMap(describeEntry)
  return { exitCode: ExitCode.Done, lines, json: { versions: entries } }
}

function describeEntry ({ version, appliedAt, applyId, changes }: HistoryEntry): string[] {
  const head = `version ${version}  ${appliedAt}  apply ${applyId}`
  if (changes === undefined) return [head, '  (the previous version is not kept)']
  if (changes.length === 0) return [head, '  (no change)']
  return [head, ...formatChanges(changes).map((line) => `  ${line}`)]
}

/** The `history` command. */
export const history: Command = {
  usage: 'history',
  summary: 'List the latest versions and their changes',
  options: [...STORE_OPTIONS, 'limit'],
  positionals: {},
  examples: [['$0 history --limit 5', 'the latest five versions']],
  run: (context, options) => new ResultAsync(listHistory(context, options))
}
