/** Errors of reading and validating settings and configuration files. */
import type { Fault } from './fault.ts'
import { formatFault } from './fault.ts'

/** Base class of the errors. */
export abstract class SettingsError extends Error {
  abstract readonly code: string
}

/** The file cannot be read. */
export class FileUnreadable extends SettingsError {
  readonly code = 'FILE_UNREADABLE'
  readonly path: string

  /**
   * @param path path of the file
   * @param reason the operating system's message
   */
  constructor (path: string, reason: string) {
    super(`cannot read ${path} (${reason}): give the path of a file that this user may read`)
    this.name = 'FileUnreadable'
    this.path = path
  }
}

/** The document was read but is invalid. The message has one line per fault. */
export class DocumentRefused extends SettingsError {
  readonly code = 'DOCUMENT_REFUSED'
  readonly faults: readonly Fault[]

  /** @param faults at least one */
  constructor (faults: readonly Fault[]) {
    super(faults.map(formatFault).join('\n'))
    this.name = 'DocumentRefused'
    this.faults = faults
  }
}
