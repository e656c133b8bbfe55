/** `plan FILE`: shows what an apply would change, without writing anything. */
import { findWarnings } from '@amaranthmast/settings/configurationfile'
import type { ConfigurationFile } from '@amaranthmast/settings/configurationfile'
import { diffConfigurations, formatChanges } from '@amaranthmast/settings/difference'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import { createRaceLost, readBase } from './applying.ts'
import { readFile } from './check.ts'
import type { Arguments, Command, Context, Report } from './command.ts'
import type { CurrentConfiguration } from './configurationstore.ts'
import { versionOf } from './configurationstore.ts'
import type { ToolError } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { STORE_OPTIONS } from './options.ts'
import { formatCount } from './table.ts'

async function planFile (context: Context, { file }: Arguments): Promise<Result<Report, ToolError>> {
  const document = readFile(context, file)
  if (document.isErr()) return err(document.error)
  const base = await readBase(context, document.value.editedFrom)
  if (base.isErr()) return err(base.error)
  const { stored } = base.value
  const { editedFrom } = document.value
  if (stored !== undefined && stored.version !== editedFrom) return err(await createRaceLost(context, editedFrom, stored))
  return ok(reportPlan(base.value, document.value))
}

function reportPlan (base: CurrentConfiguration, document: ConfigurationFile): Report {
  const version = versionOf(base)
  const changes = diffConfigurations(base.stored?.document, document)
  const warnings = findWarnings(document)
  const head = changes.length === 0
    ? `Nothing to change: version ${version} holds exactly this.`
    : `${formatCount(changes.length, 'change')} to version ${version}; apply would make version ${version + 1}:`
  return {
    exitCode: ExitCode.Done,
    lines: [head, ...formatChanges(changes).map((line) => `  ${line}`), ...warnings.map((warning) => `warning: ${warning}`)],
    json: { base: version, changes, warnings }
  }
}

/** The `plan` command. */
export const plan: Command = {
  usage: 'plan <file>',
  summary: 'Show what an apply would change; writes nothing',
  options: STORE_OPTIONS,
  positionals: { file: { describe: 'The configuration file', type: 'string' } },
  examples: [['$0 plan configuration.json', 'review each change before applying it']],
  run: (context, options) => new ResultAsync(planFile(context, options))
}
