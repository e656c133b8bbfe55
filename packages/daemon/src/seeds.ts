/**
 * Requests the view from the entries in an agent's settings when the key-value service cannot be read.
 * Such a view is handled as one from any other entry: an old view leads the agent to entries that
 * have a newer one, and the agent accepts no work before every member of its view has answered.
 */
import type { Instance, View } from '@amaranthmast/coordination/messages'
import { encodeAgentFrame, encodeEntryFrame, decodeEntryFrame } from '@amaranthmast/protocol/codec'
import type { AgentFrame, EntryFrame } from '@amaranthmast/protocol/inner_pb'
import type { HandlerContext } from '@connectrpc/connect'
import type { Environment } from './environment.ts'
import type { OpenStream } from './innerclient.ts'
import { runStream } from './innerclient.ts'

/** Header of an agent's stream that only requests the view, from whichever entry listens at the address. */
const SEED_HEADER = 'amaranthmast-seed'

const openStream: OpenStream<AgentFrame, EntryFrame> = (client, frames, options) => client.agent(frames, options)

/** Returns whether a stream only requests the view. */
export function isViewRequest (context: HandlerContext): boolean {
  return context.requestHeader.has(SEED_HEADER)
}

/** Answers a view request with one `hello` message and ends the stream. */
export async function * sendView (instance: Instance, view: View, configurationVersion: number): AsyncGenerator<EntryFrame> {
  yield encodeEntryFrame([{ case: 'hello', value: { instance, view, configurationVersion } }])
}

/** The entries from which an agent may request the view. */
export class Seeds {
  readonly #environment: Environment
  readonly #addresses: readonly string[]
  readonly #stopped = new AbortController()
  #requesting = false

  /** @param addresses URLs of inner listeners */
  constructor (environment: Environment, addresses: readonly string[]) {
    this.#environment = environment
    this.#addresses = addresses
  }

  /**
   * Returns the view of the first entry that answers. The first one tried is random, so that agents which
   * start together do not all ask the same entry. Undefined when none answers, or while another call is in progress.
   */
  async view (): Promise<View | undefined> {
    if (this.#requesting) return undefined
    this.#requesting = true
    const first = Math.floor(this.#environment.random() * this.#addresses.length)
    const addresses = [...this.#addresses.slice(first), ...this.#addresses.slice(0, first)]
    let view: View | undefined
    for (const address of addresses) view ??= await this.#request(address)
    this.#requesting = false
    return view
  }

  /** Aborts the request in progress. */
  stop (): void {
    this.#stopped.abort()
  }

  async #request (address: string): Promise<View | undefined> {
    const answered = new AbortController()
    const signal = AbortSignal.any([answered.signal, this.#stopped.signal])
    const dial = { own: this.#environment.instance, open: openStream }
    let view: View | undefined
    await runStream(dial, { instance: '', address }, signal, emptyFrame(), { [SEED_HEADER]: '1' }, frame => {
      view ??= viewOf(frame)
      if (view !== undefined) answered.abort()
    })
    return view
  }
}

/** The transport sends its headers only together with a first frame. */
async function * emptyFrame (): AsyncGenerator<AgentFrame> {
  yield encodeAgentFrame([])
}

/** Returns the view in a frame; undefined when the entry has not joined yet and its view is empty. */
function viewOf (frame: EntryFrame): View | undefined {
  const views = decodeEntryFrame(frame).flatMap(message => message.case === 'hello' ? [message.value.view] : [])
  return views.find(({ members }) => members.length > 0)
}
