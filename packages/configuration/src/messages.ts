/** Messages of the configuration exchange between entries. */

/** Reports the sender's version, unrequested or as a response. */
export interface VersionMessage {
  type: 'version'
  version: number
  /**
   * Milliseconds since the sender's last confirmation that no newer version exists; null without a confirmation. Entries of
   * earlier builds, which cannot fetch, leave it out.
   */
  age?: number | null
  /** Clock of the sender, which the response returns as `echo`. Left out if no response is requested. */
  sent?: number
  /** `sent` of the message that this one responds to. */
  echo?: number
}

/** Any message of the exchange. */
export type ConfigurationMessage =
  | VersionMessage
  /** Requests the part of a packed document that starts at `offset`. */
  | { type: 'fetch', version: number, offset: number }
  /** Part of a packed document; `total` is the length of the whole packed document. */
  | { type: 'part', version: number, offset: number, total: number, text: string }
  /** Whole unpacked document, for compatibility with earlier builds. */
  | { type: 'configuration', document: string }

type Check = (fields: Readonly<Record<string, unknown>>) => boolean

const CHECKS: Readonly<Record<ConfigurationMessage['type'], Check>> = {
  version: ({ version, age, sent, echo }) => isCount(version) && (age === undefined || age === null || isTime(age)) && [sent, echo].every(time => time === undefined || isTime(time)),
  fetch: ({ version, offset }) => isCount(version) && isCount(offset),
  part: ({ version, offset, total, text }) => isCount(version) && isCount(offset) && isCount(total) && typeof text === 'string',
  configuration: ({ document }) => typeof document === 'string'
}

/** Whether a value received from another process is a valid message. Checks the type of every field. */
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
