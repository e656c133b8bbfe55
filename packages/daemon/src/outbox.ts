/** What waits to be sent over one link: everything of one turn leaves as one frame. */
import { MAX_FRAME_MESSAGES, MAX_OUTBOX_MESSAGES } from './defaults.ts'

/**
 * Messages for one peer, read as frames by the transport. While the transport is busy, messages
 * gather and leave together, so that a slow peer gets fewer, larger frames.
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
   * Adds a message. One that is not urgent leaves with the next urgent one, or at the next
   * `flush`: order is kept, and a frame is saved, which costs more than the message in it.
   *
   * @returns false when the peer has not read for so long that the outbox is full
   */
  push (message: Message, urgent = true): boolean {
    if (this.#ended) return true
    if (this.#messages.length >= MAX_OUTBOX_MESSAGES) return false
    this.#messages.push(message)
    if (urgent) this.#wake?.()
    return true
  }

  /** Lets leave what waits for an urgent message. */
  flush (): void {
    if (this.#messages.length > 0) this.#wake?.()
  }

  /** Ends the frames after what waits now has been read. */
  end (): void {
    this.#ended = true
    this.#wake?.()
  }

  /**
   * The frames, starting with an empty one: the transport sends its headers only together with a
   * first frame, and the other end takes them as the sign that the link is up.
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
