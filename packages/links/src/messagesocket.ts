/** Sends and receives messages as lines of JSON on one connection; those of one event loop turn are sent together. */
import type { Socket } from 'node:net'
import { MAX_BACKLOG_BYTES, MAX_MESSAGE_BYTES } from './defaults.ts'

export interface MessageSocketEvents {
  received: (message: unknown) => void
  /** Called exactly once. */
  closed: (reason: string) => void
}

const NEWLINE = 10

/** Closes the connection when a line is not JSON, a message exceeds the limit, or the peer stops reading. */
export class MessageSocket {
  readonly #socket: Socket
  readonly #events: MessageSocketEvents
  #lines: string[] = []
  #chunks: Buffer[] = []
  #bufferedBytes = 0
  #closed = false

  constructor (socket: Socket, events: MessageSocketEvents) {
    this.#socket = socket
    this.#events = events
    socket.setNoDelay(true)
    socket.on('data', chunk => this.#read(chunk))
    socket.on('error', error => this.#close(error.message))
    socket.on('close', () => this.#close('closed'))
    socket.on('end', () => this.#close('ended by the other end'))
  }

  get open (): boolean {
    return !this.#closed
  }

  /** Queues a message to be sent with the others of this turn; it is dropped when the connection has ended. */
  send (message: unknown): void {
    if (this.#closed) return
    if (this.#lines.length === 0) setImmediate(() => this.flush())
    this.#lines.push(JSON.stringify(message))
  }

  /** Destroys the connection; no further message is received from it. */
  destroy (reason: string): void {
    this.#close(reason)
  }

  /** Sends the messages of this turn at once. */
  flush (): void {
    if (this.#closed || this.#lines.length === 0) return
    const text = `${this.#lines.join('\n')}\n`
    this.#lines = []
    this.#socket.write(text)
    if (this.#socket.writableLength > MAX_BACKLOG_BYTES) this.#close('peer does not read')
  }

  #read (chunk: Buffer): void {
    let start = 0
    for (let end = chunk.indexOf(NEWLINE); end >= 0 && !this.#closed; end = chunk.indexOf(NEWLINE, start)) {
      this.#readLine(chunk.subarray(start, end))
      start = end + 1
    }
    if (start >= chunk.length || this.#closed) return
    this.#chunks.push(chunk.subarray(start))
    this.#bufferedBytes += chunk.length - start
    if (this.#bufferedBytes > MAX_MESSAGE_BYTES) this.#close('a message is too large')
  }

  #readLine (end: Buffer): void {
    const line = this.#chunks.length === 0 ? end : Buffer.concat([...this.#chunks, end])
    this.#chunks = []
    this.#bufferedBytes = 0
    let message: unknown
    try {
      message = JSON.parse(line.toString('utf8'))
    } catch {
      return this.#close('a line is not JSON')
    }
    this.#events.received(message)
  }

  #close (reason: string): void {
    if (this.#closed) return
    this.#closed = true
    this.#socket.destroy()
    this.#events.closed(reason)
  }
}
