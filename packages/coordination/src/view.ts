/**
 * Functions on views of the entries: merging two views, membership, and the name of a set of members.
 *
 * Versions only rise and fences are only added, so processes that receive the same facts in any order compute the same
 * members.
 */
import type { Instance, Member, View } from './messages.ts'

export const EMPTY_VIEW: View = { version: 0, members: [], fenced: [] }

/** Current members: those of the store's view without the ones fenced since. */
export function liveMembers (view: View): Member[] {
  return view.members.filter(member => !view.fenced.includes(member.instance))
}

export function isMember (view: View, instance: Instance): boolean {
  return !view.fenced.includes(instance) && view.members.some(member => member.instance === instance)
}

/**
 * Whether this view results from first joins only. Each of these raises both the version and the number of members by
 * one, while any other change raises only the version. No entry has left, so no job record has been lost.
 */
export function onlyJoinsSoFar (view: View): boolean {
  return view.version === view.members.length && view.fenced.length === 0
}

/** Name of a view with its fences: equal in all processes that have the same members. */
export function epochOf (view: View): string {
  const fenced = view.fenced.filter(instance => view.members.some(member => member.instance === instance))
  return [String(view.version), ...fenced.sort()].join('!')
}

/**
 * The newer of two views, with the fences of both that still concern a member. A fence on an instance that is no
 * longer a member has no effect: instances never return.
 */
export function mergeViews (left: View, right: View): View {
  const newer = right.version > left.version ? right : left
  const fenced = new Set([...left.fenced, ...right.fenced])
  const concerned = newer.members.map(member => member.instance).filter(instance => fenced.has(instance))
  return { version: newer.version, members: newer.members, fenced: concerned }
}

/** Id of a process without its incarnation. */
export function idOf (instance: Instance): string {
  return instance.split('#', 1)[0] ?? instance
}

/** The next view, with `member` added and all its earlier incarnations removed. */
export function withMember (view: View, member: Member): View {
  const others = liveMembers(view).filter(other => idOf(other.instance) !== idOf(member.instance))
  return { version: view.version + 1, members: [...others, member], fenced: [] }
}

/** The next view without `removed` and without fenced instances. */
export function withoutMembers (view: View, removed: readonly Instance[]): View {
  const members = liveMembers(view).filter(member => !removed.includes(member.instance))
  return { version: view.version + 1, members, fenced: [] }
}

/** The next view, in which `instance` is marked as leaving and owns no job ids any more. */
export function withLeaving (view: View, instance: Instance): View {
  const members = liveMembers(view).map(member => member.instance === instance ? { ...member, leaving: true } : member)
  return { version: view.version + 1, members, fenced: [] }
}
