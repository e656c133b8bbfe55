/** Connections between entries and agents. Messages stay in order, take time, and are delayed or lost by faults. */
import type { Timeline } from './timeline.ts'

/** Callbacks of one end of a connection. */
export interface LinkEnd {
  linked: () => void
  received: (message: unknown) => void
  unlinked: () => void
}

interface Connection {
  entry: LinkEnd
  agent: LinkEnd
  entryOpen: boolean
  agentOpen: boolean
  /** Earliest arrival of the next message at each end. It keeps the messages of a direction in order. */
  atEntry: number
  atAgent: number
}

/** All connections of a fleet, at most one for each pair of an entry and an agent. */
export class Connections {
  readonly #timeline: Timeline
  readonly #travelTime: (pair: string) => number
  readonly #connections = new Map<string, Connection>()
  /** When the cut of a pair ends, on the timeline. */
  readonly #cuts = new Map<string, number>()

  /** @param travelTime returns the travel time of the next message of a pair, in milliseconds */
  constructor (timeline: Timeline, travelTime: (pair: string) => number) {
    this.#timeline = timeline
    this.#travelTime = travelTime
  }

  get (pair: string): boolean {
    return this.#connections.has(pair)
  }

  cut (pair: string, milliseconds: number): void {
    this.#cuts.set(pair, Math.max(this.#cuts.get(pair) ?? 0, this.#timeline.now + milliseconds))
  }

  isCut (pair: string): boolean {
    return (this.#cuts.get(pair) ?? 0) > this.#timeline.now
  }

  /** Opens a connection. It replaces an earlier one of the pair, whose agent end is closed and whose messages are dropped. */
  open (pair: string, entry: LinkEnd, agent: LinkEnd): void {
    this.#connections.get(pair)?.agent.unlinked()
    const connection: Connection = { entry, agent, entryOpen: true, agentOpen: true, atEntry: 0, atAgent: 0 }
    this.#connections.set(pair, connection)
    agent.linked()
    entry.linked()
  }

  /** Closes a connection at the entry's end. The agent's end closes after the travel time. */
  closeByEntry (pair: string): void {
    const connection = this.#connections.get(pair)
    if (connection?.entryOpen !== true) return
    connection.entryOpen = false
    connection.entry.unlinked()
    this.#deliver(pair, connection, 'atAgent', () => this.#closeAgentEnd(pair, connection))
  }

  /** Drops a connection without notifying either end, as when a machine loses power. */
  drop (pair: string): void {
    this.#connections.delete(pair)
  }

  closeByAgent (pair: string): void {
    const connection = this.#connections.get(pair)
    if (connection?.agentOpen !== true) return
    this.#closeAgentEnd(pair, connection)
    this.#deliver(pair, connection, 'atEntry', () => this.#closeEntryEnd(pair, connection))
  }

  toAgent (pair: string, message: unknown): void {
    const connection = this.#connections.get(pair)
    if (connection?.entryOpen !== true) return
    this.#deliver(pair, connection, 'atAgent', () => { if (connection.agentOpen) connection.agent.received(message) })
  }

  toEntry (pair: string, message: unknown): void {
    const connection = this.#connections.get(pair)
    if (connection?.agentOpen !== true) return
    this.#deliver(pair, connection, 'atEntry', () => { if (connection.entryOpen) connection.entry.received(message) })
  }

  #closeAgentEnd (pair: string, connection: Connection): void {
    if (!connection.agentOpen || this.#connections.get(pair) !== connection) return
    connection.agentOpen = false
    connection.agent.unlinked()
    this.#removeIfClosed(pair, connection)
  }

  #closeEntryEnd (pair: string, connection: Connection): void {
    if (!connection.entryOpen || this.#connections.get(pair) !== connection) return
    connection.entryOpen = false
    connection.entry.unlinked()
    this.#removeIfClosed(pair, connection)
  }

  #removeIfClosed (pair: string, connection: Connection): void {
    if (!connection.entryOpen && !connection.agentOpen) this.#connections.delete(pair)
  }

  /** Messages sent during a cut arrive after it, unless the connection has been replaced or dropped by then. */
  #deliver (pair: string, connection: Connection, direction: 'atEntry' | 'atAgent', action: () => void): void {
    const { now } = this.#timeline
    const travelTime = this.#travelTime(pair)
    const arrival = Math.max(now + travelTime, connection[direction] + 0.001, (this.#cuts.get(pair) ?? 0) + travelTime)
    connection[direction] = arrival
    this.#timeline.after(arrival - now, () => {
      if (this.#connections.get(pair) === connection) action()
    })
  }
}
