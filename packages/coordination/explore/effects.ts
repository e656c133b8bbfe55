/** Executes the effects that entries and agents request, on the simulated store, targets and network. */
import type { AgentEffect, AgentEvent } from '../src/agenttypes.ts'
import type { EntryEffect, EntryEvent } from '../src/entrytypes.ts'
import type { Dialling } from './dialling.ts'
import type { FakeStore, StorePath } from './fakestore.ts'
import type { FakeTargets } from './faketarget.ts'
import type { InvariantChecker } from './invariants.ts'
import type { Network } from './network.ts'
import type { AgentProcess, EntryProcess, Process } from './processes.ts'
import type { Trace } from './trace.ts'
import { STORE } from './names.ts'

export interface EffectsDependencies {
  store: FakeStore
  targets: FakeTargets
  network: Network
  checker: InvariantChecker
  dialling: Dialling
  trace: Trace
  entryEvent: (entry: EntryProcess, event: EntryEvent) => void
  agentEvent: (agent: AgentProcess, event: AgentEvent) => void
  /** Ends the process. */
  end: (process: Process) => void
}

export class Effects {
  readonly #store: FakeStore
  readonly #targets: FakeTargets
  readonly #network: Network
  readonly #checker: InvariantChecker
  readonly #dialling: Dialling
  readonly #trace: Trace
  readonly #entryEvent: (entry: EntryProcess, event: EntryEvent) => void
  readonly #agentEvent: (agent: AgentProcess, event: AgentEvent) => void
  readonly #end: (process: Process) => void

  constructor (dependencies: EffectsDependencies) {
    this.#store = dependencies.store
    this.#targets = dependencies.targets
    this.#network = dependencies.network
    this.#checker = dependencies.checker
    this.#dialling = dependencies.dialling
    this.#trace = dependencies.trace
    this.#entryEvent = dependencies.entryEvent
    this.#agentEvent = dependencies.agentEvent
    this.#end = dependencies.end
  }

  ofEntry (entry: EntryProcess, effect: EntryEffect): void {
    if (!entry.alive) return
    switch (effect.type) {
      case 'answer':
        this.#trace.note(entry.instance, `ANSWER ${effect.request} kind ${effect.answer.kind} cause ${effect.answer.cause} ${effect.answer.detail}`)
        this.#checker.recordDecision(effect.answer)
        this.#checker.answered(effect.request, effect.answer)
        break
      case 'sendAgent': this.#network.send(entry.instance, effect.agent, effect.message); break
      case 'sendPeer':
        if (effect.message.case === 'answer') this.#checker.recordDecision(effect.message.value.answer)
        this.#network.send(entry.instance, effect.peer, effect.message)
        break
      case 'connectPeers': this.#dialling.setWanted(entry, effect.peers.map(peer => peer.instance)); break
      case 'readView': this.#readView(entry); break
      case 'writeView':
        this.#store.write(this.#pathOf(entry), effect.view, effect.expectedRevision, outcome => {
          this.#trace.note(entry.instance, `view ${effect.view.version} written: ${outcome} [${effect.view.members.map(member => member.instance).join(' ')}]`)
          this.#entryEvent(entry, { type: 'viewWritten', outcome })
        })
        break
      case 'stateChanged': this.#trace.note(entry.instance, `state ${effect.state} ${effect.detail}`); break
      case 'stopped': this.#stopped(entry); break
    }
  }

  ofAgent (agent: AgentProcess, effect: AgentEffect): void {
    if (!agent.alive) return
    switch (effect.type) {
      case 'sendEntry': this.#network.send(agent.instance, effect.entry, effect.message); break
      case 'startTask':
        this.#targets.run(agent.instance, effect.task, effect.dispatch, ending => {
          this.#agentEvent(agent, { type: 'taskEnded', task: effect.task, ...ending })
        })
        break
      case 'abortTask': this.#targets.abort(agent.instance, effect.task); break
      case 'connectEntries': this.#dialling.setWanted(agent, effect.entries.map(entry => entry.instance)); break
      case 'readView':
        this.#store.read(this.#pathOf(agent), outcome => {
          if (outcome !== undefined) this.#agentEvent(agent, { type: 'viewRead', view: outcome.view })
        })
        break
      case 'stateChanged': this.#trace.note(agent.instance, `state ${effect.state} ${effect.detail}`); break
      case 'stopped': this.#trace.note(agent.instance, 'stopped'); this.#end(agent); break
    }
  }

  #stopped (entry: EntryProcess): void {
    this.#trace.note(entry.instance, 'stopped')
    this.#checker.checkStopped(entry.instance)
    this.#end(entry)
  }

  #readView (entry: EntryProcess): void {
    const readStarted = entry.clock()
    this.#store.read(this.#pathOf(entry), outcome => {
      if (outcome === undefined) this.#entryEvent(entry, { type: 'viewReadFailed' })
      else this.#entryEvent(entry, { type: 'viewRead', ...outcome, readStarted })
    })
  }

  #pathOf (process: Process): StorePath {
    return {
      requestPasses: () => !this.#network.isCut(process.id, STORE),
      responsePasses: () => !this.#network.isCut(STORE, process.id)
    }
  }
}
