/** The agent's side of the streams to entries. */
import type { AgentEvent } from '@amaranthmast/coordination/agenttypes'
import type { AgentToEntry, EntryToAgent, Instance } from '@amaranthmast/coordination/messages'
import { agentFrame, entryMessages } from '@amaranthmast/protocol/codec'
import type { AgentFrame, EntryFrame } from '@amaranthmast/protocol/inner_pb'
import type { Destination } from './dialer.ts'
import { Dialer } from './dialer.ts'
import type { Environment } from './environment.ts'
import type { LinkDial } from './innerclient.ts'
import { dialLink } from './innerclient.ts'
import { Links } from './links.ts'

export class Entries {
  readonly #links: Links<EntryToAgent, AgentToEntry, AgentFrame>
  readonly #dialer: Dialer

  /** @param post takes the events of all entries */
  constructor ({ instance: own, log, random, now }: Environment, post: (event: AgentEvent) => void) {
    this.#links = new Links<EntryToAgent, AgentToEntry, AgentFrame>({
      connected: entry => post({ type: 'entryConnected', entry }),
      message: (entry, message) => post({ type: 'entryMessage', entry, message }),
      disconnected: entry => post({ type: 'entryDisconnected', entry })
    }, agentFrame)
    const dial: LinkDial<EntryToAgent, AgentToEntry, EntryFrame, AgentFrame> = {
      links: this.#links,
      own,
      open: (client, frames, options) => client.agent(frames, options),
      messagesOf: entryMessages,
      log
    }
    this.#dialer = new Dialer(async (destination, signal) => (await dialLink(dial, destination, signal)).wasUp, random, now)
  }

  /** Keeps a link to each of these entries and to no other. */
  connect (entries: readonly Destination[]): void {
    this.#links.retain(new Set(entries.map(({ instance }) => instance)))
    this.#dialer.want(entries)
  }

  /** Sends a message; dropped when the entry has no link. */
  send (entry: Instance, message: AgentToEntry): void {
    this.#links.send(entry, message)
  }

  /** Entries with a link. */
  get size (): number {
    return this.#links.size
  }

  /** Closes links that have been silent for longer than `silence`, in milliseconds. */
  sweep (now: number, silence: number): void {
    this.#links.sweep(now, silence)
  }

  /** Lets what waits leave and ends the streams in order. */
  finish (): void {
    this.#dialer.want([])
    this.#links.finish()
  }
}
