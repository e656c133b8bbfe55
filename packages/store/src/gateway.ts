/** Message types of etcd's JSON gateway. Keys and values are base64, 64-bit integers are strings. */
import type { KeyValueEntry, WatchEvent } from './entries.ts'
import { WatchEventKind } from './entries.ts'

/** URL paths of the gateway. */
export enum GatewayPath {
  Range = '/v3/kv/range',
  Transaction = '/v3/kv/txn',
  Put = '/v3/kv/put',
  LeaseGrant = '/v3/lease/grant',
  LeaseKeepAlive = '/v3/lease/keepalive',
  LeaseRevoke = '/v3/lease/revoke',
  Watch = '/v3/watch'
}

/** 64-bit integer. The specification uses strings, but some gateways send plain numbers. */
export type WireInteger = string | number

/** Key-value entry. */
export interface WireEntry {
  key: string
  value?: string
  mod_revision?: WireInteger
  version?: WireInteger
  lease?: WireInteger
}

/** Header of every response. */
export interface WireHeader {
  revision?: WireInteger
}

/** Response to a range request. */
export interface WireRange {
  header?: WireHeader
  kvs?: WireEntry[]
  more?: boolean
}

/** Response to a transaction. */
export interface WireTransaction {
  header?: WireHeader
  succeeded?: boolean
  responses?: Array<{ response_range?: WireRange }>
}

/** Response to a put request. */
export interface WirePut {
  header?: WireHeader
}

/** Response to a lease grant or keepalive. */
export interface WireLease {
  ID?: WireInteger
  TTL?: WireInteger
  /** Why a grant failed. */
  error?: string
}

/** Change event of a watch. `type` is absent for a put because that is its default value. */
export interface WireEvent {
  type?: string
  kv: WireEntry
}

/** One line of a watch stream. */
export interface WireWatch {
  result?: {
    created?: boolean
    canceled?: boolean
    cancel_reason?: string
    compact_revision?: WireInteger
    events?: WireEvent[]
  }
  error?: WireError
}

/** Error response body. */
export interface WireError {
  message?: string
  error?: string
}

/** Encodes text as base64 of its UTF-8 bytes. */
export function encodeBase64 (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** Decodes base64 as UTF-8 text; an absent value is the empty string. */
export function decodeBase64 (text: string | undefined): string {
  return text === undefined ? '' : Buffer.from(text, 'base64').toString('utf8')
}

/** Converts a 64-bit integer to a number; an absent value is 0. */
export function decodeInteger (value: WireInteger | undefined): number {
  return value === undefined ? 0 : Number(value)
}

/** Decodes an entry. Lease 0 means that the key has no lease. */
export function decodeEntry (wire: WireEntry): KeyValueEntry {
  const entry: KeyValueEntry = {
    key: decodeBase64(wire.key),
    value: decodeBase64(wire.value),
    modRevision: decodeInteger(wire.mod_revision),
    version: decodeInteger(wire.version)
  }
  if (wire.lease !== undefined && String(wire.lease) !== '0') {
    entry.lease = String(wire.lease)
  }
  return entry
}

/** Decodes a change event. */
export function decodeEvent (wire: WireEvent): WatchEvent {
  if (wire.type === 'DELETE') {
    return { kind: WatchEventKind.Delete, key: decodeBase64(wire.kv.key), modRevision: decodeInteger(wire.kv.mod_revision) }
  }
  return { kind: WatchEventKind.Put, entry: decodeEntry(wire.kv) }
}

/**
 * Computes the exclusive end of the key range that covers `prefix`, in base64. For the empty prefix
 * this is a zero byte, with which the service ranges over all keys.
 */
export function encodePrefixEnd (prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8')
  for (let index = bytes.length - 1; index >= 0; index--) {
    const byte = bytes[index] ?? 0
    if (byte < 0xff) {
      bytes[index] = byte + 1
      return bytes.subarray(0, index + 1).toString('base64')
    }
  }
  return Buffer.of(0).toString('base64')
}
