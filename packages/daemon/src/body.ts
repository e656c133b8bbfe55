/** Reads the body of a caller's request, up to the limit. */
import type { IncomingMessage } from 'node:http'
import { MAX_BODY_BYTES } from './defaults.ts'

/** Why a body could not be read. */
export enum BodyFault {
  /** The body exceeds the limit; the rest has not been read. */
  TooLarge = 'tooLarge',
  /** The caller disconnected while sending. */
  Broken = 'broken'
}

/**
 * Reads the whole body. A body that is too large is reported at once, and the rest of it is read and
 * discarded: if the connection were closed while the caller still sends, it would not get the response.
 */
export function readBody (request: IncomingMessage): Promise<Buffer | BodyFault> {
  if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) return Promise.resolve(BodyFault.TooLarge)
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= MAX_BODY_BYTES) {
        chunks.push(chunk)
        return
      }
      chunks.length = 0
      resolve(BodyFault.TooLarge)
    })
    request.on('end', () => resolve(Buffer.concat(chunks)))
    request.on('error', () => resolve(BodyFault.Broken))
    request.on('close', () => resolve(BodyFault.Broken))
  })
}
