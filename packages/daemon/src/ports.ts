/** Interfaces through which the lease-based entry and agent use the target, the store and the callers; adapters implement them. */
import type { AgentEffect, AgentEvent } from '@amaranthmast/dispatch/agenttypes'
import type { Answer } from '@amaranthmast/dispatch/entrytypes'
import type { JobRequest } from '@amaranthmast/dispatch/job'
import type { JobName } from '@amaranthmast/dispatch/jobname'
import type { TargetFacts } from '@amaranthmast/dispatch/messages'
import type { EvacuationState } from '@amaranthmast/dispatch/evacuations'
import type { DispatchConfiguration, Queue, RequestLimits } from '@amaranthmast/dispatch/queues'
import type { SchedulingSettings } from '@amaranthmast/dispatch/schedulingsettings'

type EffectOf<Type extends AgentEffect['type']> = Extract<AgentEffect, { type: Type }>

/** The target of an agent. The end of each call is posted as an event; no method throws. */
export interface TargetPort {
  start: (order: EffectOf<'start'>) => void
  stop: (order: EffectOf<'stop'>) => void
  poll: (order: EffectOf<'poll'>) => void
  close: () => void
}

/** Creates the port of the target. `post` receives its events. */
export type TargetPortFactory = (post: (event: AgentEvent) => void) => TargetPort

/** Name and address of a process. */
export interface InstanceRecord {
  name: string
  role: string
  /** `host:port` of its listener for links. */
  address: string
}

/** Callbacks for what operators write into the store. */
export interface OperatorEvents {
  /** Called with each new configuration; `document` is its text, which is sent to other entries. */
  configured: (configuration: DispatchConfiguration, document: string) => void
  /** Nothing newer than the last reported configuration existed at this time of the process's clock, in milliseconds. */
  confirmed: (at: number) => void
  /** Changes may have been missed: earlier confirmations no longer hold until the next one. */
  doubted: () => void
  /** Called with the evacuated data centres after each read. */
  evacuated: (state: EvacuationState) => void
}

/** Number of store calls of one kind with one outcome. */
export interface CallCount {
  kind: string
  end: string
  count: number
}

/** The platform's store, which holds shared and persistent state. */
export interface StorePort {
  /** Publishes this process for as long as it runs. */
  publish: (record: InstanceRecord) => void
  /** Reports the records of other processes, at once and after each change. */
  watchInstances: (found: (records: readonly InstanceRecord[]) => void) => void
  /** Reports what operators write, within about a second. */
  watchOperators: (events: OperatorEvents) => void
  /** Reads the evacuated data centres; undefined while the store does not answer. */
  readEvacuations: () => Promise<EvacuationState | undefined>
  /** Reports the stored cancellations: all of them once, even if there are none, and new ones within a second. */
  watchCancellations: (read: (jobs: readonly JobName[]) => void) => void
  /** Stores cancellations. Repeats failed calls; resolves when the store has confirmed them, and to false when it is closed first. */
  storeCancellations: (jobs: readonly JobName[]) => Promise<boolean>
  /** Parses a configuration document sent by another entry; undefined when it cannot be read. */
  readConfiguration: (document: string) => DispatchConfiguration | undefined
  /** Stores what an agent has recorded about its target; it is kept for a while after this process has ended. */
  rememberTarget: (facts: TargetFacts) => void
  /** Reads what an earlier incarnation of the agent stored; undefined when there is nothing or the store does not answer. */
  recallTarget: (agent: string) => Promise<TargetFacts | undefined>
  /** Number of calls so far, by kind. */
  calls: () => Readonly<Record<string, number>>
  /** Number of ended calls so far, by kind and outcome. */
  ends: () => readonly CallCount[]
  close: () => Promise<void>
}

/** Why no queue was found for a request. */
export enum QueueLookup {
  /** No configuration has been received yet. */
  Unconfigured = 'unconfigured',
  /** The configuration lacks the queue and is the newest one. */
  Missing = 'missing',
  /** The configuration lacks the queue, and a newer one may exist. */
  Uncertain = 'uncertain'
}

/** Callbacks for the requests of callers. */
export interface CallerEvents {
  find: (host: string, path: string) => Queue | QueueLookup
  limits: () => RequestLimits | undefined
  submitted: (request: number, job: JobRequest) => void
  /** @param remaining how long the caller waits, in milliseconds */
  cancelAsked: (request: number, job: JobName, remaining: number) => void
  stateAsked: (request: number, id: string) => void
  /** Number of jobs of the queue that have no started task. */
  waiting: (queue: Queue) => number
  gone: (request: number) => void
  ready: () => boolean
}

/** The listener for callers. */
export interface CallerPort {
  listen: () => Promise<void>
  answer: (request: number, answer: Answer) => void
  /** Closes the connection after each response from now on. */
  drain: () => void
  /** Number of requests that wait for an answer. */
  open: () => number
  close: () => void
}

/** Writes a decision to the log if the line budget allows it. */
export type LogDecision = (what: string, fields: Record<string, unknown>) => void

export type CallerPortFactory = (events: CallerEvents, note: LogDecision) => CallerPort

/** Settings that both roles share. */
export interface ServiceSettings {
  id: string
  dataCentre: string
  host: string
  linkPort: number
  /** Address at which other processes reach the listener for links, `host:port`. */
  linkAddress: string
  /** Hosts of processes that are dialled to discover others. */
  seeds: string[]
  metrics: { host: string, port: number }
  bounds: {
    /** Time after a stop request within which the process must have exited. */
    grace: number
    stop: number
    /** Time after the agent acknowledged the target's notice during which tasks may still start there. */
    drain: number
    longestLease: number
    resubmission: number
    /** Time within which an accepted configuration must be in force everywhere, in milliseconds. */
    configuration: number
  }
  scheduling: SchedulingSettings
}
