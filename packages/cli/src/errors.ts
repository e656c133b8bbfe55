/** Errors of the tool with their exit codes. */
import type { StoreError } from '@amaranthmast/store/errors'
import type { SettingsError } from '@amaranthmast/settings/errors'
import { DocumentRefused } from '@amaranthmast/settings/errors'
import type { Change } from '@amaranthmast/settings/difference'
import { formatChanges } from '@amaranthmast/settings/difference'
import { ExitCode } from './exitcodes.ts'

/** Base class of the tool's errors. */
export abstract class ToolError extends Error {
  abstract readonly code: string
  abstract readonly exitCode: ExitCode

  /** Additional fields of the error in JSON output. */
  get details (): object {
    return {}
  }
}

/** The configuration file cannot be read or is invalid. */
export class FileRefused extends ToolError {
  readonly code = 'FILE_REFUSED'
  readonly exitCode = ExitCode.BadInput
  readonly #cause: SettingsError

  constructor (file: string, cause: SettingsError) {
    super(cause instanceof DocumentRefused ? `${file} is refused:\n${indent(cause.message)}` : cause.message, { cause })
    this.#cause = cause
  }

  override get details (): object {
    return this.#cause instanceof DocumentRefused ? { faults: this.#cause.faults } : {}
  }
}

/** A log file cannot be read. */
export class LogUnreadable extends ToolError {
  readonly code = 'LOG_UNREADABLE'
  readonly exitCode = ExitCode.BadInput

  constructor (path: string, cause: Error) {
    super(`the log ${path} cannot be read: ${cause.message}`, { cause })
  }
}

/** The request cannot be carried out in the present state. */
export class RequestRefused extends ToolError {
  readonly code = 'REQUEST_REFUSED'
  readonly exitCode = ExitCode.BadInput
}

/** The stored value cannot be parsed as a configuration. */
export class StoredValueUnreadable extends ToolError {
  readonly code = 'STORED_VALUE_UNREADABLE'
  readonly exitCode = ExitCode.Refused

  constructor (key: string, reason: string) {
    super(`the value under ${key} cannot be read as a configuration: nothing was written; use the version of the tool that wrote it\n${indent(reason)}`)
  }
}

/** The file was edited from another version than the one in force. */
export class RaceLost extends ToolError {
  readonly code = 'RACE_LOST'
  readonly exitCode = ExitCode.Refused
  readonly #details: { base: number, version: number, changes: readonly Change[] | undefined }

  /**
   * @param base version that the file was edited from
   * @param version version in force
   * @param changes changes between the two versions; undefined if the base is no longer kept
   */
  constructor (base: number, version: number, changes: readonly Change[] | undefined) {
    super([
      `nothing was written: the file was edited from version ${base}, and version ${version} is in force.`,
      ...describeChangesSince(base, changes),
      'Run get, make your changes in what it prints, and apply that.'
    ].join('\n'))
    this.#details = { base, version, changes }
  }

  override get details (): object {
    return this.#details
  }
}

function describeChangesSince (base: number, changes: readonly Change[] | undefined): string[] {
  if (changes === undefined) return [`What changed since version ${base} cannot be shown: that version is not kept.`]
  if (changes.length === 0) return [`Nothing differs from version ${base}.`]
  return [`Changed since version ${base}:`, ...formatChanges(changes).map((line) => `  ${line}`)]
}

/** The store returns a version older than the one that the file was edited from. */
export class BaseAhead extends ToolError {
  readonly code = 'BASE_AHEAD'
  readonly exitCode = ExitCode.Refused

  constructor (base: number, version: number) {
    super(`nothing was written: the file was edited from version ${base}, and the key-value service answers with version ${version}. ` +
      'Its answer is stale, or it was restored from a copy: look at history before applying anything.')
  }
}

/** The key-value service cannot be reached or refuses the request. */
export class StoreFailed extends ToolError {
  readonly exitCode = ExitCode.StoreUnavailable
  readonly code: string

  constructor (cause: StoreError) {
    super(cause.message, { cause })
    this.code = cause.code
  }
}

/** The outcome of an apply is unknown, because its answer was lost and could not be settled. */
export class ApplyUnsettled extends ToolError {
  readonly code = 'APPLY_UNSETTLED'
  readonly exitCode = ExitCode.Unsettled
  readonly #details: { version: number, applyId: string }

  constructor (version: number, applyId: string, cause: StoreError) {
    super(`the answer of the key-value service was lost, and the service has not answered since (${cause.message}). ` +
      `The apply may have taken effect as version ${version}: when the service is back, run history and look for apply ${applyId}; ` +
      'applying the same file again does no harm.', { cause })
    this.#details = { version, applyId }
  }

  override get details (): object {
    return this.#details
  }
}

/** Indents each line of a text by two spaces. */
export function indent (text: string): string {
  return text.split('\n').map((line) => `  ${line}`).join('\n')
}
