/** Server of the inner protocol: HTTP/2 in clear text, on entries only. */
import { Inner } from '@amaranthmast/protocol/inner_pb'
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import { Code, ConnectError, createContextKey, createContextValues } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { Instance } from '@amaranthmast/coordination/messages'
import type { ResultAsync } from 'neverthrow'
import type { IncomingMessage } from 'node:http'
import type { Http2Server, Http2ServerRequest, ServerHttp2Session } from 'node:http2'
import { constants, createServer } from 'node:http2'
import { SESSION_MEMORY_MEGABYTES } from './defaults.ts'
import type { ListenError } from './listen.ts'
import { listen } from './listen.ts'
import type { Links } from './links.ts'

/** Header with the instance of the dialling process. */
export const INSTANCE_HEADER = 'amaranthmast-instance'

/** Header with the instance that the dialling process expects to reach. */
export const EXPECTED_HEADER = 'amaranthmast-expected'

/** Header of a stream that only checks whether the expected instance listens here. */
export const PROBE_HEADER = 'amaranthmast-probe'

const requestKey = createContextKey<Http2ServerRequest | IncomingMessage | undefined>(undefined)

/** Serves the streams of agents and peers. */
export class InnerListener {
  readonly #server: Http2Server
  readonly #sessions = new Set<ServerHttp2Session>()

  constructor (service: ServiceImpl<typeof Inner>) {
    const handler = connectNodeAdapter({
      routes: router => { router.service(Inner, service) },
      contextValues: request => createContextValues().set(requestKey, request),
      acceptCompression: [],
      grpc: false,
      grpcWeb: false
    })
    this.#server = createServer({ maxSessionMemory: SESSION_MEMORY_MEGABYTES }, handler)
    this.#server.on('session', session => this.#track(session))
  }

  /** Starts to listen and returns the port. */
  listen (host: string, port: number): ResultAsync<number, ListenError> {
    return listen(this.#server, host, port)
  }

  /** Stops listening and destroys the open connections. */
  close (): void {
    this.#server.close()
    for (const session of this.#sessions) session.destroy()
  }

  #track (session: ServerHttp2Session): void {
    this.#sessions.add(session)
    session.on('close', () => this.#sessions.delete(session))
    session.on('error', () => session.destroy())
  }
}

/**
 * Serves one stream as a link, until either end closes it.
 *
 * @param own the instance of this process
 * @param messagesOf reads a received frame
 */
export async function * serveLink<In, Out, InFrame, OutFrame> (
  links: Links<In, Out, OutFrame>, own: Instance, requests: AsyncIterable<InFrame>,
  context: HandlerContext, messagesOf: (frame: InFrame) => In[]
): AsyncGenerator<OutFrame> {
  const peer = callingInstance(context, own)
  const outbox = links.newOutbox()
  if (context.requestHeader.has(PROBE_HEADER)) {
    outbox.end()
    yield * outbox.frames()
    return
  }
  const link = links.open(peer, outbox, () => reset(context))
  receiveAll(requests, messagesOf, link)
  try {
    yield * outbox.frames()
  } finally {
    link.close()
  }
}

async function receiveAll<In, InFrame> (
  requests: AsyncIterable<InFrame>, messagesOf: (frame: InFrame) => In[],
  link: { receive: (messages: readonly In[]) => void, close: () => void }
): Promise<void> {
  try {
    for await (const frame of requests) link.receive(messagesOf(frame))
  } catch {
    // The link is closed whatever the error.
  } finally {
    link.close()
  }
}

/**
 * Returns the instance of the dialling process. Throws `FailedPrecondition` when that process expects
 * another instance here: the expected one listened at this address and no longer does.
 */
function callingInstance (context: HandlerContext, own: Instance): Instance {
  const instance = context.requestHeader.get(INSTANCE_HEADER)
  if (instance === null) throw new ConnectError(`header ${INSTANCE_HEADER} is missing`, Code.InvalidArgument)
  const expected = context.requestHeader.get(EXPECTED_HEADER)
  if (expected !== own) throw new ConnectError(`this is ${own}, not ${expected}`, Code.FailedPrecondition)
  return instance
}

/** Resets a stream. Its other end may have stopped reading, so that ending it in order could take forever. */
function reset (context: HandlerContext): void {
  const request = context.values.get(requestKey)
  if (request !== undefined && 'stream' in request) request.stream.close(constants.NGHTTP2_CANCEL)
}
