/** `get [VERSION]`: prints a configuration file that can be edited and applied. */
import type { ConfigurationFile } from '@amaranthmast/settings/configurationfile'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Arguments, Command, Context, Report } from './command.ts'
import { versionOf } from './configurationstore.ts'
import type { ToolError } from './errors.ts'
import { RequestRefused } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { STORE_OPTIONS } from './options.ts'

/** Valid empty file that is printed before the first apply. */
const FIRST_FILE: ConfigurationFile = {
  editedFrom: 0, services: {}, providers: {}, tenants: {}, draining: { targets: [], racks: [], dataCentres: [], providers: [] }
}

async function getFile (context: Context, { past }: Arguments): Promise<Result<Report, ToolError>> {
  const current = await context.configurations.current()
  if (current.isErr()) return err(current.error)
  const inForce = versionOf(current.value)
  if (past === undefined) return ok(reportFile(current.value.stored?.document ?? FIRST_FILE, inForce))
  const stored = await context.configurations.version(past)
  if (stored.isErr()) return err(stored.error)
  if (stored.value === undefined) return err(new RequestRefused(`version ${past} is not kept: run history to see which are`))
  return ok(reportFile(stored.value.document, inForce))
}

/** Sets the base to the version in force, so that a past version can be applied again without edits. */
function reportFile (document: ConfigurationFile, inForce: number): Report {
  const file = { ...document, editedFrom: inForce }
  return { exitCode: ExitCode.Done, lines: JSON.stringify(file, undefined, 2).split('\n'), json: file }
}

/** The `get` command. */
export const get: Command = {
  usage: 'get [past]',
  summary: 'Print the configuration in force, or a past version, for editing',
  options: STORE_OPTIONS,
  positionals: { past: { describe: 'A past version; by default the one in force', type: 'number' } },
  examples: [
    ['$0 get > configuration.json', 'edit the configuration in force'],
    ['$0 get 7 > configuration.json', 'restore the content of version 7 as a new version']
  ],
  run: (context, options) => new ResultAsync(getFile(context, options))
}
