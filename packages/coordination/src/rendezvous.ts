/**
 * Rendezvous hashing of job ids over the entries. Every process with the same members computes the same owner, and a
 * member that leaves moves only its own job ids.
 */
import type { Instance, JobKey, Member } from './messages.ts'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const MIX_FIRST = 0x85ebca6b
const MIX_SECOND = 0xc2b2ae35

/** 32-bit FNV-1a hash of a string. */
export function hashString (text: string): number {
  let hash = FNV_OFFSET
  for (let position = 0; position < text.length; position++) {
    hash ^= text.charCodeAt(position)
    hash = Math.imul(hash, FNV_PRIME)
  }
  return hash >>> 0
}

/** Finalizer of MurmurHash3, so that similar names get unrelated scores. */
function mix (value: number): number {
  let hash = value
  hash ^= hash >>> 16
  hash = Math.imul(hash, MIX_FIRST)
  hash ^= hash >>> 13
  hash = Math.imul(hash, MIX_SECOND)
  hash ^= hash >>> 16
  return hash >>> 0
}

/** Score of a name for the hash of a key; the name with the highest score owns the key. */
export function score (keyHash: number, instance: Instance): number {
  return mix(keyHash ^ mix(hashString(instance)))
}

/** Members in descending order of their score for a job id; ties are ordered by name. */
function ranked (key: JobKey, members: readonly Member[]): Member[] {
  const keyHash = hashString(key)
  const scored = members.map(member => ({ member, score: score(keyHash, member.instance) }))
  scored.sort((left, right) => right.score - left.score || (left.member.instance < right.member.instance ? -1 : 1))
  return scored.map(entry => entry.member)
}

/** Members that may own job ids: those that are not leaving, or all when every one is. */
function eligible (members: readonly Member[]): readonly Member[] {
  const staying = members.filter(member => !member.leaving)
  return staying.length > 0 ? staying : members
}

/** The entry that owns a job id, undefined only when there is no member. */
export function ownerOf (key: JobKey, members: readonly Member[]): Instance | undefined {
  const candidates = eligible(members)
  const keyHash = hashString(key)
  let owner: Instance | undefined
  let highest = -1
  for (const candidate of candidates) {
    const candidateScore = score(keyHash, candidate.instance)
    const wins = candidateScore > highest || (candidateScore === highest && owner !== undefined && candidate.instance < owner)
    if (!wins) continue
    owner = candidate.instance
    highest = candidateScore
  }
  return owner
}

/**
 * Entries that may keep the backup receipt of a job that `holder` runs, best first: those in other data centres in hash
 * order, then those in the holder's own. Stopping entries come last, since they may already have handed over their
 * records.
 */
export function backupsOf (key: JobKey, holder: Instance, members: readonly Member[]): Instance[] {
  const holderDataCentre = members.find(member => member.instance === holder)?.dataCentre
  const others = ranked(key, members).filter(member => member.instance !== holder)
  const remote = others.filter(member => member.dataCentre !== holderDataCentre)
  const local = others.filter(member => member.dataCentre === holderDataCentre)
  const ordered = [...remote, ...local]
  const stoppingLast = [...ordered.filter(member => !member.leaving), ...ordered.filter(member => member.leaving)]
  return stoppingLast.map(member => member.instance)
}
