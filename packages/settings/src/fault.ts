/** Faults of a checked document: where, why, and what would be right. */

/** One fault. */
export interface Fault {
  /** Path of the faulty value, as in `services.label-check.shares`. */
  path: string
  /** Why the value is refused. */
  reason: string
  /** A value that would be accepted, or what is known at this place. */
  example: string
}

/** Path shown for a fault of the document as a whole. */
export const DOCUMENT_PATH = '(document)'

const PLAIN_KEY = /^[A-Za-z0-9_-]+$/

/** The fault as one line of text. */
export function formatFault (fault: Fault): string {
  return `${fault.path}: ${fault.reason}; example: ${fault.example}`
}

/** The path as a person writes it: keys joined by dots, indexes and unusual keys in brackets. */
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
