/** Client of the inner protocol. */
import type { Instance } from '@amaranthmast/coordination/messages'
import { Inner } from '@amaranthmast/protocol/inner_pb'
import type { CallOptions, Client } from '@connectrpc/connect'
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { CONNECT_TIMEOUT_MILLISECONDS, SESSION_MEMORY_MEGABYTES } from './defaults.ts'
import type { Destination } from './dialer.ts'
import { EXPECTED_HEADER, INSTANCE_HEADER, PROBE_HEADER } from './innerlistener.ts'
import type { Link, Links } from './links.ts'
import type { Logger } from './log.ts'

/** How a stream ended. */
export interface StreamEnd {
  /** Whether the stream was established. */
  wasUp: boolean
  /** Whether the instance no longer listens: its address refused the connection, or another instance listens there. */
  refused: boolean
  /** Why it ended, for the log. */
  reason: string
}

/** Opens one of the streams of the service. */
export type OpenStream<OutFrame, InFrame> =
  (client: Client<typeof Inner>, frames: AsyncIterable<OutFrame>, options: CallOptions) => AsyncIterable<InFrame>

/** What the client needs to run a stream as a link. */
export interface LinkDial<In, Out, InFrame, OutFrame> {
  links: Links<In, Out, OutFrame>
  /** The instance of this process. */
  own: Instance
  open: OpenStream<OutFrame, InFrame>
  messagesOf: (frame: InFrame) => In[]
  log: Logger
}

/** Dials an instance and runs the stream as a link until it ends. Never rejects. */
export async function dialLink<In, Out, InFrame, OutFrame> (
  dial: LinkDial<In, Out, InFrame, OutFrame>, destination: Destination, signal: AbortSignal
): Promise<StreamEnd> {
  const controller = new AbortController()
  const outbox = dial.links.newOutbox()
  let link: Link<In, Out, OutFrame> | undefined
  const end = await runStream(dial, destination, AbortSignal.any([signal, controller.signal]), outbox.frames(), {}, frame => {
    link ??= dial.links.open(destination.instance, outbox, () => controller.abort())
    link.receive(dial.messagesOf(frame))
  })
  link?.close()
  outbox.end()
  if (end.wasUp) dial.log.info({ peer: destination.instance, reason: end.reason }, 'link lost')
  return end
}

/** Checks whether the instance still listens, without opening a link. Never rejects. */
export async function probe<In, Out, InFrame, OutFrame> (
  dial: LinkDial<In, Out, InFrame, OutFrame>, destination: Destination, signal: AbortSignal
): Promise<StreamEnd> {
  const outbox = dial.links.newOutbox()
  outbox.end()
  return await runStream(dial, destination, signal, outbox.frames(), { [PROBE_HEADER]: '1' }, () => {})
}

/** Runs a stream until it ends. Never rejects. */
export async function runStream<In, Out, InFrame, OutFrame> (
  dial: Pick<LinkDial<In, Out, InFrame, OutFrame>, 'own' | 'open'>, destination: Destination, signal: AbortSignal,
  frames: AsyncIterable<OutFrame>, headers: Record<string, string>, received: (frame: InFrame) => void
): Promise<StreamEnd> {
  const connectTimeout = new AbortController()
  const timer = setTimeout(() => connectTimeout.abort(), CONNECT_TIMEOUT_MILLISECONDS)
  const sessions = sessionManager(destination.address)
  const options = {
    signal: AbortSignal.any([signal, connectTimeout.signal]),
    headers: { ...headers, [INSTANCE_HEADER]: dial.own, [EXPECTED_HEADER]: destination.instance }
  }
  let wasUp = false
  try {
    for await (const frame of dial.open(client(destination.address, sessions), frames, options)) {
      clearTimeout(timer)
      wasUp = true
      received(frame)
    }
    return { wasUp, refused: false, reason: 'ended by the other end' }
  } catch (error) {
    return { wasUp, refused: !wasUp && isRefusal(error), reason: error instanceof Error ? error.message : String(error) }
  } finally {
    clearTimeout(timer)
    sessions.abort()
  }
}

function client (address: string, sessions: Http2SessionManager): Client<typeof Inner> {
  return createClient(Inner, createConnectTransport({
    baseUrl: address, httpVersion: '2', sessionManager: sessions, acceptCompression: [], useBinaryFormat: true
  }))
}

/** Creates a session for one stream. Streams do not share sessions, so that a connection whose loss went undetected is never reused. */
function sessionManager (address: string): Http2SessionManager {
  return new Http2SessionManager(address, {}, { maxSessionMemory: SESSION_MEMORY_MEGABYTES })
}

function isRefusal (error: unknown): boolean {
  if (error instanceof ConnectError && error.code === Code.FailedPrecondition) return true
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ('code' in cause && cause.code === 'ECONNREFUSED') return true
  }
  return false
}
