/** Client for the JSON gateway of the etcd-compatible key-value service. */
import type {
  CallCounts, ChangeResult, KeyValueEntry, LeaseResult, PrefixResult, ReadResult, SwapResult, WatchEnd, WatchEvent
} from './entries.ts'
import type { StoreError } from './errors.ts'
import type { WireLease, WirePut, WireRange, WireTransaction } from './gateway.ts'
import { err, errAsync, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { CALL_TIMEOUT_MILLISECONDS, MAX_VALUE_BYTES } from './defaults.ts'
import { WatchEndKind } from './entries.ts'
import { Endpoints } from './endpoints.ts'
import { postJson } from './exchange.ts'
import { StoreRejected, StoreTimedOut } from './errors.ts'
import { decodeEntry, decodeInteger, encodePrefixEnd, encodeBase64, GatewayPath } from './gateway.ts'
import { classifyExchange } from './classification.ts'
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

/** Ends a watch and calls its `onEnd` synchronously. */
export type CancelWatch = () => void

/** How a call is counted and whether it may be repeated. */
interface CallKind {
  counter: 'reads' | 'writes' | 'leases'
  /** Whether the call changes the store. If the response is lost, its effect is unknown. */
  isWrite: boolean
  /** Whether the call is idempotent and can be retried even if the first attempt took effect. */
  repeatable: boolean
}

const READ: CallKind = { counter: 'reads', isWrite: false, repeatable: true }
const WRITE: CallKind = { counter: 'writes', isWrite: true, repeatable: false }
const LEASE_GRANT: CallKind = { counter: 'leases', isWrite: true, repeatable: false }
const LEASE_UPDATE: CallKind = { counter: 'leases', isWrite: true, repeatable: true }

/**
 * Client for the service's JSON gateway. Calls never throw or reject. Each returns a result with the
 * value or a `StoreError`; its `mayHaveTakenEffect` distinguishes a write with an unknown outcome from
 * one that was certainly not applied.
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

  /** Calls made so far. Each retry counts as a call. */
  get calls (): CallCounts {
    return { ...this.#counts }
  }

  /** Time of the last successful response, from `now`; undefined before the first. */
  get lastAnswerAt (): number | undefined {
    return this.#lastAnswerAt
  }

  /** Reads one key. */
  read (key: string): ResultAsync<ReadResult, StoreError> {
    return this.#call<WireRange>(GatewayPath.Range, { key: encodeBase64(key) }, READ)
      .map((answer) => ({ entry: firstEntry(answer), revision: decodeInteger(answer.header?.revision) }))
  }

  /**
   * Reads one key if its revision differs from `knownModRevision` (0: the key does not exist). If it
   * is unchanged, the service does not send the value. A deletion counts as a change.
   *
   * This is a single read-only transaction, and linearizable like `read`: the range in the failure
   * branch is not marked serializable, so the service first confirms with a majority that no newer
   * state exists. The response, including "unchanged", reflects a point in time after the call was sent.
   */
  readIfChanged (key: string, knownModRevision: number): ResultAsync<ChangeResult, StoreError> {
    return this.#call<WireTransaction>(GatewayPath.Transaction, compareRevision(key, knownModRevision, []), READ)
      .andThen(decodeChange)
  }

  /**
   * Reads up to `limit` keys that start with `prefix`.
   * @param descending whether to sort the keys in descending order @default false
   */
  readPrefix (prefix: string, limit: number, descending = false): ResultAsync<PrefixResult, StoreError> {
    const request = {
      key: prefix === '' ? encodeBase64('\0') : encodeBase64(prefix),
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
   * Writes `key` if its revision is still `expectedModRevision` (0: the key must not exist), together
   * with the keys in `also`, which are written unconditionally. All writes happen in one transaction or
   * not at all. The call is not retried once it may have taken effect, because the second attempt would
   * report a conflict with the first.
   */
  compareAndSwap (
    key: string, expectedModRevision: number, value: string, also: readonly KeyValueWrite[] = []
  ): ResultAsync<SwapResult, StoreError> {
    const writes = [{ key, value }, ...also]
    const rejection = checkValueSizes(writes)
    if (rejection !== undefined) {
      return errAsync(rejection)
    }
    const puts = writes.map((write) => ({ request_put: { key: encodeBase64(write.key), value: encodeBase64(write.value) } }))
    const request = compareRevision(key, expectedModRevision, puts)
    return this.#call<WireTransaction>(GatewayPath.Transaction, request, WRITE).map(decodeSwap)
  }

  /** Writes `key` unconditionally, attached to `lease` if given. Returns the revision. */
  put (key: string, value: string, lease?: string): ResultAsync<number, StoreError> {
    const rejection = checkValueSizes([{ key, value }])
    if (rejection !== undefined) {
      return errAsync(rejection)
    }
    const request = { key: encodeBase64(key), value: encodeBase64(value), ...(lease === undefined ? {} : { lease }) }
    return this.#call<WirePut>(GatewayPath.Put, request, WRITE)
      .map((answer) => decodeInteger(answer.header?.revision))
  }

  /** Requests a lease of at least `seconds`; the service may grant a longer one. */
  grantLease (seconds: number): ResultAsync<LeaseResult, StoreError> {
    return this.#call<WireLease>(GatewayPath.LeaseGrant, { TTL: String(seconds) }, LEASE_GRANT).andThen(decodeLease)
  }

  /** Renews a lease. The resulting `seconds` is 0 if the lease has expired. */
  keepLeaseAlive (lease: string): ResultAsync<LeaseResult, StoreError> {
    return this.#call<{ result?: WireLease }>(GatewayPath.LeaseKeepAlive, { ID: lease }, LEASE_UPDATE)
      .map((answer) => ({ lease, seconds: decodeInteger(answer.result?.TTL) }))
  }

  /** Revokes a lease and deletes the keys attached to it. Rejected if the lease no longer exists. */
  revokeLease (lease: string): ResultAsync<void, StoreError> {
    return this.#call<object>(GatewayPath.LeaseRevoke, { ID: lease }, LEASE_UPDATE).map(() => undefined)
  }

  /**
   * Watches one key starting at `fromRevision`. Makes one attempt at one endpoint and does not
   * reconnect; use `Watcher` for that. After a watch was cut, or cancelled because it missed changes,
   * the next call tries another endpoint first.
   * @param onEnd called exactly once, also when the watch is cancelled
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

  /** Ends all watches and closes all connections. Calls in progress fail. */
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
   * Tries the endpoints in turn while a retry is safe: the failed attempt certainly had no effect, or
   * the call is idempotent. An endpoint that refuses connections or does not respond costs one attempt;
   * the endpoint that responds becomes the preferred one. After a write with an unknown outcome, the
   * next call (which should read the key back) goes to another endpoint.
   */
  async #attempt<Body extends object> (path: GatewayPath, body: string, kind: CallKind): Promise<Result<Body, StoreError>> {
    let index = this.#endpoints.preferred
    let mayHaveTakenEffect = false
    for (let attempt = 1; ; attempt++) {
      this.#counts[kind.counter] += 1
      const result = await postJson(this.#endpoints.pool(index), path, body, this.#timeoutMilliseconds)
      const outcome = classifyExchange<Body>(result, kind.isWrite)
      if (!(outcome instanceof Error)) {
        this.#lastAnswerAt = this.#now()
        return ok(outcome)
      }
      mayHaveTakenEffect ||= outcome.mayHaveTakenEffect
      if (outcome instanceof StoreRejected) {
        return err(withEarlierUncertainty(outcome, mayHaveTakenEffect))
      }
      this.#endpoints.avoid(index)
      index = this.#endpoints.after(index)
      const mayRetry = !outcome.mayHaveTakenEffect || kind.repeatable
      if (!mayRetry || attempt >= this.#endpoints.size) {
        return err(withEarlierUncertainty(outcome, mayHaveTakenEffect))
      }
    }
  }
}

/** Returns the last error of a call, with `mayHaveTakenEffect` set if an earlier attempt may have taken effect. */
function withEarlierUncertainty (error: StoreError, mayHaveTakenEffect: boolean): StoreError {
  if (error.mayHaveTakenEffect === mayHaveTakenEffect) {
    return error
  }
  return new StoreTimedOut(`an earlier attempt got no response, the last one failed: ${error.message}`, true, error)
}

function firstEntry (range: WireRange | undefined): KeyValueEntry | undefined {
  const wire = range?.kvs?.[0]
  return wire === undefined ? undefined : decodeEntry(wire)
}

/** Builds a transaction that runs `success` if `key` is at `modRevision`, and otherwise reads the key. */
function compareRevision (key: string, modRevision: number, success: object[]): object {
  const encodedKey = encodeBase64(key)
  return {
    compare: [{ target: 'MOD', result: 'EQUAL', key: encodedKey, mod_revision: String(modRevision) }],
    success,
    failure: [{ request_range: { key: encodedKey } }]
  }
}

/** Treats a response without the range as a failed call; otherwise it would be reported as a deletion of the key. */
function decodeChange (answer: WireTransaction): Result<ChangeResult, StoreError> {
  const revision = decodeInteger(answer.header?.revision)
  if (answer.succeeded === true) {
    return ok({ changed: false, revision })
  }
  const range = answer.responses?.[0]?.response_range
  if (range === undefined) {
    return err(new StoreTimedOut('the response to a transaction lacks its range', false))
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
    return err(new StoreRejected(answer.error ?? 'the response contains no lease ID'))
  }
  return ok({ lease: String(answer.ID), seconds: decodeInteger(answer.TTL) })
}

function checkValueSizes (writes: readonly KeyValueWrite[]): StoreRejected | undefined {
  for (const write of writes) {
    const bytes = Buffer.byteLength(write.value, 'utf8')
    if (bytes > MAX_VALUE_BYTES) {
      return new StoreRejected(`the value of ${write.key} has ${bytes} bytes, the limit is ${MAX_VALUE_BYTES}`)
    }
  }
  return undefined
}
