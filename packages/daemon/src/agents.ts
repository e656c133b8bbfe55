/** The entry's end of the streams that agents open. */
import type { EntryEvent } from '@amaranthmast/coordination/entrytypes'
import type { AgentToEntry, EntryToAgent, Instance } from '@amaranthmast/coordination/messages'
import { decodeAgentFrame, encodeEntryFrame } from '@amaranthmast/protocol/codec'
import type { AgentFrame, EntryFrame } from '@amaranthmast/protocol/inner_pb'
import type { HandlerContext } from '@connectrpc/connect'
import { serveLink } from './innerlistener.ts'
import { Links } from './links.ts'

export class Agents {
  readonly #own: Instance
  readonly #links: Links<AgentToEntry, EntryToAgent, EntryFrame>

  /** @param post receives the events of all agents */
  constructor (own: Instance, post: (event: EntryEvent) => void) {
    this.#own = own
    this.#links = new Links<AgentToEntry, EntryToAgent, EntryFrame>({
      connected: () => {},
      message: (agent, message) => post({ type: 'agentMessage', agent, message }),
      disconnected: agent => post({ type: 'agentDisconnected', agent })
    }, encodeEntryFrame)
  }

  /** Serves the stream of one agent. */
  serve (frames: AsyncIterable<AgentFrame>, context: HandlerContext): AsyncIterable<EntryFrame> {
    return serveLink(this.#links, this.#own, frames, context, decodeAgentFrame)
  }

  /**
   * Sends a message; it is dropped when the agent has no link. An acknowledgement only lets the agent
   * discard a result sooner, so it is delayed until the next message or `sweep`.
   */
  send (agent: Instance, message: EntryToAgent): void {
    this.#links.send(agent, message, message.case !== 'acknowledge')
  }

  /** Number of linked agents. */
  get size (): number {
    return this.#links.size
  }

  /** Sends delayed messages, and closes links on which nothing has been received for longer than `timeout` milliseconds. */
  sweep (now: number, timeout: number): void {
    this.#links.flush()
    this.#links.sweep(now, timeout)
  }

  /** Sends the pending messages and ends the streams in order. */
  finish (): void {
    this.#links.finish()
  }
}
