/** Validation faults of a document: location, reason and an example of a valid value. */

/** Single validation fault. */
export interface Fault {
  /** Path of the invalid value, such as `services.label-check.shares`. */
  path: string
  /** Why the value is invalid. */
  reason: string
  /** A valid value, or the names that are known at this location. */
  example: string
}

/** Path of a fault that concerns the whole document. */
export const DOCUMENT_PATH = '(document)'

const PLAIN_KEY = /^[A-Za-z0-9_-]+$/

/** Formats a fault as one line of text. */
export function formatFault (fault: Fault): string {
  return `${fault.path}: ${fault.reason}; example: ${fault.example}`
}

/** Formats a path: keys joined by dots, indexes and keys with special characters in brackets. */
export function formatPath (path: readonly PropertyKey[]): string {
  const text = path.map(formatStep).join('')
  if (text === '') return DOCUMENT_PATH
  return text.replace(/^\./, '')
}

function formatStep (step: PropertyKey): string {
  if (typeof step === 'number') return `[${step}]`
  const key = String(step)
  return PLAIN_KEY.test(key) ? `.${key}` : `[${JSON.stringify(key)}]`
}
