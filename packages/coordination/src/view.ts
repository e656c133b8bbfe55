/**
 * Views of the entries as values: how two are merged, who is a member, and which name a set of
 * members has. Versions only rise and fences only add up, so that processes which learn the same
 * facts in any order come to the same members.
 */
import type { Instance, Member, View } from './messages.ts'

export const EMPTY_VIEW: View = { version: 0, members: [], fenced: [] }

/** Members that count: those of the store's view without the ones fenced since. */
export function liveMembers (view: View): Member[] {
  return view.members.filter(member => !view.fenced.includes(member.instance))
}

export function isMember (view: View, instance: Instance): boolean {
  return !view.fenced.includes(instance) && view.members.some(member => member.instance === instance)
}

/**
 * Whether this view was made by first joins alone: each raises the version and the number of members by
 * one, and everything else raises the version only. No entry has gone, so nothing has been forgotten.
 */
export function onlyJoinsSoFar (view: View): boolean {
  return view.version === view.members.length && view.fenced.length === 0
}

/** Name of a view and its fences: equal in all processes that see the same members. */
export function epochOf (view: View): string {
  const fenced = view.fenced.filter(instance => view.members.some(member => member.instance === instance))
  return [String(view.version), ...fenced.sort()].join('!')
}

/**
 * The newer of two views, with the fences of both that still concern a member. A fence on an
 * instance that is no member any more says nothing new: instances never come back.
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

/** The next view, with `member` added and every earlier incarnation of it removed. */
export function withMember (view: View, member: Member): View {
  const others = liveMembers(view).filter(other => idOf(other.instance) !== idOf(member.instance))
  return { version: view.version + 1, members: [...others, member], fenced: [] }
}

/** The next view without `removed` and without every fenced instance. */
export function withoutMembers (view: View, removed: readonly Instance[]): View {
  const members = liveMembers(view).filter(member => !removed.includes(member.instance))
  return { version: view.version + 1, members, fenced: [] }
}

/** The next view, in which `instance` owns no job ids any more. */
export function withLeaving (view: View, instance: Instance): View {
  const members = liveMembers(view).map(member => member.instance === instance ? { ...member, leaving: true } : member)
  return { version: view.version + 1, members, fenced: [] }
}
