/**
 * What it costs when agents report to every entry, and to some: messages, bytes and connections of
 * one agent and one entry, from the sizes of the real messages as the codec makes them.
 */
import type { AgentToEntry, EntryToAgent, PeerMessage } from '@amaranthmast/coordination/messages'
import { encodeAgentFrame, encodeEntryFrame, encodePeerFrame } from '@amaranthmast/protocol/codec'
import { AgentFrameSchema, EntryFrameSchema, PeerFrameSchema } from '@amaranthmast/protocol/inner_pb'
import { toBinary } from '@bufbuild/protobuf'
import { rounded } from './measures.ts'
import type { Row } from './sectiontypes.ts'

/** Budget of a node for control, in bytes a second, and of a worker in connections. */
const BUDGET = 5_000
const CONNECTIONS = 64
/** Connections of an agent that are not to entries: its target, and the store at times. */
const OTHER_CONNECTIONS = 3
/** Envelope of a message on a stream, and header of the HTTP/2 frame that holds it. */
const FRAMING = 5 + 9
/** Headers of TCP with its time stamps and of IP. */
const PACKET = 32 + 20
const SENT = 123_456_789.5

const FLEETS = [
  { agents: 11, entries: [3] },
  { agents: 1_100, entries: [12, 24] }
]
const SUBSETS = [1, 2, 3, Number.POSITIVE_INFINITY]
/** Heartbeats of agents, and those between entries, in milliseconds. */
const INTERVALS = [{ interval: 400, peerInterval: 400 }, { interval: 1_000, peerInterval: 1_000 }, { interval: 5_000, peerInterval: 1_000 }, { interval: 10_000, peerInterval: 2_000 }]

/** Bytes of the messages of a heartbeat, without and with what carries them. */
export interface MessageSizes {
  heartbeat: number
  reply: number
  report: number
  peerHeartbeat: number
}

/** Sizes as the codec makes them, one message in a frame. */
export function messageSizes (): MessageSizes {
  const heartbeat: AgentToEntry = { case: 'heartbeat', value: { sent: SENT, viewVersion: 1_000, configurationVersion: 1_000 } }
  const reply: EntryToAgent = { case: 'heartbeatReply', value: { sent: SENT, viewVersion: 1_000, confirmedAgeMilliseconds: 512.25 } }
  const report: AgentToEntry = { case: 'report', value: { running: 6, queued: 2, credit: 12, leaving: false, viewVersion: 1_000, configurationVersion: 1_000 } }
  const peerHeartbeat: PeerMessage = { case: 'heartbeat', value: { sent: SENT, viewVersion: 1_000, configurationVersion: 1_000 } }
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
    SUBSETS.filter(subset => subset < count || subset === Number.POSITIVE_INFINITY).flatMap(subset =>
      INTERVALS.map(intervals => reportsOf({ agents, entries: count, subset: Math.min(subset, count), ...intervals })))))
}

/** A fleet in which every agent reports to some entries. */
export interface Reporting {
  agents: number
  entries: number
  subset: number
  /** Interval of an agent's heartbeats, in milliseconds. */
  interval: number
  /** Interval of heartbeats between entries, in milliseconds. */
  peerInterval: number
}

/**
 * Figures of one agent and one entry, in both directions together. An exchange is a heartbeat, its
 * reply, and the bare acknowledgement of the reply; the reply acknowledges the heartbeat.
 */
export function reportsOf ({ agents, entries, subset, interval, peerInterval }: Reporting): Row {
  const { heartbeat, reply, peerHeartbeat } = messageSizes()
  const payload = heartbeat + reply + 2 * FRAMING
  const exchange = payload + 3 * PACKET
  const exchangesOfAgent = subset * 1_000 / interval
  const agentsOfEntry = agents * subset / entries
  const exchangesOfEntry = agentsOfEntry * 1_000 / interval
  const peerMessages = 2 * (entries - 1) * 1_000 / peerInterval
  const peerBytes = peerMessages * (peerHeartbeat + FRAMING + PACKET + PACKET / 2)
  const agentBytes = exchangesOfAgent * exchange
  const entryBytes = exchangesOfEntry * exchange + peerBytes
  return {
    fleet: `${entries}/${agents}`,
    reportsTo: subset,
    interval,
    peerInterval,
    agentConnections: subset + OTHER_CONNECTIONS,
    agentMessages: rounded(2 * exchangesOfAgent, 2),
    agentBytes: rounded(agentBytes, 0),
    entryConnections: rounded(agentsOfEntry + entries - 1, 0),
    entryMessages: rounded(2 * exchangesOfEntry + peerMessages, 1),
    entryBytes: rounded(entryBytes, 0),
    entryBytesWithoutPackets: rounded(exchangesOfEntry * payload + peerMessages * (peerHeartbeat + FRAMING), 0),
    fits: verdict(agentBytes, entryBytes, subset + OTHER_CONNECTIONS)
  }
}

function verdict (agentBytes: number, entryBytes: number, connections: number): string {
  if (connections > CONNECTIONS) return 'no: connections'
  if (agentBytes > BUDGET) return 'no: agent'
  return entryBytes > BUDGET ? 'no: entry' : 'yes'
}
