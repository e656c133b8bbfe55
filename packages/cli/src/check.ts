/** `check FILE`: validates a configuration file without contacting any service. */
import { okAsync } from 'neverthrow'
import { parseConfigurationFile, findWarnings } from '@amaranthmast/settings/configurationfile'
import type { ConfigurationFile } from '@amaranthmast/settings/configurationfile'
import type { Result } from 'neverthrow'
import type { Command, Context, Report } from './command.ts'
import type { ToolError } from './errors.ts'
import { FileRefused } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { formatCount } from './table.ts'

/** Reads and validates a configuration file. */
export function readFile (context: Context, file: string): Result<ConfigurationFile, ToolError> {
  return context.readText(file)
    .andThen(parseConfigurationFile)
    .mapErr((error) => new FileRefused(file, error))
}

function reportChecked (file: string, document: ConfigurationFile): Report {
  const { services, providers, tenants } = document
  const parts = [
    formatCount(Object.keys(services).length, 'service'),
    formatCount(Object.keys(providers).length, 'provider'),
    formatCount(Object.keys(tenants).length, 'tenant')
  ]
  const warnings = findWarnings(document)
  return {
    exitCode: ExitCode.Done,
    lines: [`${file} is valid: ${parts.join(', ')}, edited from version ${document.editedFrom}.`, ...warnings.map((warning) => `warning: ${warning}`)],
    json: { valid: true, editedFrom: document.editedFrom, warnings }
  }
}

/** The `check` command. */
export const check: Command = {
  usage: 'check <file>',
  summary: 'Check a configuration file; every error is listed with its path',
  options: ['json'],
  positionals: { file: { describe: 'The configuration file', type: 'string' } },
  examples: [['$0 check configuration.json', 'check a file before applying it']],
  run: (context, { file }) => okAsync<undefined, ToolError>(undefined)
    .andThen(() => readFile(context, file))
    .map((document) => reportChecked(file, document))
}
