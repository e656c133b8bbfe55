/** Command-line tool `amaranthmast`: parses the command line, runs one command and prints its report. */
import type { ArgumentsCamelCase, Argv } from 'yargs'
import yargs from 'yargs'
import type { Arguments, Command, Report } from './command.ts'
import { DEFAULT_STORE } from './defaults.ts'
import { COMMANDS } from './commands.ts'
import type { OpenContext, Output } from './context.ts'
import type { ToolError } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import type { Environment, OptionName } from './options.ts'
import { defaultOf, ENVIRONMENT_PREFIX, OPTION_NAMES, OPTIONS } from './options.ts'

const EXIT_CODES_HELP = 'Exit codes: 0 done, 1 refused or race lost, 2 bad input, 3 key-value service unavailable,\n' +
  '4 not confirmed everywhere in time, 5 outcome unknown, 6 no daemon answers.\n' +
  `Every option can be set in the environment, such as ${ENVIRONMENT_PREFIX}STORE.`

/** The command line is invalid. */
interface UsageError {
  message: string
}

/** Options of `runProgram`. */
export interface ProgramOptions {
  output: Output
  environment: Environment
  open: (options: Arguments, output: Output) => OpenContext
}

/** Command and options that the parser found. */
interface ParsedCommand {
  command: Command
  options: Arguments
}

/**
 * Runs the tool and closes the connections that the command has opened.
 * @param words the command-line arguments without the program
 * @returns the exit code
 */
export async function runProgram (words: readonly string[], { output, environment, open }: ProgramOptions): Promise<ExitCode> {
  const parsedCommand = await parse(words, output, environment)
  if (typeof parsedCommand === 'number') return parsedCommand
  const { command, options } = parsedCommand
  const context = open(options, output)
  try {
    const result = await command.run(context, options)
    if (result.isErr()) return printError(result.error, options, output)
    return printReport(result.value, options, output)
  } finally {
    await context.close()
  }
}

async function parse (words: readonly string[], output: Output, environment: Environment): Promise<ParsedCommand | ExitCode> {
  let parsedCommand: ParsedCommand | undefined
  let usageError: UsageError | undefined
  const parser = buildParser(words, environment, (chosen) => { parsedCommand = chosen })
  parser.fail((message, error) => { usageError ??= { message: message ?? error.message } })
  await parser.parseAsync(words, {}, (_error, _parsed, text) => {
    if (text !== '' && usageError === undefined) output.out(`${text}\n`)
  })
  if (usageError === undefined) return parsedCommand ?? ExitCode.Done
  output.err(`${usageError.message}\nRun amaranthmast --help.\n`)
  return ExitCode.BadInput
}

function buildParser (words: readonly string[], environment: Environment, choose: (choice: ParsedCommand) => void): Argv {
  const parser = yargs([...words])
    .scriptName('amaranthmast')
    .usage('$0 <command>\n\nConfigures and monitors an amaranthmast system.')
    .parserConfiguration({ 'greedy-arrays': false })
    .check(validateValues)
    .locale('en')
    .strict()
    .demandCommand(1, 'Name a command.')
    .recommendCommands()
    .exitProcess(false)
    .wrap(110)
    .version('0.1.0')
    .completion('completion', 'Print a shell completion script')
    .example('$0 get > configuration.json', 'start from the configuration in force')
    .example('$0 plan configuration.json', 'review the effect of your changes')
    .example('$0 apply configuration.json --wait', 'apply them and wait until they are in force everywhere')
    .example('$0 COMMAND --help', 'show options and examples of one command')
    .epilogue(EXIT_CODES_HELP)
  for (const command of Object.values(COMMANDS)) addCommand(parser, command, environment, choose)
  return parser
}

function addCommand (parser: Argv, command: Command, environment: Environment, choose: (choice: ParsedCommand) => void): void {
  const build = (commandParser: Argv) => {
    for (const [name, positional] of Object.entries(command.positionals)) commandParser.positional(name, positional)
    for (const name of command.options) commandParser.option(name, { ...OPTIONS[name], default: defaultOf(name, environment) })
    for (const [line, purpose] of command.examples) commandParser.example(line, purpose)
    return commandParser
  }
  parser.command(command.usage, command.summary, build, (parsed: ArgumentsCamelCase) => {
    choose({ command, options: { ...defaultOptions(environment), ...parsed as unknown as Arguments } })
  })
}

/** Defaults of all options. The context needs values even for options that a command does not declare. */
function defaultOptions (environment: Environment): Record<string, unknown> {
  return Object.fromEntries(OPTION_NAMES.map((name) => [name, defaultOf(name, environment)]))
}

/** Options whose values are URLs. */
const URL_OPTIONS: readonly OptionName[] = ['store', 'status']

function validateValues (parsed: Record<string, unknown>): true {
  for (const [name, value] of Object.entries(parsed)) {
    if (typeof value === 'number' && !(value >= 0)) throw new RangeError(`${name} must be a number of at least 0`)
  }
  for (const name of URL_OPTIONS) for (const url of parsed[name] as string[] | undefined ?? []) validateUrl(name, url)
  return true
}

function validateUrl (name: OptionName, url: string): void {
  if (URL.canParse(url) && /^https?:/i.test(url)) return
  throw new RangeError(`${name} must be a http or https address, not ${JSON.stringify(url)}; example: ${DEFAULT_STORE}`)
}

function printReport (report: Report, { json }: Arguments, output: Output): ExitCode {
  output.out(json ? `${JSON.stringify(report.json)}\n` : `${report.lines.join('\n')}\n`)
  return report.exitCode
}

function printError (error: ToolError, { json }: Arguments, output: Output): ExitCode {
  if (json) output.out(`${JSON.stringify({ error: error.code, message: error.message, ...error.details })}\n`)
  else output.err(`${error.message}\n`)
  return error.exitCode
}
