/** Queue of the messages to be sent over one link; those of one turn are sent as one frame. */
import { MAX_FRAME_MESSAGES, MAX_OUTBOX_MESSAGES } from './defaults.ts'

/**
 * Messages for one peer, which the transport reads as frames. Messages that are added while the
 * transport is busy are sent together, so that a slow peer gets fewer and larger frames.
 */
export class Outbox<Message, Frame> {
  readonly #toFrame: (messages: readonly Message[]) => Frame
  #messages: Message[] = []
  #ended = false
  #wake: (() => void) | undefined

  constructor (toFrame: (messages: readonly Message[]) => Frame) {
    this.#toFrame = toFrame
  }

  /**
   * Adds a message. One that is not urgent is sent with the next urgent one, or at the next
   * `flush`. This keeps the order and saves a frame, which costs more than the message in it.
   *
   * @returns false when the outbox is full because the peer has stopped reading
   */
  push (message: Message, urgent = true): boolean {
    if (this.#ended) return true
    if (this.#messages.length >= MAX_OUTBOX_MESSAGES) return false
    this.#messages.push(message)
    if (urgent) this.#wake?.()
    return true
  }

  /** Sends the messages that are delayed until an urgent one. */
  flush (): void {
    if (this.#messages.length > 0) this.#wake?.()
  }

  /** Ends the frames once the messages queued so far have been read. */
  end (): void {
    this.#ended = true
    this.#wake?.()
  }

  /**
   * Yields the frames, starting with an empty one: the transport sends its headers only together with
   * a first frame, and the other end considers the link established when it receives them.
   */
  async * frames (): AsyncGenerator<Frame> {
    yield this.#toFrame([])
    while (true) {
      if (this.#messages.length > 0) {
        yield this.#toFrame(this.#messages.splice(0, MAX_FRAME_MESSAGES))
      } else if (this.#ended) {
        return
      } else {
        await this.#nextPush()
      }
    }
  }

  async #nextPush (): Promise<void> {
    await new Promise<void>(resolve => { this.#wake = resolve })
    this.#wake = undefined
  }
}
