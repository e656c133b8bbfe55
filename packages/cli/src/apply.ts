/** `apply FILE`: replaces the configuration in force with a file, or writes nothing. */
import { diffConfigurations } from '@amaranthmast/settings/difference'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Accepted } from './applying.ts'
import { checkSize, createRaceLost, readBase, replaceBase, reportAccepted } from './applying.ts'
import { readFile } from './check.ts'
import type { Arguments, Command, Context, Report } from './command.ts'
import type { ToolError } from './errors.ts'
import { STORE_OPTIONS } from './options.ts'

async function applyFile (context: Context, options: Arguments): Promise<Result<Report, ToolError>> {
  const accepted = await acceptFile(context, options.file)
  if (accepted.isErr()) return err(accepted.error)
  return ok(await reportAccepted(context, options, accepted.value))
}

async function acceptFile (context: Context, file: string): Promise<Result<Accepted, ToolError>> {
  const document = readFile(context, file).andThen((read) => checkSize(file, read).map(() => read))
  if (document.isErr()) return err(document.error)
  const { editedFrom } = document.value
  const base = await readBase(context, editedFrom)
  if (base.isErr()) return err(base.error)
  const { stored } = base.value
  if (stored !== undefined && diffConfigurations(stored.document, document.value).length === 0) {
    return ok({ version: stored.version, latest: stored.version, applyId: undefined, changes: [] })
  }
  if (stored !== undefined && stored.version !== editedFrom) return err(await createRaceLost(context, editedFrom, stored))
  return await replaceBase(context, base.value, document.value)
}

/** The `apply` command. */
export const apply: Command = {
  usage: 'apply <file>',
  summary: 'Replace the configuration in force with a file, or change nothing',
  options: [...STORE_OPTIONS, 'wait', 'wait-seconds', 'status'],
  positionals: { file: { describe: 'The configuration file', type: 'string' } },
  examples: [
    ['$0 get > configuration.json', 'start from the configuration in force'],
    ['$0 apply configuration.json --wait', 'apply the edited file and wait until it is in force everywhere']
  ],
  run: (context, options) => new ResultAsync(applyFile(context, options))
}
