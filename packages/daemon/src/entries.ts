/** The agent's end of the streams to entries. */
import type { AgentEvent } from '@amaranthmast/coordination/agenttypes'
import type { AgentToEntry, EntryToAgent } from '@amaranthmast/coordination/messages'
import { encodeAgentFrame, decodeEntryFrame } from '@amaranthmast/protocol/codec'
import type { AgentFrame, EntryFrame } from '@amaranthmast/protocol/inner_pb'
import type { Destination } from './dialer.ts'
import { DialledLinks } from './dialledlinks.ts'
import type { Environment } from './environment.ts'
import type { LinkDial } from './innerclient.ts'
import { dialLink } from './innerclient.ts'
import { Links } from './links.ts'

export class Entries extends DialledLinks<EntryToAgent, AgentToEntry, AgentFrame> {
  readonly #dial: LinkDial<EntryToAgent, AgentToEntry, EntryFrame, AgentFrame>

  /** @param post receives the events of all entries */
  constructor (environment: Environment, post: (event: AgentEvent) => void) {
    const links = new Links<EntryToAgent, AgentToEntry, AgentFrame>({
      connected: entry => post({ type: 'entryConnected', entry }),
      message: (entry, message) => post({ type: 'entryMessage', entry, message }),
      disconnected: entry => post({ type: 'entryDisconnected', entry })
    }, encodeAgentFrame)
    super(links, environment)
    this.#dial = {
      links,
      own: environment.instance,
      open: (client, frames, options) => client.agent(frames, options),
      messagesOf: decodeEntryFrame,
      log: environment.log
    }
  }

  protected override async attempt (destination: Destination, signal: AbortSignal): Promise<boolean> {
    return (await dialLink(this.#dial, destination, signal)).wasUp
  }
}
