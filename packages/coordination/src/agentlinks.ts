/** The agent incarnations known to an entry: which are connected, and which are lost or replaced. */
import type { Instance, TargetDescription } from './messages.ts'

interface AgentLink {
  /** Undefined for an incarnation that only another entry reported. */
  target: TargetDescription | undefined
  /** Undefined while connected. */
  disconnectedAt: number | undefined
  /** Its unfinished tasks have been abandoned. */
  lost: boolean
}

/** A known agent incarnation, for status pages. */
export interface AgentSummary {
  instance: Instance
  target: string
  provider: string
  connected: boolean
}

export class AgentLinks {
  readonly #links = new Map<Instance, AgentLink>()
  readonly #byTarget = new Map<string, Instance>()

  connected (agent: Instance): boolean {
    const link = this.#links.get(agent)
    return link !== undefined && link.disconnectedAt === undefined
  }

  /** Every known incarnation; target and provider are empty for one that only another entry reported. */
  summaries (): AgentSummary[] {
    return [...this.#links].map(([instance, { target, disconnectedAt }]) => {
      return { instance, target: target?.target ?? '', provider: target?.provider ?? '', connected: disconnectedAt === undefined }
    })
  }

  /** Connected agent incarnations. */
  live (): Instance[] {
    return this.known().filter(agent => this.connected(agent))
  }

  known (): Instance[] {
    return [...this.#links.keys()]
  }

  /** Every known incarnation with the time since which it is disconnected, undefined while connected. */
  disconnections (): Map<Instance, number | undefined> {
    const times = new Map<Instance, number | undefined>()
    for (const [agent, link] of this.#links) times.set(agent, link.disconnectedAt)
    return times
  }

  /** Records an announced incarnation; returns the earlier incarnation for the same target that it replaces. */
  announced (agent: Instance, target: TargetDescription): Instance | undefined {
    const earlier = this.#byTarget.get(target.target)
    this.#byTarget.set(target.target, agent)
    this.#links.set(agent, { target, disconnectedAt: undefined, lost: false })
    return earlier !== undefined && earlier !== agent ? earlier : undefined
  }

  /** Adds an incarnation reported by another entry; returns true when it was not known here. */
  addReported (agent: Instance, now: number): boolean {
    if (this.#links.has(agent)) return false
    this.#links.set(agent, { target: undefined, disconnectedAt: now, lost: true })
    return true
  }

  disconnected (agent: Instance, now: number): void {
    const link = this.#links.get(agent)
    if (link !== undefined && link.disconnectedAt === undefined) link.disconnectedAt = now
  }

  /** Marks an incarnation as lost; returns false when it already was. */
  giveUp (agent: Instance): boolean {
    const link = this.#links.get(agent)
    if (link === undefined || link.lost) return false
    link.lost = true
    return true
  }

  /** Incarnations that have been disconnected for `timeout` and are not yet marked as lost. */
  overdue (timeout: number, now: number): Instance[] {
    const overdue: Instance[] = []
    for (const [agent, link] of this.#links) {
      if (link.lost || link.disconnectedAt === undefined) continue
      if (now - link.disconnectedAt >= timeout) overdue.push(agent)
    }
    return overdue
  }

  /** Removes incarnations that have been disconnected for longer than `retention`. */
  expire (retention: number, now: number): void {
    for (const [agent, link] of this.#links) {
      if (link.disconnectedAt === undefined || now - link.disconnectedAt <= retention) continue
      this.#links.delete(agent)
    }
  }
}
