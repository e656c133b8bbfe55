/** Packs documents for transfer between entries: gzip, encoded as base64. */
import { constants, gunzipSync, gzipSync } from 'node:zlib'
import { MAX_DOCUMENT_SIZE } from './defaults.ts'

/** Fastest compression level. Queue definitions are so repetitive that slower levels gain little. */
const LEVEL = constants.Z_BEST_SPEED

/** Compresses a document to base64 text. */
export function pack (document: string): string {
  return gzipSync(document, { level: LEVEL }).toString('base64')
}

/** Decompresses a packed document. Returns undefined if the text is not one, or if the result is too large. */
export function unpack (text: string): string | undefined {
  try {
    return gunzipSync(Buffer.from(text, 'base64'), { maxOutputLength: MAX_DOCUMENT_SIZE }).toString('utf8')
  } catch {
    return undefined
  }
}
