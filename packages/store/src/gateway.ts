/** Messages of the service's published JSON gateway: keys and values in base64, 64-bit numbers as text. */
import type { KeyValueEntry, WatchEvent } from './entries.ts'
import { WatchEventKind } from './entries.ts'

/** Paths of the gateway. */
export enum GatewayPath {
  Range = '/v3/kv/range',
  Transaction = '/v3/kv/txn',
  Put = '/v3/kv/put',
  LeaseGrant = '/v3/lease/grant',
  LeaseKeepAlive = '/v3/lease/keepalive',
  LeaseRevoke = '/v3/lease/revoke',
  Watch = '/v3/watch'
}

/** Any 64-bit number: text as published, though some gateways send plain numbers. */
export type Integer = string | number

/** One entry on the wire. */
export interface WireEntry {
  key: string
  value?: string
  mod_revision?: Integer
  version?: Integer
  lease?: Integer
}

/** Part of every answer. */
export interface WireHeader {
  revision?: Integer
}

/** Answer to a range. */
export interface WireRange {
  header?: WireHeader
  kvs?: WireEntry[]
  more?: boolean
}

/** Answer to a transaction. */
export interface WireTransaction {
  header?: WireHeader
  succeeded?: boolean
  responses?: Array<{ response_range?: WireRange }>
}

/** Answer to a put. */
export interface WirePut {
  header?: WireHeader
}

/** Answer to a grant or a keepalive. */
export interface WireLease {
  ID?: Integer
  TTL?: Integer
  /** Why a grant failed. */
  error?: string
}

/** One change on the wire; a put carries no type, as it is the default. */
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
    compact_revision?: Integer
    events?: WireEvent[]
  }
  error?: WireError
}

/** Body of a failed call. */
export interface WireError {
  message?: string
  error?: string
}

/** Text to base64. */
export function encodeText (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** Base64 to text. */
export function decodeText (text: string | undefined): string {
  return text === undefined ? '' : Buffer.from(text, 'base64').toString('utf8')
}

/** 64-bit number on the wire to a number; absent means 0. */
export function decodeInteger (value: Integer | undefined): number {
  return value === undefined ? 0 : Number(value)
}

/** Entry on the wire to an entry. */
export function decodeEntry (wire: WireEntry): KeyValueEntry {
  const entry: KeyValueEntry = {
    key: decodeText(wire.key),
    value: decodeText(wire.value),
    modRevision: decodeInteger(wire.mod_revision),
    version: decodeInteger(wire.version)
  }
  if (wire.lease !== undefined && String(wire.lease) !== '0') {
    entry.lease = String(wire.lease)
  }
  return entry
}

/** Change on the wire to a change. */
export function decodeEvent (wire: WireEvent): WatchEvent {
  if (wire.type === 'DELETE') {
    return { kind: WatchEventKind.Delete, key: decodeText(wire.kv.key), modRevision: decodeInteger(wire.kv.mod_revision) }
  }
  return { kind: WatchEventKind.Put, entry: decodeEntry(wire.kv) }
}

/**
 * First key after all keys that start with `prefix`, in base64; it ends the range of a prefix.
 * The empty prefix ranges over all keys, for which the service takes a zero byte.
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
