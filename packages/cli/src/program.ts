/** The tool `amaranthmast`: parses the command line, runs one command and prints its report. */
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

/** The command line was not understood. */
interface UsageFault {
  message: string
}

/** What the program is run with. */
export interface Surroundings {
  output: Output
  environment: Environment
  open: (options: Arguments, output: Output) => OpenContext
}

/** What the parser chose. */
interface Choice {
  command: Command
  options: Arguments
}

/**
 * Runs the tool.
 * @param words the command line without the program
 * @returns the exit code
 */
export async function runProgram (words: readonly string[], { output, environment, open }: Surroundings): Promise<ExitCode> {
  const chosen = await parse(words, output, environment)
  if (typeof chosen === 'number') return chosen
  const { command, options } = chosen
  const context = open(options, output)
  try {
    const result = await command.run(context, options)
    if (result.isErr()) return printError(result.error, options, output)
    return printReport(result.value, options, output)
  } finally {
    await context.close()
  }
}

async function parse (words: readonly string[], output: Output, environment: Environment): Promise<Choice | ExitCode> {
  let choice: Choice | undefined
  let fault: UsageFault | undefined
  const parser = buildParser(words, environment, (chosen) => { choice = chosen })
  parser.fail((message, error) => { fault ??= { message: message ?? error.message } })
  await parser.parseAsync(words, {}, (_error, _parsed, text) => {
    if (text !== '' && fault === undefined) output.out(`${text}\n`)
  })
  if (fault === undefined) return choice ?? ExitCode.Done
  output.err(`${fault.message}\nRun amaranthmast --help.\n`)
  return ExitCode.BadInput
}

function buildParser (words: readonly string[], environment: Environment, choose: (choice: Choice) => void): Argv {
  const parser = yargs([...words])
    .scriptName('amaranthmast')
    .usage('$0 <command>\n\nConfigures and watches an amaranthmast system.')
    .parserConfiguration({ 'greedy-arrays': false })
    .check(refuseBadValues)
    .locale('en')
    .strict()
    .demandCommand(1, 'Name a command.')
    .recommendCommands()
    .exitProcess(false)
    .wrap(110)
    .version('0.1.0')
    .completion('completion', 'Print a script that completes commands and options in the shell')
    .example('$0 get > configuration.json', 'begin with what is in force')
    .example('$0 plan configuration.json', 'see what your changes would do')
    .example('$0 apply configuration.json --wait', 'put them into force everywhere')
    .example('$0 COMMAND --help', 'options and examples of one command')
    .epilogue(EXIT_CODES_HELP)
  for (const command of Object.values(COMMANDS)) addCommand(parser, command, environment, choose)
  return parser
}

function addCommand (parser: Argv, command: Command, environment: Environment, choose: (choice: Choice) => void): void {
  const build = (commandParser: Argv) => {
    for (const [name, positional] of Object.entries(command.positionals)) commandParser.positional(name, positional)
    for (const name of command.options) commandParser.option(name, { ...OPTIONS[name], default: defaultOf(name, environment) })
    for (const [line, purpose] of command.examples) commandParser.example(line, purpose)
    return commandParser
  }
  parser.command(command.usage, command.summary, build, (parsed: ArgumentsCamelCase) => {
    choose({ command, options: { ...unsetOptions(environment), ...parsed as unknown as Arguments } })
  })
}

/** Values of the options that a command does not have, so that its edges can be opened all the same. */
function unsetOptions (environment: Environment): Record<string, unknown> {
  return Object.fromEntries(OPTION_NAMES.map((name) => [name, defaultOf(name, environment)]))
}

/** Names of the options that hold URLs. */
const URL_OPTIONS: readonly OptionName[] = ['store', 'status']

function refuseBadValues (parsed: Record<string, unknown>): true {
  for (const [name, value] of Object.entries(parsed)) {
    if (typeof value === 'number' && !(value >= 0)) throw new RangeError(`${name} must be a number of at least 0`)
  }
  for (const name of URL_OPTIONS) for (const url of parsed[name] as string[] | undefined ?? []) refuseBadUrl(name, url)
  return true
}

function refuseBadUrl (name: OptionName, url: string): void {
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
