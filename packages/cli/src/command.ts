/** Interface of the tool's commands: a description for the parser and the function that runs the command. */
import type { DrainKind } from '@amaranthmast/settings/difference'
import type { FileUnreadable } from '@amaranthmast/settings/errors'
import type { Result, ResultAsync } from 'neverthrow'
import type { ConfigurationStore } from './configurationstore.ts'
import type { ToolError } from './errors.ts'
import type { ExitCode } from './exitcodes.ts'
import type { Instances } from './instances.ts'
import type { OptionName } from './options.ts'

/** Parsed command line. Each command reads only the options and arguments that it declares. */
export interface Arguments {
  store: string[]
  prefix: string
  json: boolean
  status: string[]
  wait: boolean
  waitSeconds: number
  limit: number
  undo: boolean
  once: boolean
  interval: number
  file: string
  kind: DrainKind
  name: string
  job: string
  logs: string[]
  /** Past version to print; undefined for the one in force. */
  past?: number
}

/** Services that commands use; tests replace those that do I/O. */
export interface Context {
  configurations: ConfigurationStore
  instances: Instances
  readText: (path: string) => Result<string, FileUnreadable>
  /** Streams the lines of a file, which may be larger than memory; throws if it cannot be read. */
  readLines: (path: string) => AsyncIterable<string>
  /** Current time in milliseconds since the Unix epoch. */
  now: () => number
  sleep: (milliseconds: number) => Promise<void>
  /** Creates a unique id for an apply. */
  newApplyId: () => string
  /** Prints a line immediately, separate from the report. */
  progress: (line: string) => void
  /** Clears the screen and prints the lines. */
  redraw: (lines: readonly string[]) => void
}

/** Result of a command that did not fail. */
export interface Report {
  exitCode: ExitCode
  /** Text output. */
  lines: string[]
  /** Output with `--json`. */
  json: object
}

/** A command of the tool. */
export interface Command {
  /** Name and positional arguments in the syntax of yargs. */
  usage: string
  summary: string
  options: readonly OptionName[]
  positionals: Readonly<Record<string, { describe: string, type?: 'string' | 'number', array?: true, choices?: readonly string[] }>>
  /** Example command lines with their descriptions. */
  examples: ReadonlyArray<readonly [string, string]>
  run: (context: Context, options: Arguments) => ResultAsync<Report, ToolError>
}
