/** Encodes and decodes the view of the entries as stored in the key-value service. */
import type { Member, View } from '@amaranthmast/coordination/messages'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'

/** The view before any entry has joined. */
export const NO_VIEW: View = { version: 0, members: [], fenced: [] }

/** The stored value is not a view. */
export class ViewUnreadable extends Error {
  readonly code = 'viewUnreadable'

  constructor (key: string) {
    super(`the value under ${key} is not a view: nothing but the entries may write it; delete it while no entry runs`)
    this.name = 'ViewUnreadable'
  }
}

/** Encodes a view for storage. Only the known fields are written, in a fixed order, so that values can be compared as text. */
export function encodeView (view: View): string {
  return JSON.stringify(plainView(view))
}

/** Returns the view without the fields that the inner protocol adds to received messages. */
export function plainView ({ version, members, fenced }: View): View {
  return { version, members: members.map(plainMember), fenced }
}

/** Decodes a stored value; `key` is used in the error message. */
export function decodeView (key: string, value: string): Result<View, ViewUnreadable> {
  const parsed = parse(value)
  return isView(parsed) ? ok(parsed) : err(new ViewUnreadable(key))
}

function plainMember ({ instance, address, dataCentre, leaving }: Member): Member {
  return { instance, address, dataCentre, leaving }
}

function parse (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return undefined
  }
}

function isView (value: unknown): value is View {
  if (typeof value !== 'object' || value === null) return false
  const { version, members, fenced } = value as Partial<View>
  return Number.isSafeInteger(version) && Array.isArray(members) && members.every(isMember) &&
    Array.isArray(fenced) && fenced.every(instance => typeof instance === 'string')
}

function isMember (value: unknown): value is Member {
  if (typeof value !== 'object' || value === null) return false
  const { instance, address, dataCentre, leaving } = value as Partial<Member>
  return typeof instance === 'string' && typeof address === 'string' &&
    typeof dataCentre === 'string' && typeof leaving === 'boolean'
}
