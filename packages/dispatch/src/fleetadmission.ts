/**
 * Admission by the demand and the capacity of the whole fleet.
 *
 * Each entry tells the others what its callers want, and works out the same shares from the same figures: a part of each
 * kind's jobs is admitted, at every entry the same, and the others are refused as they arrive. The sum of what is admitted
 * follows the cores that are wanted at one time: while some are free more is admitted, while too much waits less.
 */
import type { Admission } from './admission.ts'
import type { KindCounts } from './admissioncounts.ts'
import type { Answer, EntryEffect, Reason } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, JobRequest } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Queue } from './queues.ts'
import type { Returns } from './returns.ts'
import type { QueueDemand, PeerMessage } from './peermessages.ts'
import type { KindShare, ServiceRoom } from './shareplan.ts'
import { AdmissionCounts } from './admissioncounts.ts'
import {
  CAPACITY_LOSS_PART, DEMAND_NAMES_LIMIT, FORESEEN_WAIT_PART, MOST_OFFERED_PART, MOST_WAITING_PART,
  SHARE_NOTE_MILLISECONDS, SHARES_INTERVAL_MILLISECONDS, STALE_PART, TOLD_OVER_USED
} from './admissiondefaults.ts'
import { DemandMeter } from './demandmeter.ts'
import { DemandTelling } from './demandtelling.ts'
import { DemandView } from './demandview.ts'
import { AnswerKind } from './entrytypes.ts'
import { longestChain } from './job.ts'
import { keyOf, KeyShares } from './keyshares.ts'
import { coresOf, coresWaiting, coresWanted, demandOf, turnoverOf, workOf } from './owndemand.ts'
import { Arrival } from './returns.ts'
import { ShareGate } from './sharegate.ts'
import { planShares, sumByKind, trimAfter } from './shareplan.ts'

export interface FleetAdmissionParts {
  dataCentre: string
  /** Weights of the queues by their priority; those beyond the list weigh 1. */
  weights: readonly number[]
  fleet: Pick<Fleet, 'reachable'>
  /** Own jobs with tasks to place, by service. */
  queues: ReadonlyMap<string, JobQueue>
  admission: Pick<Admission, 'expected' | 'meanRun'>
  /** Refused callers that come back; undefined where their returns are not reserved. */
  returns: Returns | undefined
  emit: (effect: EntryEffect) => void
}

const MILLISECONDS_PER_SECOND = 1000

/** The figures behind a refusal. */
export interface ShareRefusal {
  /** Cores of work of the kind that are admitted each second, and that arrive. */
  share: number
  offered: number
  /** Part of the kind's jobs that are admitted. */
  threshold: number
  capacity: number
  wanted: number
  /** How long the job would wait, in milliseconds. */
  wait: number
}

/** A kind of job as operators see it. Work in cores. */
export interface AdmissionStatus extends KindShare {
  counts: KindCounts
  /** Of the own callers and of those of the other entries, by their data centres. */
  dataCentres: Record<string, { offered: number, running: number, waiting: number }>
}

/** Shares in one service, as last worked out. */
interface ServiceState extends ServiceRoom {
  at: number
  own: readonly QueueDemand[]
  shares: ReadonlyMap<string, KindShare>
  /** Cores that come free in a millisecond; 0 when not known. */
  freeing: number
  /** Cores that all entries' tasks wait for, and this entry's. */
  waiting: number
  ownWaiting: number
  /** Cores of the jobs that were admitted since. */
  admitted: number
  /** The capacity has fallen, or become known, since waiting jobs were judged last. */
  fell: boolean
}

export class FleetAdmission {
  readonly #parts: FleetAdmissionParts
  readonly #offered = new DemandMeter()
  readonly #admitted = new DemandMeter()
  readonly #keys = new KeyShares()
  readonly #view = new DemandView()
  readonly #telling: DemandTelling
  readonly #counts = new AdmissionCounts()
  readonly #queues = new Map<string, Queue>()
  readonly #gates = new Map<string, ShareGate>()
  readonly #services = new Map<string, ServiceState>()
  readonly #notedAt = new Map<string, number>()

  constructor (parts: FleetAdmissionParts) {
    this.#parts = parts
    this.#telling = new DemandTelling(parts.dataCentre, parts.emit)
  }

  peerLinked (peer: string): void {
    this.#telling.add(peer)
  }

  peerUnlinked (peer: string): void {
    this.#telling.remove(peer)
    this.#view.forget(peer)
  }

  heard (peer: string, message: Extract<PeerMessage, { type: 'demand' }>, now: number): void {
    this.#view.heard(peer, message, now)
    this.#parts.returns?.heard(message.returns, now)
  }

  tick (now: number): void {
    const services = new Set([...this.#queues.values()].map(({ service }) => service))
    for (const service of services) this.#refresh(service, now)
    this.#telling.tick([...this.#services.values()].flatMap(({ own }) => own), this.#parts.returns, now)
  }

  /** A job arrives: why it is not admitted, or undefined when it is. */
  refusal (request: JobRequest, now: number): ShareRefusal | undefined {
    const { queue, steps } = request
    const expected = this.#parts.admission.expected(queue, steps)
    const work = workOf(request, expected)
    const key = keyOf(request)
    this.#queues.set(queue.name, queue)
    this.#offered.note(queue.name, work, now)
    this.#keys.note(queue.name, key, work, now)
    this.#counts.of(queue.name).offered += 1
    const state = this.#refresh(queue.service, now)
    const share = state.shares.get(queue.name)
    const chain = longestChain(steps, expected)
    const slack = Math.min(queue.slackFactor * chain + queue.latency, request.remaining) - chain
    const wait = this.#foreseenWait(state, this.#coresBefore(queue.service, now + slack))
    const part = share === undefined ? 1 : this.#keys.part(queue.name, key, share.threshold, now)
    const arrival = this.#parts.returns?.arrival(request.id, now) ?? Arrival.First
    const bearable = arrival === Arrival.AsTold ? slack : slack * FORESEEN_WAIT_PART
    const gate = this.#gateOf(`${queue.name}/${key}`)
    if (state.capacity === 0 || (wait <= bearable && passes(gate, part, arrival))) {
      if (state.capacity > 0) this.#admitted.note(queue.name, MILLISECONDS_PER_SECOND, now)
      this.#parts.returns?.served(request.id)
      this.#counts.of(queue.name).admitted += 1
      state.admitted += coresWanted(request)
      return undefined
    }
    if (wait > bearable && arrival === Arrival.AsTold) gate.owe()
    const refusal = { share: share?.share ?? 0, offered: share?.offered ?? 0, threshold: part, capacity: state.capacity, wanted: state.wanted, wait }
    this.#noteExceeded(queue.name, refusal, now)
    return refusal
  }

  /** Jobs of the queue that are admitted here each second. */
  admittedPerSecond (queue: string, now: number): number {
    return this.#admitted.rate(queue, now)
  }

  /** After a loss of capacity: jobs that wait and can't be in time any more. */
  hopeless (service: string, now: number): Job[] {
    const state = this.#services.get(service)
    if (state?.fell !== true) return []
    state.fell = false
    const jobs = [...this.#parts.queues.get(service)?.jobs() ?? []].sort((one, other) => one.startBy - other.startBy)
    const hopeless: Job[] = []
    let before = 0
    for (const job of jobs) {
      const cores = before + coresWaiting(job)
      if (!job.started && now + this.#foreseenWait(state, cores) > job.startBy) hopeless.push(job)
      else before = cores
    }
    return hopeless
  }

  noteRefused (kind: string, cause: Reason): void {
    this.#counts.noteRefused(kind, cause)
  }

  /** A job that was admitted is answered. */
  noteEnded (queue: string, { kind, reason }: Answer, inTime: boolean): void {
    if (kind === AnswerKind.Completed) this.#counts.noteAnswered(queue, inTime)
    if (kind === AnswerKind.Refused) this.#counts.noteRefused(queue, reason)
  }

  status (now: number): AdmissionStatus[] {
    const told = this.#view.fresh(now)
    return [...this.#services.values()].flatMap(({ shares, own }) => [...shares.values()].map(share => {
      const parts = [...own.map(kind => ({ ...kind, dataCentre: this.#parts.dataCentre })), ...told]
      return { ...share, counts: this.#counts.of(share.name), dataCentres: byDataCentre(parts.filter(({ name }) => name === share.name)) }
    }))
  }

  #refresh (service: string, now: number): ServiceState {
    const known = this.#services.get(service)
    if (known !== undefined && now - known.at < SHARES_INTERVAL_MILLISECONDS && known.admitted <= known.capacity * STALE_PART) return known
    const state = this.#workOut(service, known, now)
    this.#services.set(service, state)
    return state
  }

  #workOut (service: string, before: ServiceState | undefined, now: number): ServiceState {
    const agents: readonly AgentView[] = this.#parts.fleet.reachable(service, now)
    const { capacity, used } = coresOf(agents)
    const queues = [...this.#queues.values()].filter(queue => queue.service === service)
    const own = demandOf(queues, this.#offered, agents, this.#parts.queues.get(service), now)
    const told = this.#view.fresh(now).filter(kind => kind.service === service).map(kind => plausible(kind, capacity))
    const kinds = sumByKind([...own, ...told])
    const waiting = total(kinds, 'waiting')
    const wanted = Math.max(used, Math.min(total(kinds, 'running'), used * TOLD_OVER_USED)) + waiting
    const refuses = before !== undefined && [...before.shares.values()].some(({ threshold }) => threshold < 1)
    const room = { capacity, wanted, trim: before?.trim ?? 1, refuses }
    const trim = trimAfter(room, now - (before?.at ?? now))
    const shares = planShares({ ...room, trim }, kinds, priority => this.#parts.weights[priority] ?? 1)
    return {
      at: now,
      capacity,
      wanted,
      trim,
      refuses,
      own,
      shares: new Map(shares.map(share => [share.name, share])),
      freeing: turnoverOf(kinds, (name, of) => this.#parts.admission.meanRun(name, of)) * capacity,
      waiting,
      ownWaiting: total(own, 'waiting'),
      admitted: 0,
      fell: before !== undefined && (before.fell || before.capacity === 0 || capacity < before.capacity * (1 - CAPACITY_LOSS_PART))
    }
  }

  /** Cores that own jobs wait for which must begin before a time. */
  #coresBefore (service: string, startBy: number): number {
    let cores = 0
    for (const job of this.#parts.queues.get(service)?.jobs() ?? []) if (job.startBy <= startBy) cores += coresWaiting(job)
    return cores
  }

  /** The others' jobs are taken to stand in their queues as the own ones do. In milliseconds. */
  #foreseenWait ({ freeing, waiting, ownWaiting }: ServiceState, coresBefore: number): number {
    if (freeing === 0 || coresBefore === 0) return 0
    return Math.max(coresBefore, Math.min(waiting, coresBefore * waiting / Math.max(1, ownWaiting))) / freeing
  }

  #gateOf (name: string): ShareGate {
    const gate = this.#gates.get(name) ?? new ShareGate()
    this.#gates.delete(name)
    this.#gates.set(name, gate)
    const oldest = this.#gates.keys().next().value
    if (this.#gates.size > DEMAND_NAMES_LIMIT && oldest !== undefined) this.#gates.delete(oldest)
    return gate
  }

  #noteExceeded (kind: string, refusal: ShareRefusal, now: number): void {
    if (now - (this.#notedAt.get(kind) ?? Number.NEGATIVE_INFINITY) < SHARE_NOTE_MILLISECONDS) return
    this.#notedAt.set(kind, now)
    this.#parts.emit({ type: 'note', what: 'share exceeded', fields: { queue: kind, ...rounded(refusal) } })
  }
}

function passes (gate: ShareGate, part: number, arrival: Arrival): boolean {
  if (arrival === Arrival.Early && part < 1) return false
  return arrival === Arrival.AsTold ? gate.admitsAhead(part) : gate.admits(part)
}

/** Figures for a note. */
export function rounded (refusal: ShareRefusal): Record<string, number> {
  return Object.fromEntries(Object.entries(refusal).map(([name, value]) => [name, Math.round(value * 100) / 100]))
}

function total (kinds: readonly QueueDemand[], figure: 'running' | 'waiting'): number {
  return kinds.reduce((sum, kind) => sum + kind[figure], 0)
}

/** The word of another entry, no further than what it may cost this one if it is wrong. */
function plausible (kind: QueueDemand, capacity: number): QueueDemand {
  return { ...kind, offered: Math.min(kind.offered, capacity * MOST_OFFERED_PART), waiting: Math.min(kind.waiting, capacity * MOST_WAITING_PART) }
}

function byDataCentre (parts: ReadonlyArray<QueueDemand & { dataCentre: string }>): AdmissionStatus['dataCentres'] {
  const sums: AdmissionStatus['dataCentres'] = {}
  for (const { dataCentre, offered, running, waiting } of parts) {
    const sum = sums[dataCentre] ??= { offered: 0, running: 0, waiting: 0 }
    sum.offered += offered
    sum.running += running
    sum.waiting += waiting
  }
  return sums
}
