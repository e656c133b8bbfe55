/** Operations of the key-value stand-in, with the request and response bodies of the published JSON gateway. */
import type { KeyValueState, StoredVersion } from './keyvaluestate.ts'
import { NO_LEASE } from './keyvaluestate.ts'

/** An integer as the gateway accepts it: a string or a number. */
type Integer = string | number

/** Body of a range. */
interface RangeRequest {
  key: string
  range_end?: string
  limit?: Integer
  sort_order?: string
  revision?: Integer
}

/** Body of a put. */
interface PutRequest {
  key: string
  value?: string
  lease?: Integer
}

/** Body of a deletion. */
interface DeleteRequest {
  key: string
  range_end?: string
}

/** One comparison of a transaction. */
interface Compare {
  target?: string
  result?: string
  key: string
  mod_revision?: Integer
  create_revision?: Integer
  version?: Integer
  value?: string
}

/** One operation of a transaction. */
interface Operation {
  request_put?: PutRequest
  request_range?: RangeRequest
  request_delete_range?: DeleteRequest
}

/** Body of a transaction. */
export interface TransactionRequest {
  compare?: Compare[]
  success?: Operation[]
  failure?: Operation[]
}

/** A request that the service rejects, with the HTTP status and the gateway's code. */
export class GatewayRefusal extends Error {
  override readonly name = 'GatewayRefusal'
  readonly status: number
  readonly code: number

  constructor (status: number, code: number, message: string) {
    super(message)
    this.status = status
    this.code = code
  }
}

/** Maximum size of a value, in bytes. */
const MAX_VALUE_BYTES = 1_048_576

const INVALID_ARGUMENT = 3
const NOT_FOUND = 5
const OUT_OF_RANGE = 11

/** Decodes a key from base64. Keys are compared as strings, which for ASCII is byte order. */
export function decodeKey (key: unknown): string {
  if (typeof key !== 'string' || key === '') {
    throw new GatewayRefusal(400, INVALID_ARGUMENT, 'etcdserver: key is not provided')
  }
  return Buffer.from(key, 'base64').toString('utf8')
}

/** Predicate for the keys of a request: one key, a range with an exclusive end, or all keys from `key` on. */
export function keyMatcher (key: unknown, rangeEnd: string | undefined): (candidate: string) => boolean {
  const first = decodeKey(key)
  if (rangeEnd === undefined || rangeEnd === '') {
    return (candidate) => candidate === first
  }
  const end = decodeKey(rangeEnd)
  if (end === '\0') {
    return (candidate) => candidate >= first
  }
  return (candidate) => candidate >= first && candidate < end
}

/** Encodes one version of a key as the gateway does. */
export function encodeVersion (version: StoredVersion): object {
  const key = Buffer.from(version.key, 'utf8').toString('base64')
  if (version.value === undefined) {
    return { key, mod_revision: String(version.modRevision) }
  }
  return {
    key,
    create_revision: String(version.createRevision),
    mod_revision: String(version.modRevision),
    version: String(version.version),
    value: version.value.toString('base64'),
    ...(version.lease === NO_LEASE ? {} : { lease: version.lease })
  }
}

/** Header of a response. */
export function header (revision: number): object {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' }
}

/** Executes requests on one state. */
export class KeyValueGateway {
  readonly #state: KeyValueState
  readonly #onValueRead: (bytes: number) => void

  /** @param onValueRead called with the size in bytes of each value in a response */
  constructor (state: KeyValueState, onValueRead: (bytes: number) => void) {
    this.#state = state
    this.#onValueRead = onValueRead
  }

  /** Lists a range. Unless the request names a revision, the state is that of `staleRevisions` revisions ago. */
  range (request: RangeRequest, staleRevisions: number): object {
    const requested = Number(request.revision ?? 0)
    const current = this.#state.revision
    const revision = requested > 0 ? requested : this.#revisionBefore(staleRevisions)
    if (revision < this.#state.compactRevision) {
      throw new GatewayRefusal(400, OUT_OF_RANGE, 'etcdserver: mvcc: required revision has been compacted')
    }
    const all = this.#state.list(keyMatcher(request.key, request.range_end), revision)
    if (request.sort_order === 'DESCEND') {
      all.reverse()
    }
    const limit = Number(request.limit ?? 0)
    const limited = limit > 0 ? all.slice(0, limit) : all
    limited.forEach(({ value }) => { this.#onValueRead(value?.length ?? 0) })
    return {
      header: header(requested > 0 ? current : revision),
      ...(limited.length === 0 ? {} : { kvs: limited.map(encodeVersion) }),
      ...(limited.length < all.length ? { more: true } : {}),
      count: String(all.length)
    }
  }

  /** Writes a key. */
  put (request: PutRequest): object {
    this.#checkPut(request)
    this.#state.transact(() => { this.#applyPut(request) })
    return { header: header(this.#state.revision) }
  }

  /** Deletes a key or a range. */
  delete (request: DeleteRequest): object {
    const deleted = this.#state.transact(() => this.#applyDelete(request))
    return { header: header(this.#state.revision), deleted: String(deleted) }
  }

  /** Executes a transaction. A read-only one uses the state of `staleRevisions` revisions ago. */
  transact (request: TransactionRequest, staleRevisions: number): object {
    const operations = [...request.success ?? [], ...request.failure ?? []]
    operations.forEach((operation) => { this.#check(operation) })
    rejectDuplicateKeys(request.success ?? [])
    rejectDuplicateKeys(request.failure ?? [])
    const stale = isReadOnly(request) ? staleRevisions : 0
    const asOf = this.#revisionBefore(stale)
    const succeeded = (request.compare ?? []).every((compare) => this.#holds(compare, asOf))
    const chosen = (succeeded ? request.success : request.failure) ?? []
    const responses = this.#state.transact(() => chosen.map((operation) => this.#apply(operation, stale)))
    return {
      header: header(this.#revisionBefore(stale)),
      ...(succeeded ? { succeeded } : {}),
      ...(responses.length === 0 ? {} : { responses })
    }
  }

  /** Grants a lease. */
  grant (request: { TTL?: Integer, ID?: Integer }): object {
    const seconds = Number(request.TTL ?? 0)
    if (!(seconds > 0)) {
      throw new GatewayRefusal(400, INVALID_ARGUMENT, 'etcdserver: lease TTL must be above 0')
    }
    const lease = this.#state.grant(seconds, String(request.ID ?? NO_LEASE))
    return { header: header(this.#state.revision), ID: lease, TTL: String(seconds) }
  }

  /** Renews a lease. The result has no TTL when the lease does not exist. */
  keepAlive (request: { ID?: Integer }): object {
    const lease = String(request.ID ?? NO_LEASE)
    const seconds = this.#state.keepAlive(lease)
    return {
      result: { header: header(this.#state.revision), ID: lease, ...(seconds > 0 ? { TTL: String(seconds) } : {}) }
    }
  }

  /** Revokes a lease. */
  revoke (request: { ID?: Integer }): object {
    if (!this.#state.revoke(String(request.ID ?? NO_LEASE))) {
      throw new GatewayRefusal(404, NOT_FOUND, 'etcdserver: requested lease not found')
    }
    return { header: header(this.#state.revision) }
  }

  #revisionBefore (staleRevisions: number): number {
    return Math.max(this.#state.revision - staleRevisions, this.#state.compactRevision, 1)
  }

  #check (operation: Operation): void {
    if (operation.request_put !== undefined) {
      this.#checkPut(operation.request_put)
    }
  }

  #checkPut (request: PutRequest): void {
    decodeKey(request.key)
    if (Buffer.byteLength(request.value ?? '', 'base64') > MAX_VALUE_BYTES) {
      throw new GatewayRefusal(400, INVALID_ARGUMENT, 'etcdserver: request is too large')
    }
    const lease = String(request.lease ?? NO_LEASE)
    if (lease !== NO_LEASE && !this.#state.hasLease(lease)) {
      throw new GatewayRefusal(404, NOT_FOUND, 'etcdserver: requested lease not found')
    }
  }

  /** Whether a comparison of a transaction is true as of `revision`. */
  #holds (compare: Compare, revision: number): boolean {
    const version = this.#state.get(decodeKey(compare.key), revision)
    if (compare.target === 'VALUE') {
      const value = version?.value?.toString('base64')
      return value === undefined ? false : compareBy(compare.result, value, compare.value ?? '')
    }
    const [actual, wanted] = this.#operands(compare, version)
    return compareBy(compare.result, actual, Number(wanted ?? 0))
  }

  #operands (compare: Compare, version: StoredVersion | undefined): [number, Integer | undefined] {
    if (compare.target === 'MOD') {
      return [version?.modRevision ?? 0, compare.mod_revision]
    }
    if (compare.target === 'CREATE') {
      return [version?.createRevision ?? 0, compare.create_revision]
    }
    return [version?.version ?? 0, compare.version]
  }

  #apply (operation: Operation, staleRevisions: number): object {
    if (operation.request_put !== undefined) {
      this.#applyPut(operation.request_put)
      return { response_put: { header: header(this.#state.revision + 1) } }
    }
    if (operation.request_delete_range !== undefined) {
      const deleted = this.#applyDelete(operation.request_delete_range)
      return { response_delete_range: { header: header(this.#state.revision + 1), deleted: String(deleted) } }
    }
    return { response_range: this.range(operation.request_range ?? { key: '' }, staleRevisions) }
  }

  #applyPut (request: PutRequest): void {
    const value = Buffer.from(request.value ?? '', 'base64')
    this.#state.put(decodeKey(request.key), value, String(request.lease ?? NO_LEASE))
  }

  #applyDelete (request: DeleteRequest): number {
    const found = this.#state.list(keyMatcher(request.key, request.range_end))
    return found.filter((version) => this.#state.delete(version.key)).length
  }
}

/** Whether neither branch of a transaction writes. The service treats such a transaction as a read. */
export function isReadOnly (request: TransactionRequest): boolean {
  const operations = [...request.success ?? [], ...request.failure ?? []]
  return operations.every((operation) => operation.request_range !== undefined)
}

function rejectDuplicateKeys (operations: readonly Operation[]): void {
  const keys = operations.flatMap((operation) => operation.request_put?.key ?? [])
  if (new Set(keys).size < keys.length) {
    throw new GatewayRefusal(400, INVALID_ARGUMENT, 'etcdserver: duplicate key given in txn request')
  }
}

function compareBy<Operand extends number | string> (result: string | undefined, actual: Operand, wanted: Operand): boolean {
  const comparisons: Record<string, boolean> = {
    EQUAL: actual === wanted,
    NOT_EQUAL: actual !== wanted,
    GREATER: actual > wanted,
    LESS: actual < wanted
  }
  return comparisons[result ?? 'EQUAL'] ?? false
}
