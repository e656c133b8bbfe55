/**
 * Views from entries that an agent's settings name, for when the key-value service cannot be read.
 * What such an entry says is taken as the view of any entry is: an old one sends the agent to
 * entries that know a newer one, and it takes no work before every member of its view has answered.
 */
import type { Instance, View } from '@amaranthmast/coordination/messages'
import { encodeAgentFrame, encodeEntryFrame, decodeEntryFrame } from '@amaranthmast/protocol/codec'
import type { AgentFrame, EntryFrame } from '@amaranthmast/protocol/inner_pb'
import type { HandlerContext } from '@connectrpc/connect'
import type { Environment } from './environment.ts'
import type { OpenStream } from './innerclient.ts'
import { runStream } from './innerclient.ts'

/** Header of an agent's stream that only asks for the view, of whichever entry listens there. */
const SEED_HEADER = 'amaranthmast-seed'

const openStream: OpenStream<AgentFrame, EntryFrame> = (client, frames, options) => client.agent(frames, options)

/** Whether a stream only asks for the view. */
export function asksForView (context: HandlerContext): boolean {
  return context.requestHeader.has(SEED_HEADER)
}

/** Answers such a stream: one greeting, and the end. */
export async function * tellView (instance: Instance, view: View, configurationVersion: number): AsyncGenerator<EntryFrame> {
  yield encodeEntryFrame([{ case: 'hello', value: { instance, view, configurationVersion } }])
}

/** The entries that an agent may ask. */
export class Seeds {
  readonly #environment: Environment
  readonly #addresses: readonly string[]
  readonly #stopped = new AbortController()
  #asking = false

  /** @param addresses URLs of inner listeners */
  constructor (environment: Environment, addresses: readonly string[]) {
    this.#environment = environment
    this.#addresses = addresses
  }

  /**
   * The view of the first that answers, beginning with any of them, so that agents which start
   * together do not all ask the same. Undefined when none does, or while another call asks.
   */
  async view (): Promise<View | undefined> {
    if (this.#asking) return undefined
    this.#asking = true
    const first = Math.floor(this.#environment.random() * this.#addresses.length)
    const addresses = [...this.#addresses.slice(first), ...this.#addresses.slice(0, first)]
    let view: View | undefined
    for (const address of addresses) view ??= await this.#ask(address)
    this.#asking = false
    return view
  }

  /** Asks no more. */
  stop (): void {
    this.#stopped.abort()
  }

  async #ask (address: string): Promise<View | undefined> {
    const answered = new AbortController()
    const signal = AbortSignal.any([answered.signal, this.#stopped.signal])
    const dial = { own: this.#environment.instance, open: openStream }
    let view: View | undefined
    await runStream(dial, { instance: '', address }, signal, greeting(), { [SEED_HEADER]: '1' }, frame => {
      view ??= viewOf(frame)
      if (view !== undefined) answered.abort()
    })
    return view
  }
}

/** The transport sends its headers only together with a first frame. */
async function * greeting (): AsyncGenerator<AgentFrame> {
  yield encodeAgentFrame([])
}

/** An entry that has not joined yet has nothing to tell. */
function viewOf (frame: EntryFrame): View | undefined {
  const views = decodeEntryFrame(frame).flatMap(message => message.case === 'hello' ? [message.value.view] : [])
  return views.find(({ members }) => members.length > 0)
}
