/**
 * Admission by the demand and the capacity of the whole fleet.
 *
 * Each entry sends the others the demand of its callers, and computes the same shares from the same figures: every
 * entry admits the same fraction of each queue's jobs and refuses the others on arrival. The admitted total follows the
 * cores wanted at one time: more is admitted while some are free, less while too much waits.
 */
import type { Admission } from './admission.ts'
import type { QueueCounts } from './admissioncounts.ts'
import type { Answer, EntryEffect, Reason } from './entrytypes.ts'
import type { Fleet } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, JobRequest } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { Queue } from './queues.ts'
import type { Returns } from './returns.ts'
import type { QueueDemand, PeerMessage } from './peermessages.ts'
import type { QueueShare, ServiceCapacity } from './shareplan.ts'
import { AdmissionCounts } from './admissioncounts.ts'
import {
  CAPACITY_LOSS_FRACTION, MAX_DEMAND_NAMES, EXPECTED_WAIT_FRACTION, MAX_OFFERED_FRACTION, MAX_WAITING_FRACTION,
  SHARE_LOG_MILLISECONDS, SHARES_INTERVAL_MILLISECONDS, STALE_ADMITTED_FRACTION, MAX_REPORTED_OVER_USED
} from './admissiondefaults.ts'
import { DemandMeter } from './demandmeter.ts'
import { DemandReports } from './demandreports.ts'
import { DemandView } from './demandview.ts'
import { AnswerKind } from './entrytypes.ts'
import { longestChain } from './job.ts'
import { keyOf, KeyShares } from './keyshares.ts'
import { coresOf, coresWaiting, coresWanted, demandOf, turnoverOf, workOf } from './owndemand.ts'
import { Arrival } from './returns.ts'
import { ShareGate } from './sharegate.ts'
import { planShares, sumByQueue, trimAfter } from './shareplan.ts'

export interface FleetAdmissionDependencies {
  dataCentre: string
  /** Weights of the queues by their priority; priorities beyond the list weigh 1. */
  weights: readonly number[]
  fleet: Pick<Fleet, 'reachable'>
  /** This entry's jobs with tasks to place, by service. */
  queues: ReadonlyMap<string, JobQueue>
  admission: Pick<Admission, 'expected' | 'meanRun'>
  /** Expected returns of refused callers; undefined if returns are not reserved. */
  returns: Returns | undefined
  emit: (effect: EntryEffect) => void
}

const MILLISECONDS_PER_SECOND = 1000

/** The figures behind a refusal. */
export interface ShareRefusal {
  /** Work of the queue admitted each second, and work that arrives each second, in cores. */
  share: number
  offered: number
  /** Fraction of the queue's jobs that is admitted. */
  threshold: number
  capacity: number
  wanted: number
  /** Expected wait of the job, in milliseconds. */
  wait: number
}

/** The admission figures of one queue for operators. Work in cores. */
export interface AdmissionStatus extends QueueShare {
  counts: QueueCounts
  /** Demand of the callers of all entries, by the data centre of the entry. */
  dataCentres: Record<string, { offered: number, running: number, waiting: number }>
}

/** The shares in one service as last computed. */
interface ServiceState extends ServiceCapacity {
  at: number
  own: readonly QueueDemand[]
  shares: ReadonlyMap<string, QueueShare>
  /** Cores released each millisecond; 0 when not known. */
  releaseRate: number
  /** Cores that tasks of all entries wait for, and those that tasks of this entry wait for. */
  waiting: number
  ownWaiting: number
  /** Cores of the jobs admitted since then. */
  admitted: number
  /** Whether the capacity has fallen, or become known, since waiting jobs were last checked. */
  capacityFell: boolean
}

export class FleetAdmission {
  readonly #dependencies: FleetAdmissionDependencies
  readonly #offered = new DemandMeter()
  readonly #admitted = new DemandMeter()
  readonly #keys = new KeyShares()
  readonly #view = new DemandView()
  readonly #reports: DemandReports
  readonly #counts = new AdmissionCounts()
  readonly #queues = new Map<string, Queue>()
  readonly #gates = new Map<string, ShareGate>()
  readonly #services = new Map<string, ServiceState>()
  readonly #loggedAt = new Map<string, number>()

  constructor (dependencies: FleetAdmissionDependencies) {
    this.#dependencies = dependencies
    this.#reports = new DemandReports(dependencies.dataCentre, dependencies.emit)
  }

  peerLinked (peer: string): void {
    this.#reports.add(peer)
  }

  peerUnlinked (peer: string): void {
    this.#reports.remove(peer)
    this.#view.remove(peer)
  }

  receive (peer: string, message: Extract<PeerMessage, { type: 'demand' }>, now: number): void {
    this.#view.receive(peer, message, now)
    this.#dependencies.returns?.receive(message.returns, now)
  }

  tick (now: number): void {
    const services = new Set([...this.#queues.values()].map(({ service }) => service))
    for (const service of services) this.#refresh(service, now)
    this.#reports.tick([...this.#services.values()].flatMap(({ own }) => own), this.#dependencies.returns, now)
  }

  /** Returns the figures behind the refusal of an arriving job, or undefined if it is admitted. */
  refusal (request: JobRequest, now: number): ShareRefusal | undefined {
    const { queue, steps } = request
    const expected = this.#dependencies.admission.expected(queue, steps)
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
    const wait = this.#expectedWait(state, this.#coresBefore(queue.service, now + slack))
    const fraction = share === undefined ? 1 : this.#keys.part(queue.name, key, share.threshold, now)
    const arrival = this.#dependencies.returns?.arrival(request.id, now) ?? Arrival.First
    const maxWait = arrival === Arrival.OnTime ? slack : slack * EXPECTED_WAIT_FRACTION
    const gate = this.#gateOf(`${queue.name}/${key}`)
    if (state.capacity === 0 || (wait <= maxWait && gateAdmits(gate, fraction, arrival))) {
      if (state.capacity > 0) this.#admitted.note(queue.name, MILLISECONDS_PER_SECOND, now)
      this.#dependencies.returns?.noteAdmitted(request.id)
      this.#counts.of(queue.name).admitted += 1
      state.admitted += coresWanted(request)
      return undefined
    }
    if (wait > maxWait && arrival === Arrival.OnTime) gate.charge()
    const refusal = { share: share?.share ?? 0, offered: share?.offered ?? 0, threshold: fraction, capacity: state.capacity, wanted: state.wanted, wait }
    this.#logExceeded(queue.name, refusal, now)
    return refusal
  }

  /** Jobs of the queue admitted here each second. */
  admittedPerSecond (queue: string, now: number): number {
    return this.#admitted.rate(queue, now)
  }

  /** Returns the waiting jobs that can no longer be in time after a loss of capacity. */
  unservable (service: string, now: number): Job[] {
    const state = this.#services.get(service)
    if (state?.capacityFell !== true) return []
    state.capacityFell = false
    const jobs = [...this.#dependencies.queues.get(service)?.jobs() ?? []].sort((one, other) => one.startBy - other.startBy)
    const unservable: Job[] = []
    let coresAhead = 0
    for (const job of jobs) {
      const cores = coresAhead + coresWaiting(job)
      if (!job.started && now + this.#expectedWait(state, cores) > job.startBy) unservable.push(job)
      else coresAhead = cores
    }
    return unservable
  }

  noteRefused (queue: string, cause: Reason): void {
    this.#counts.noteRefused(queue, cause)
  }

  /** Counts the answer to an admitted job. */
  noteEnded (queue: string, { kind, reason }: Answer, inTime: boolean): void {
    if (kind === AnswerKind.Completed) this.#counts.noteAnswered(queue, inTime)
    if (kind === AnswerKind.Refused) this.#counts.noteRefused(queue, reason)
  }

  status (now: number): AdmissionStatus[] {
    const reported = this.#view.fresh(now)
    return [...this.#services.values()].flatMap(({ shares, own }) => [...shares.values()].map(share => {
      const demands = [...own.map(demand => ({ ...demand, dataCentre: this.#dependencies.dataCentre })), ...reported]
      return { ...share, counts: this.#counts.of(share.name), dataCentres: byDataCentre(demands.filter(({ name }) => name === share.name)) }
    }))
  }

  #refresh (service: string, now: number): ServiceState {
    const known = this.#services.get(service)
    if (known !== undefined && now - known.at < SHARES_INTERVAL_MILLISECONDS && known.admitted <= known.capacity * STALE_ADMITTED_FRACTION) return known
    const state = this.#compute(service, known, now)
    this.#services.set(service, state)
    return state
  }

  #compute (service: string, before: ServiceState | undefined, now: number): ServiceState {
    const agents: readonly AgentView[] = this.#dependencies.fleet.reachable(service, now)
    const { capacity, used } = coresOf(agents)
    const queues = [...this.#queues.values()].filter(queue => queue.service === service)
    const own = demandOf(queues, this.#offered, agents, this.#dependencies.queues.get(service), now)
    const reported = this.#view.fresh(now).filter(demand => demand.service === service).map(demand => clampedDemand(demand, capacity))
    const demands = sumByQueue([...own, ...reported])
    const waiting = total(demands, 'waiting')
    const wanted = Math.max(used, Math.min(total(demands, 'running'), used * MAX_REPORTED_OVER_USED)) + waiting
    const refuses = before !== undefined && [...before.shares.values()].some(({ threshold }) => threshold < 1)
    const serviceCapacity = { capacity, wanted, trim: before?.trim ?? 1, refuses }
    const trim = trimAfter(serviceCapacity, now - (before?.at ?? now))
    const shares = planShares({ ...serviceCapacity, trim }, demands, priority => this.#dependencies.weights[priority] ?? 1)
    return {
      at: now,
      capacity,
      wanted,
      trim,
      refuses,
      own,
      shares: new Map(shares.map(share => [share.name, share])),
      releaseRate: turnoverOf(demands, (name, of) => this.#dependencies.admission.meanRun(name, of)) * capacity,
      waiting,
      ownWaiting: total(own, 'waiting'),
      admitted: 0,
      capacityFell: before !== undefined && (before.capacityFell || before.capacity === 0 || capacity < before.capacity * (1 - CAPACITY_LOSS_FRACTION))
    }
  }

  /** Cores that this entry's jobs with an earlier latest start wait for. */
  #coresBefore (service: string, startBy: number): number {
    let cores = 0
    for (const job of this.#dependencies.queues.get(service)?.jobs() ?? []) if (job.startBy <= startBy) cores += coresWaiting(job)
    return cores
  }

  /**
   * Expected wait in milliseconds behind `coresBefore` cores of this entry's own jobs. Jobs of other entries are
   * assumed to be spread over their queues in the same way.
   */
  #expectedWait ({ releaseRate, waiting, ownWaiting }: ServiceState, coresBefore: number): number {
    if (releaseRate === 0 || coresBefore === 0) return 0
    return Math.max(coresBefore, Math.min(waiting, coresBefore * waiting / Math.max(1, ownWaiting))) / releaseRate
  }

  #gateOf (name: string): ShareGate {
    const gate = this.#gates.get(name) ?? new ShareGate()
    this.#gates.delete(name)
    this.#gates.set(name, gate)
    const oldest = this.#gates.keys().next().value
    if (this.#gates.size > MAX_DEMAND_NAMES && oldest !== undefined) this.#gates.delete(oldest)
    return gate
  }

  #logExceeded (queue: string, refusal: ShareRefusal, now: number): void {
    if (now - (this.#loggedAt.get(queue) ?? Number.NEGATIVE_INFINITY) < SHARE_LOG_MILLISECONDS) return
    this.#loggedAt.set(queue, now)
    this.#dependencies.emit({ type: 'note', what: 'share exceeded', fields: { queue, ...rounded(refusal) } })
  }
}

function gateAdmits (gate: ShareGate, fraction: number, arrival: Arrival): boolean {
  if (arrival === Arrival.Early && fraction < 1) return false
  return arrival === Arrival.OnTime ? gate.admitsAhead(fraction) : gate.admits(fraction)
}

/** Rounds the figures of a refusal for the log. */
export function rounded (refusal: ShareRefusal): Record<string, number> {
  return Object.fromEntries(Object.entries(refusal).map(([name, value]) => [name, Math.round(value * 100) / 100]))
}

function total (demands: readonly QueueDemand[], figure: 'running' | 'waiting'): number {
  return demands.reduce((sum, demand) => sum + demand[figure], 0)
}

/** Limits the demand reported by another entry, so that a wrong report costs this one little. */
function clampedDemand (demand: QueueDemand, capacity: number): QueueDemand {
  return { ...demand, offered: Math.min(demand.offered, capacity * MAX_OFFERED_FRACTION), waiting: Math.min(demand.waiting, capacity * MAX_WAITING_FRACTION) }
}

function byDataCentre (demands: ReadonlyArray<QueueDemand & { dataCentre: string }>): AdmissionStatus['dataCentres'] {
  const sums: AdmissionStatus['dataCentres'] = {}
  for (const { dataCentre, offered, running, waiting } of demands) {
    const sum = sums[dataCentre] ??= { offered: 0, running: 0, waiting: 0 }
    sum.offered += offered
    sum.running += running
    sum.waiting += waiting
  }
  return sums
}
