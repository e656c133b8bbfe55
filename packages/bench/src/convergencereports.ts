/**
 * Cost of agents' reports to all or some entries: messages, bytes and connections of one agent and
 * one entry, calculated from the encoded sizes of the real messages.
 */
import type { AgentToEntry, EntryToAgent, PeerMessage } from '@amaranthmast/coordination/messages'
import { encodeAgentFrame, encodeEntryFrame, encodePeerFrame } from '@amaranthmast/protocol/codec'
import { AgentFrameSchema, EntryFrameSchema, PeerFrameSchema } from '@amaranthmast/protocol/inner_pb'
import { toBinary } from '@bufbuild/protobuf'
import { round } from './measures.ts'
import type { Row } from './sectiontypes.ts'

/** Budget of a node for control traffic, in bytes per second, and of a worker for connections. */
const MAX_BYTES_PER_SECOND = 5_000
const MAX_CONNECTIONS = 64
/** Connections of an agent other than to entries: to its target and, at times, to the store. */
const OTHER_CONNECTIONS = 3
/** Envelope of a message on a stream, and header of its HTTP/2 frame. */
const FRAMING_BYTES = 5 + 9
/** Headers of TCP with timestamps, and of IP. */
const PACKET_HEADER_BYTES = 32 + 20
const SAMPLE_TIMESTAMP = 123_456_789.5

const FLEETS = [
  { agents: 11, entries: [3] },
  { agents: 1_100, entries: [12, 24] }
]
const REPORTED_ENTRIES = [1, 2, 3, Number.POSITIVE_INFINITY]
/** Intervals of agents' heartbeats and of heartbeats between entries, in milliseconds. */
const HEARTBEAT_INTERVALS = [{ interval: 400, peerInterval: 400 }, { interval: 1_000, peerInterval: 1_000 }, { interval: 5_000, peerInterval: 1_000 }, { interval: 10_000, peerInterval: 2_000 }]

/** Encoded sizes in bytes of heartbeat messages, without framing. */
export interface MessageSizes {
  heartbeat: number
  reply: number
  report: number
  peerHeartbeat: number
}

/** Returns the encoded sizes of the messages, with one message per frame. */
export function messageSizes (): MessageSizes {
  const heartbeat: AgentToEntry = { case: 'heartbeat', value: { sent: SAMPLE_TIMESTAMP, viewVersion: 1_000, configurationVersion: 1_000 } }
  const reply: EntryToAgent = { case: 'heartbeatReply', value: { sent: SAMPLE_TIMESTAMP, viewVersion: 1_000, confirmedAgeMilliseconds: 512.25 } }
  const report: AgentToEntry = { case: 'report', value: { running: 6, queued: 2, credit: 12, leaving: false, viewVersion: 1_000, configurationVersion: 1_000 } }
  const peerHeartbeat: PeerMessage = { case: 'heartbeat', value: { sent: SAMPLE_TIMESTAMP, viewVersion: 1_000, configurationVersion: 1_000 } }
  return {
    heartbeat: toBinary(AgentFrameSchema, encodeAgentFrame([heartbeat])).length,
    reply: toBinary(EntryFrameSchema, encodeEntryFrame([reply])).length,
    report: toBinary(AgentFrameSchema, encodeAgentFrame([report])).length,
    peerHeartbeat: toBinary(PeerFrameSchema, encodePeerFrame([peerHeartbeat])).length
  }
}

/** One row per fleet, number of entries that an agent reports to, and interval of heartbeats. */
export function measureReports (): Row[] {
  return FLEETS.flatMap(({ agents, entries }) => entries.flatMap(count =>
    REPORTED_ENTRIES.filter(subset => subset < count || subset === Number.POSITIVE_INFINITY).flatMap(subset =>
      HEARTBEAT_INTERVALS.map(intervals => reportTraffic({ agents, entries: count, subset: Math.min(subset, count), ...intervals })))))
}

/** A fleet in which every agent reports to `subset` entries. */
export interface ReportingOptions {
  agents: number
  entries: number
  subset: number
  /** Interval of an agent's heartbeats, in milliseconds. */
  interval: number
  /** Interval of heartbeats between entries, in milliseconds. */
  peerInterval: number
}

/**
 * Calculates the traffic of one agent and one entry, both directions added up. An exchange consists
 * of a heartbeat, its reply, which also acknowledges the heartbeat, and the bare acknowledgement of
 * the reply.
 */
export function reportTraffic ({ agents, entries, subset, interval, peerInterval }: ReportingOptions): Row {
  const { heartbeat, reply, peerHeartbeat } = messageSizes()
  const payload = heartbeat + reply + 2 * FRAMING_BYTES
  const exchange = payload + 3 * PACKET_HEADER_BYTES
  const exchangesOfAgent = subset * 1_000 / interval
  const agentsOfEntry = agents * subset / entries
  const exchangesOfEntry = agentsOfEntry * 1_000 / interval
  const peerMessages = 2 * (entries - 1) * 1_000 / peerInterval
  const peerBytes = peerMessages * (peerHeartbeat + FRAMING_BYTES + PACKET_HEADER_BYTES + PACKET_HEADER_BYTES / 2)
  const agentBytes = exchangesOfAgent * exchange
  const entryBytes = exchangesOfEntry * exchange + peerBytes
  return {
    fleet: `${entries}/${agents}`,
    reportsTo: subset,
    interval,
    peerInterval,
    agentConnections: subset + OTHER_CONNECTIONS,
    agentMessages: round(2 * exchangesOfAgent, 2),
    agentBytes: round(agentBytes, 0),
    entryConnections: round(agentsOfEntry + entries - 1, 0),
    entryMessages: round(2 * exchangesOfEntry + peerMessages, 1),
    entryBytes: round(entryBytes, 0),
    entryBytesWithoutPackets: round(exchangesOfEntry * payload + peerMessages * (peerHeartbeat + FRAMING_BYTES), 0),
    fits: checkBudget(agentBytes, entryBytes, subset + OTHER_CONNECTIONS)
  }
}

function checkBudget (agentBytes: number, entryBytes: number, connections: number): string {
  if (connections > MAX_CONNECTIONS) return 'no: connections'
  if (agentBytes > MAX_BYTES_PER_SECOND) return 'no: agent'
  return entryBytes > MAX_BYTES_PER_SECOND ? 'no: entry' : 'yes'
}
