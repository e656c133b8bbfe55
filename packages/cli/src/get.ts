/** `get [VERSION]`: prints a configuration file, ready to be edited and applied. */
import type { ConfigurationFile } from '@amaranthmast/settings/configurationfile'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Arguments, Command, Context, Report } from './command.ts'
import { versionOf } from './configurationstore.ts'
import type { ToolError } from './errors.ts'
import { RequestRefused } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { STORE_OPTIONS } from './options.ts'

/** What is printed before the first apply: a valid file to begin with. */
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

/** The base is always the version in force, so that a past file can be applied again as it is. */
function reportFile (document: ConfigurationFile, inForce: number): Report {
  const file = { ...document, editedFrom: inForce }
  return { exitCode: ExitCode.Done, lines: JSON.stringify(file, undefined, 2).split('\n'), json: file }
}

/** The command. */
export const get: Command = {
  usage: 'get [past]',
  summary: 'Print the configuration in force, or a past version, for editing',
  options: STORE_OPTIONS,
  positionals: { past: { describe: 'A past version; the one in force when absent', type: 'number' } },
  examples: [
    ['$0 get > configuration.json', 'edit what is in force'],
    ['$0 get 7 > configuration.json', 'go back to what version 7 said, as a new version']
  ],
  run: (context, options) => new ResultAsync(getFile(context, options))
}
