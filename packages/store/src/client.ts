/** Client of the platform's key-value service. */
import type {
  CallCounts, ChangeResult, KeyValueEntry, LeaseResult, PrefixResult, ReadResult, SwapResult, WatchEnd, WatchEvent
} from './entries.ts'
import type { StoreError } from './errors.ts'
import type { WireLease, WirePut, WireRange, WireTransaction } from './gateway.ts'
import { err, errAsync, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { CALL_TIMEOUT_MILLISECONDS, MAXIMUM_VALUE_BYTES } from './defaults.ts'
import { WatchEndKind } from './entries.ts'
import { Endpoints } from './endpoints.ts'
import { exchange } from './exchange.ts'
import { StoreRejected, StoreTimedOut } from './errors.ts'
import { decodeEntry, decodeInteger, encodePrefixEnd, encodeText, GatewayPath } from './gateway.ts'
import { judge } from './verdict.ts'
import { WatchStream } from './watchstream.ts'

/** Options of `KeyValueClient`. */
export interface KeyValueClientOptions {
  /** Origins of the service, such as `http://10.0.0.1:2379`; at least one. */
  endpoints: readonly string[]
  /**
   * Time limit of one attempt, in milliseconds. A call that is safe to repeat makes up to one
   * attempt at each endpoint.
   * @default 1000
   */
  timeoutMilliseconds?: number
  /** Random numbers from 0 to below 1. */
  random: () => number
  /** Clock in milliseconds. */
  now: () => number
}

/** One key with the value to write. */
export interface KeyValueWrite {
  key: string
  value: string
}

/** Ends a watch; its `onEnd` is called at once. */
export type CancelWatch = () => void

/** How a call is counted and whether it may be repeated. */
interface CallKind {
  counter: 'reads' | 'writes' | 'leases'
  /** Whether the call changes the store, so that a lost answer leaves its effect open. */
  isWrite: boolean
  /** Whether a second attempt does no harm even if the first took effect. */
  repeatable: boolean
}

const READ: CallKind = { counter: 'reads', isWrite: false, repeatable: true }
const WRITE: CallKind = { counter: 'writes', isWrite: true, repeatable: false }
const LEASE_GRANT: CallKind = { counter: 'leases', isWrite: true, repeatable: false }
const LEASE_RENEWAL: CallKind = { counter: 'leases', isWrite: true, repeatable: true }

/**
 * Client of the service's JSON gateway. No call throws or rejects: each gives a result with the value
 * or a `StoreError`, whose `mayHaveTakenEffect` tells a write that is still in doubt from one that
 * provably did nothing.
 */
export class KeyValueClient {
  readonly #endpoints: Endpoints
  readonly #timeoutMilliseconds: number
  readonly #now: () => number
  readonly #counts: CallCounts = { reads: 0, writes: 0, leases: 0, watchesOpened: 0, watchesOpen: 0 }
  readonly #watches = new Set<WatchStream>()
  #lastAnswerAt: number | undefined

  constructor (options: KeyValueClientOptions) {
    this.#timeoutMilliseconds = options.timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS
    this.#endpoints = new Endpoints(options.endpoints, this.#timeoutMilliseconds, options.random)
    this.#now = options.now
  }

  /** Calls made so far, every attempt counted. */
  get calls (): CallCounts {
    return { ...this.#counts }
  }

  /** When the service last answered a call, by `now`; undefined before the first answer. */
  get lastAnswerAt (): number | undefined {
    return this.#lastAnswerAt
  }

  /** Reads one key. */
  read (key: string): ResultAsync<ReadResult, StoreError> {
    return this.#call<WireRange>(GatewayPath.Range, { key: encodeText(key) }, READ)
      .map((answer) => ({ entry: firstEntry(answer), revision: decodeInteger(answer.header?.revision) }))
  }

  /**
   * Reads one key, unless its revision is still `knownModRevision` (0: the key does not exist): then
   * the value is not sent. A deletion is a change, too.
   *
   * One transaction that only reads. It is as linearizable as `read`: the service first confirms
   * with a majority that no newer state exists, as the range in the failure branch is not marked
   * serializable. An answer thus shows the key as of an instant after the call was sent, also when
   * it says that nothing has changed.
   */
  readIfChanged (key: string, knownModRevision: number): ResultAsync<ChangeResult, StoreError> {
    return this.#call<WireTransaction>(GatewayPath.Transaction, compareRevision(key, knownModRevision, []), READ)
      .andThen(decodeChange)
  }

  /**
   * Reads the keys that start with `prefix`, at most `limit` of them.
   * @param descending last key first @default false
   */
  readPrefix (prefix: string, limit: number, descending = false): ResultAsync<PrefixResult, StoreError> {
    const request = {
      key: prefix === '' ? encodeText('\0') : encodeText(prefix),
      range_end: encodePrefixEnd(prefix),
      limit: String(limit),
      sort_order: descending ? 'DESCEND' : 'ASCEND',
      sort_target: 'KEY'
    }
    return this.#call<WireRange>(GatewayPath.Range, request, READ).map((answer) => ({
      entries: (answer.kvs ?? []).map(decodeEntry),
      more: answer.more === true,
      revision: decodeInteger(answer.header?.revision)
    }))
  }

  /**
   * Writes `key` if its revision is still `expectedModRevision` (0: the key must not exist), and
   * with it the keys of `also` whatever they hold: all in one transaction, or nothing. Never sent
   * twice once it may have taken effect, as the second attempt would report a conflict with the
   * first.
   */
  compareAndSwap (
    key: string, expectedModRevision: number, value: string, also: readonly KeyValueWrite[] = []
  ): ResultAsync<SwapResult, StoreError> {
    const writes = [{ key, value }, ...also]
    const refusal = refuseLargeValues(writes)
    if (refusal !== undefined) {
      return errAsync(refusal)
    }
    const puts = writes.map((write) => ({ request_put: { key: encodeText(write.key), value: encodeText(write.value) } }))
    const request = compareRevision(key, expectedModRevision, puts)
    return this.#call<WireTransaction>(GatewayPath.Transaction, request, WRITE).map(decodeSwap)
  }

  /** Writes `key` whatever it holds, attached to `lease` if one is given; gives the revision. */
  put (key: string, value: string, lease?: string): ResultAsync<number, StoreError> {
    const refusal = refuseLargeValues([{ key, value }])
    if (refusal !== undefined) {
      return errAsync(refusal)
    }
    const request = { key: encodeText(key), value: encodeText(value), ...(lease === undefined ? {} : { lease }) }
    return this.#call<WirePut>(GatewayPath.Put, request, WRITE)
      .map((answer) => decodeInteger(answer.header?.revision))
  }

  /** Obtains a lease of at least `seconds`; the service may give a longer one. */
  grantLease (seconds: number): ResultAsync<LeaseResult, StoreError> {
    return this.#call<WireLease>(GatewayPath.LeaseGrant, { TTL: String(seconds) }, LEASE_GRANT).andThen(decodeLease)
  }

  /** Renews a lease; `seconds` is 0 when it has expired. */
  keepLeaseAlive (lease: string): ResultAsync<LeaseResult, StoreError> {
    return this.#call<{ result?: WireLease }>(GatewayPath.LeaseKeepAlive, { ID: lease }, LEASE_RENEWAL)
      .map((answer) => ({ lease, seconds: decodeInteger(answer.result?.TTL) }))
  }

  /** Ends a lease and deletes the keys attached to it; a lease that is gone already is rejected. */
  revokeLease (lease: string): ResultAsync<void, StoreError> {
    return this.#call<object>(GatewayPath.LeaseRevoke, { ID: lease }, LEASE_RENEWAL).map(() => undefined)
  }

  /**
   * Watches one key from `fromRevision` on. One attempt at one endpoint: whoever wants a watch that
   * outlives faults takes a `Watcher`. After a watch that broke off, or was cancelled because it
   * brought nothing, another endpoint is asked first.
   * @param onEnd called once, also when the watch is cancelled
   */
  watch (
    key: string, fromRevision: number, onEvent: (event: WatchEvent) => void, onEnd: (end: WatchEnd) => void
  ): CancelWatch {
    const index = this.#endpoints.preferred
    const stream = new WatchStream(this.#endpoints.connection(index), {
      key,
      fromRevision,
      timeoutMilliseconds: this.#timeoutMilliseconds,
      onEvent,
      onEnd: (end) => {
        this.#watches.delete(stream)
        this.#counts.watchesOpen -= 1
        if (end.kind === WatchEndKind.Cut) {
          this.#endpoints.avoid(index)
        }
        onEnd(end)
      }
    })
    this.#watches.add(stream)
    this.#counts.watchesOpened += 1
    this.#counts.watchesOpen += 1
    stream.open()
    return () => { stream.cancel() }
  }

  /** Ends every watch and connection; calls in progress fail. */
  async close (): Promise<void> {
    for (const stream of [...this.#watches]) {
      stream.cancel()
    }
    await this.#endpoints.destroy()
  }

  #call<Body extends object> (path: GatewayPath, request: object, kind: CallKind): ResultAsync<Body, StoreError> {
    return new ResultAsync(this.#attempt<Body>(path, JSON.stringify(request), kind))
  }

  /**
   * Tries one endpoint after the other while that is safe: after a failure that provably did
   * nothing, or when the call may be repeated anyway. A refused or silent endpoint thus costs one
   * attempt, and the one that answers is asked first from then on. After a write in doubt the next
   * call, which is to read it back, goes to another endpoint.
   */
  async #attempt<Body extends object> (path: GatewayPath, body: string, kind: CallKind): Promise<Result<Body, StoreError>> {
    let index = this.#endpoints.preferred
    let mayHaveTakenEffect = false
    for (let attempt = 1; ; attempt++) {
      this.#counts[kind.counter] += 1
      const result = await exchange(this.#endpoints.pool(index), path, body, this.#timeoutMilliseconds)
      const verdict = judge<Body>(result, kind.isWrite)
      if (!(verdict instanceof Error)) {
        this.#lastAnswerAt = this.#now()
        return ok(verdict)
      }
      mayHaveTakenEffect ||= verdict.mayHaveTakenEffect
      if (verdict instanceof StoreRejected) {
        return err(withEarlierDoubt(verdict, mayHaveTakenEffect))
      }
      this.#endpoints.avoid(index)
      index = this.#endpoints.after(index)
      const safe = !verdict.mayHaveTakenEffect || kind.repeatable
      if (!safe || attempt >= this.#endpoints.size) {
        return err(withEarlierDoubt(verdict, mayHaveTakenEffect))
      }
    }
  }
}

/** The last error of a call, made to say so when an earlier attempt may have taken effect. */
function withEarlierDoubt (error: StoreError, mayHaveTakenEffect: boolean): StoreError {
  if (error.mayHaveTakenEffect === mayHaveTakenEffect) {
    return error
  }
  return new StoreTimedOut(`an earlier attempt was not answered, the last: ${error.message}`, true, error)
}

function firstEntry (range: WireRange | undefined): KeyValueEntry | undefined {
  const wire = range?.kvs?.[0]
  return wire === undefined ? undefined : decodeEntry(wire)
}

/** Transaction that does `success` if `key` is at `modRevision`, and otherwise gives what it holds. */
function compareRevision (key: string, modRevision: number, success: object[]): object {
  const encodedKey = encodeText(key)
  return {
    compare: [{ target: 'MOD', result: 'EQUAL', key: encodedKey, mod_revision: String(modRevision) }],
    success,
    failure: [{ request_range: { key: encodedKey } }]
  }
}

/** An answer without the range is none: taken for a missing key it would be reported as a deletion. */
function decodeChange (answer: WireTransaction): Result<ChangeResult, StoreError> {
  const revision = decodeInteger(answer.header?.revision)
  if (answer.succeeded === true) {
    return ok({ changed: false, revision })
  }
  const range = answer.responses?.[0]?.response_range
  if (range === undefined) {
    return err(new StoreTimedOut('the answer to a transaction lacks its range', false))
  }
  return ok({ changed: true, revision, entry: firstEntry(range) })
}

function decodeSwap (answer: WireTransaction): SwapResult {
  const revision = decodeInteger(answer.header?.revision)
  if (answer.succeeded === true) {
    return { applied: true, revision }
  }
  return { applied: false, revision, entry: firstEntry(answer.responses?.[0]?.response_range) }
}

function decodeLease (answer: WireLease): Result<LeaseResult, StoreError> {
  if (answer.ID === undefined) {
    return err(new StoreRejected(answer.error ?? 'the answer names no lease'))
  }
  return ok({ lease: String(answer.ID), seconds: decodeInteger(answer.TTL) })
}

function refuseLargeValues (writes: readonly KeyValueWrite[]): StoreRejected | undefined {
  for (const write of writes) {
    const bytes = Buffer.byteLength(write.value, 'utf8')
    if (bytes > MAXIMUM_VALUE_BYTES) {
      return new StoreRejected(`the value of ${write.key} has ${bytes} bytes, the limit is ${MAXIMUM_VALUE_BYTES}`)
    }
  }
  return undefined
}
