/** Documents as they travel between entries: compressed, as text. */
import { constants, gunzipSync, gzipSync } from 'node:zlib'
import { DOCUMENT_LIMIT } from './defaults.ts'

/** The fastest level: a document of queues is alike from line to line, so that slower ones gain little. */
const LEVEL = constants.Z_BEST_SPEED

export function pack (document: string): string {
  return gzipSync(document, { level: LEVEL }).toString('base64')
}

/** Undefined when the text is no packed document, or too large a one. */
export function unpack (text: string): string | undefined {
  try {
    return gunzipSync(Buffer.from(text, 'base64'), { maxOutputLength: DOCUMENT_LIMIT }).toString('utf8')
  } catch {
    return undefined
  }
}
