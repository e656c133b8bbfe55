/** `check FILE`: checks an operators' file without asking anybody. */
import { okAsync } from 'neverthrow'
import { parseConfigurationFile, findWarnings } from '@amaranthmast/settings/configurationfile'
import type { ConfigurationFile } from '@amaranthmast/settings/configurationfile'
import type { Result } from 'neverthrow'
import type { Command, Context, Report } from './command.ts'
import type { ToolError } from './errors.ts'
import { FileRefused } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import { counted } from './table.ts'

/** Reads and checks a file. */
export function readFile (context: Context, file: string): Result<ConfigurationFile, ToolError> {
  return context.readText(file)
    .andThen(parseConfigurationFile)
    .mapErr((error) => new FileRefused(file, error))
}

function reportChecked (file: string, document: ConfigurationFile): Report {
  const { services, providers, tenants } = document
  const parts = [
    counted(Object.keys(services).length, 'service'),
    counted(Object.keys(providers).length, 'provider'),
    counted(Object.keys(tenants).length, 'tenant')
  ]
  const warnings = findWarnings(document)
  return {
    exitCode: ExitCode.Done,
    lines: [`${file} is valid: ${parts.join(', ')}, edited from version ${document.editedFrom}.`, ...warnings.map((warning) => `warning: ${warning}`)],
    json: { valid: true, editedFrom: document.editedFrom, warnings }
  }
}

/** The command. */
export const check: Command = {
  usage: 'check <file>',
  summary: 'Check a configuration file; every fault is named with its path',
  options: ['json'],
  positionals: { file: { describe: 'The configuration file', type: 'string' } },
  examples: [['$0 check configuration.json', 'check a file before it is applied']],
  run: (context, { file }) => okAsync<undefined, ToolError>(undefined)
    .andThen(() => readFile(context, file))
    .map((document) => reportChecked(file, document))
}
