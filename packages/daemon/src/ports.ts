/** What the leased entry and agent need of the world outside, each implemented by an adapter. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { Answer } from '@amaranthmast/dispatch/entrytypes'
import type { JobRequest } from '@amaranthmast/dispatch/job'
import type { TargetFacts } from '@amaranthmast/dispatch/messages'
import type { EvacuationState } from '@amaranthmast/dispatch/evacuations'
import type { DispatchConfiguration, Queue, RequestLimits } from '@amaranthmast/dispatch/queues'
import type { SchedulingSettings } from '@amaranthmast/dispatch/schedulingsettings'

type EffectOf<Type extends AgentEffect['type']> = Extract<AgentEffect, { type: Type }>

/** The target beside an agent. How each call ended is posted as an event; none throws. */
export interface TargetPort {
  start: (order: EffectOf<'start'>) => void
  stop: (order: EffectOf<'stop'>) => void
  poll: (order: EffectOf<'poll'>) => void
  close: () => void
}

/** Makes the port of the target, given where its events go. */
export type TargetPortFactory = (post: (event: AgentEvent) => void) => TargetPort

/** Where a process is found. */
export interface InstanceRecord {
  name: string
  role: string
  /** `host:port` of its listener for links. */
  address: string
}

/** What the operators have written into the store. */
export interface OperatorEvents {
  /** Each new configuration; `document` is what other entries are handed. */
  configured: (configuration: DispatchConfiguration, document: string) => void
  /** What was handed over was all that there was at this time of the process's clock, in milliseconds. */
  confirmed: (at: number) => void
  /** Changes may have been missed: until the next confirmation nothing is certain. */
  doubted: () => void
  /** The evacuated data centres, with each read. */
  evacuated: (state: EvacuationState) => void
}

/** Calls to the store of one kind that ended in one way. */
export interface CallCount {
  kind: string
  end: string
  count: number
}

/** What is agreed or kept in the platform's store. */
export interface StorePort {
  /** Publishes this process for as long as it runs. */
  publish: (record: InstanceRecord) => void
  /** Tells of other processes, now and whenever they change. */
  watchInstances: (found: (records: readonly InstanceRecord[]) => void) => void
  /** Tells what the operators write, within about a second. */
  watchOperators: (events: OperatorEvents) => void
  /** Reads which data centres are evacuated; undefined while the store does not answer. */
  readEvacuations: () => Promise<EvacuationState | undefined>
  /** Reads a document that another entry has handed over; undefined when it is not understood. */
  readConfiguration: (document: string) => DispatchConfiguration | undefined
  /** Keeps what an agent knows of its target for a while, also after this process has ended. */
  rememberTarget: (facts: TargetFacts) => void
  /** What an earlier run of the agent kept; undefined when there is nothing, or the store does not answer. */
  recallTarget: (agent: string) => Promise<TargetFacts | undefined>
  /** Calls so far, by kind. */
  calls: () => Readonly<Record<string, number>>
  /** Ended calls so far, by kind and how they ended. */
  ends: () => readonly CallCount[]
  close: () => Promise<void>
}

/** Why a request has no queue. */
export enum QueueLookup {
  /** There is no configuration yet. */
  Unconfigured = 'unconfigured',
  /** The configuration has none, and it is the newest one. */
  Missing = 'missing',
  /** The configuration has none, and there may be a newer one. */
  Uncertain = 'uncertain'
}

/** What callers' requests become. */
export interface CallerEvents {
  find: (host: string, path: string) => Queue | QueueLookup
  limits: () => RequestLimits | undefined
  submitted: (request: number, job: JobRequest) => void
  cancelAsked: (request: number, id: string) => void
  stateAsked: (request: number, id: string) => void
  /** Jobs of the queue of which no task has started. */
  waiting: (queue: Queue) => number
  gone: (request: number) => void
  ready: () => boolean
}

/** The listener for callers. */
export interface CallerPort {
  listen: () => Promise<void>
  answer: (request: number, answer: Answer) => void
  /** New requests are answered with a closing connection. */
  drain: () => void
  /** Requests that wait for an answer. */
  open: () => number
  close: () => void
}

/** Writes a decision to the log, within the budget of its lines. */
export type Note = (what: string, fields: Record<string, unknown>) => void

export type CallerPortFactory = (events: CallerEvents, note: Note) => CallerPort

/** Settings that both roles share. */
export interface ServiceSettings {
  id: string
  dataCentre: string
  host: string
  linkPort: number
  /** Where others reach the listener for links, `host:port`. */
  linkAddress: string
  /** Hosts of processes that may know others. */
  seeds: string[]
  metrics: { host: string, port: number }
  bounds: {
    /** After the order to stop, the process must have ended. */
    grace: number
    stop: number
    /** Tasks may start at a target within this time after the agent acknowledged its notice. */
    drain: number
    longestLease: number
    resubmission: number
    /** A configuration is in force everywhere within this time after it was accepted, in milliseconds. */
    configuration: number
  }
  scheduling: SchedulingSettings
}
