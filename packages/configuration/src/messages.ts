/** What entries tell each other of the configuration. */

/** A statement of a version, on its own or as an answer. */
export interface VersionMessage {
  type: 'version'
  version: number
  /**
   * Milliseconds since the last confirmation of the sender that there is no newer one began; null without any. Entries of
   * earlier builds leave it out; they can't fetch.
   */
  age?: number | null
  /** Time of the sender; the answer returns it as `echo`. Left out when no answer is wanted. */
  sent?: number
  echo?: number
}

export type ConfigurationMessage =
  | VersionMessage
  /** Asks for the part of a packed document that begins at an offset. */
  | { type: 'fetch', version: number, offset: number }
  /** A part of the packed document; `total` is the length of all. */
  | { type: 'part', version: number, offset: number, total: number, text: string }
  /** A whole document, as earlier builds send and understand it. */
  | { type: 'configuration', document: string }

type Check = (fields: Readonly<Record<string, unknown>>) => boolean

const CHECKS: Readonly<Record<ConfigurationMessage['type'], Check>> = {
  version: ({ version, age, sent, echo }) => isCount(version) && (age === undefined || age === null || isTime(age)) && [sent, echo].every(time => time === undefined || isTime(time)),
  fetch: ({ version, offset }) => isCount(version) && isCount(offset),
  part: ({ version, offset, total, text }) => isCount(version) && isCount(offset) && isCount(total) && typeof text === 'string',
  configuration: ({ document }) => typeof document === 'string'
}

/** Whether a message from another process is one of these, with every field as it has to be. */
export function isConfigurationMessage (message: unknown): message is ConfigurationMessage {
  if (typeof message !== 'object' || message === null) return false
  const fields = message as Record<string, unknown>
  const { type } = fields
  return typeof type === 'string' && Object.hasOwn(CHECKS, type) && CHECKS[type as ConfigurationMessage['type']](fields)
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isTime (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
