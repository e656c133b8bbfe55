/** Keeps an agent from starting tasks in an evacuated data centre, even if the entries that order them have not received the evacuation. */
import type { AgentContext } from './agentcontext.ts'
import type { EntrySession } from './entrysession.ts'
import type { EvacuationState } from './evacuations.ts'
import { EVACUATIONS_READ_INTERVAL_MILLISECONDS } from './defaults.ts'
import { Evacuations } from './evacuations.ts'

export interface EvacuationGuardDependencies {
  context: AgentContext
  /** Sessions of entries, connected or not. */
  sessions: () => Iterable<EntrySession>
  send: (session: EntrySession, state: EvacuationState) => void
}

/**
 * Entries send the evacuations to their agents before the first start on a link and after each change. An entry that cannot read
 * the store may order starts for seconds after an evacuation was requested. By then another entry has sent it to the agent, or
 * the agent has read it itself, since the entry reports that it cannot read the store.
 */
export class EvacuationGuard {
  readonly #dependencies: EvacuationGuardDependencies
  readonly #known = new Evacuations()
  #lastReadAt = Number.NEGATIVE_INFINITY

  constructor (dependencies: EvacuationGuardDependencies) {
    this.#dependencies = dependencies
  }

  forbids (dataCentre: string | undefined): boolean {
    return this.#dependencies.context.guards.evacuation && this.#known.has(dataCentre)
  }

  noteReported (session: EntrySession, state: EvacuationState | undefined, confirmed: boolean): void {
    session.confirmsEvacuations = confirmed
    if (state === undefined) return
    session.evacuationsKnown = state.revision
    this.update(state)
  }

  update (state: EvacuationState): void {
    if (this.#known.learn(state)) this.#dependencies.context.note('evacuations in force', { ...state })
  }

  /** Sends the evacuations to an entry whose start was refused because of them, once for each revision. */
  refused (session: EntrySession): void {
    const { state } = this.#known
    if (state === undefined || session.evacuationsKnown >= state.revision) return
    session.evacuationsKnown = state.revision
    this.#dependencies.send(session, state)
  }

  tick (now: number): void {
    if (now - this.#lastReadAt < EVACUATIONS_READ_INTERVAL_MILLISECONDS || !this.#dependencies.context.guards.evacuationReads) return
    for (const session of this.#dependencies.sessions()) {
      if (!session.connected || session.confirmsEvacuations) continue
      this.#lastReadAt = now
      this.#dependencies.context.emit({ type: 'readEvacuations' })
      return
    }
  }
}
