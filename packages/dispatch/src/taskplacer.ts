/** Places queued tasks at targets with free capacity: those of own jobs and those that other entries request, in one order. */
import type { Fleet, PlannedStart } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, Step, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { PlacementRequest } from './placement.ts'
import type { Policy } from './policy.ts'
import type { AllocationRequest } from './allocationrequest.ts'
import type { Grant } from './peermessages.ts'
import { latestEndOfStep, JobState, TaskState } from './job.ts'
import { Isolation } from './messages.ts'
import { choose } from './placement.ts'
import { RequestQueue } from './requestqueue.ts'
import { chooseBySlack } from './slackplacement.ts'

/** Agents whose targets may take tasks now. */
export interface Candidates {
  /** For a job of this entry. */
  own: (job: Job) => readonly AgentView[]
  /** For requests, by the requested group. */
  byGroup: ReadonlyMap<string, readonly AgentView[]>
}

export interface TaskPlacerDependencies {
  fleet: Fleet
  dataCentre: string
  policy: Policy
  /** Called for each job when its first task is placed. */
  begun: (now: number) => void
  /** Sends the grants to the requesting entry. */
  onGranted: (request: AllocationRequest, grants: Grant[], now: number) => void
  /** Data centre of another entry. */
  dataCentreOf: (peer: string) => string
  /** Number of linked entries, including this one. */
  entries: () => number
  note: (what: string, fields: Record<string, unknown>) => void
}

const NO_REQUESTS = new RequestQueue()

export class TaskPlacer {
  readonly #dependencies: TaskPlacerDependencies

  constructor (dependencies: TaskPlacerDependencies) {
    this.#dependencies = dependencies
  }

  /** Places what fits; jobs and requests with unplaced tasks go back into their queues. */
  place (candidates: Candidates, jobs: JobQueue | undefined, requests: RequestQueue = NO_REQUESTS, now: number): void {
    this.#dependencies.fleet.remoteCost.clearLoads()
    const unplacedJobs: Job[] = []
    const unmetRequests: AllocationRequest[] = []
    const { scanLimit } = this.#dependencies.policy
    const limit = scanLimit * (1 + requests.peers)
    while (unplacedJobs.length + unmetRequests.length < limit) {
      const request = requests.nextOrder < (jobs?.nextOrder ?? Infinity) ? requests.take() : undefined
      if (request !== undefined) {
        this.#grant(request, candidates.byGroup.get(request.group) ?? [], now)
        if (!request.done) unmetRequests.push(request)
        continue
      }
      const job = jobs?.take()
      if (job === undefined) break
      this.#placeJob(job, candidates.own(job), now)
      if (job.state === JobState.Open && job.queued().length > 0) unplacedJobs.push(job)
    }
    for (const job of unplacedJobs) jobs?.add(job)
    for (const request of unmetRequests) requests.add(request)
  }

  /** Starts tasks of a job at targets whose capacity is granted to them. */
  start (job: Job, places: ReadonlyArray<{ task: Task, agent: AgentView }>, now: number): void {
    if (places.length === 0) return
    const starts = new Map<AgentView, PlannedStart[]>()
    for (const { task, agent } of places) {
      const start = planStart(job, task)
      this.#dependencies.fleet.reserve(agent, start, now)
      const planned = starts.get(agent)
      if (planned === undefined) starts.set(agent, [start])
      else planned.push(start)
    }
    this.#send(job, starts, now)
  }

  #placeJob (job: Job, candidates: readonly AgentView[], now: number): void {
    const starts = new Map<AgentView, PlannedStart[]>()
    const counts = new StepCounts(index => this.#dependencies.fleet.agentsOf(job, index))
    for (const task of job.queued()) {
      const step = job.request.steps[task.step] as Step
      const agent = this.#choose({
        step,
        expected: job.expected[task.step] ?? 0,
        now,
        left: this.#dependencies.policy.placesBySlack ? latestEndOfStep(job, task.step) - now : Infinity,
        avoid: task.avoid,
        isolation: task.isolation,
        dataCentre: this.#dependencies.dataCentre,
        placedAt: ({ name }) => counts.at(task.step, name),
        hasPlace: agent => agent.healthAllowsMore(),
        isUsed: agent => agent.placements.size > 0,
        entries: this.#dependencies.entries(),
        policy: this.#dependencies.policy,
        farPenalty: this.#dependencies.policy.farPenalty,
        remoteDelay: 0
      }, candidates, job.request.queue.service)
      if (agent === undefined) continue
      counts.add(task.step, agent.name)
      const start = planStart(job, task)
      this.#dependencies.fleet.reserve(agent, start, now)
      const planned = starts.get(agent)
      if (planned === undefined) starts.set(agent, [start])
      else planned.push(start)
    }
    if (starts.size > 0) this.#send(job, starts, now)
  }

  #send (job: Job, starts: ReadonlyMap<AgentView, PlannedStart[]>, now: number): void {
    if (!job.started) this.#dependencies.begun(now)
    job.started = true
    job.offeredAt ??= now
    for (const [agent, planned] of starts) this.#dependencies.fleet.send(agent, job, planned, now)
    const at = [...starts].map(([agent, planned]) => [agent.name, planned.length, Math.round(now - agent.heardAt)])
    this.#dependencies.note('tasks placed', { job: job.request.id, at, waited: Math.round(now - job.arrivedAt), left: job.queued().length })
  }

  /** Modifies the request in place: copying it for each task would take longer than the choice itself. */
  #choose (request: PlacementRequest, candidates: readonly AgentView[], service: string): AgentView | undefined {
    const { policy, fleet: { remoteCost: farCost, speeds } } = this.#dependencies
    // Entries of earlier builds omit the time left.
    if (!policy.placesBySlack || request.left === Infinity) return choose(request, candidates)
    request.farPenalty = farCost.of(request.dataCentre)
    request.remoteDelay = farCost.remoteDelay
    return chooseBySlack(request, candidates, speeds.fastest(service, request.step.label))
  }

  #grant (request: AllocationRequest, group: readonly AgentView[], now: number): void {
    const candidates = group.filter(({ name }) => request.allows(name))
    const grants: Grant[] = []
    const counts = new StepCounts(index => request.placed(index))
    for (const { step, task } of request.tasks()) {
      const agent = this.#choose({
        step,
        expected: step.expected,
        now,
        left: request.arrivedAt + (step.endBy ?? Infinity) - now,
        avoid: task.avoid,
        isolation: task.isolation ?? Isolation.None,
        dataCentre: this.#dependencies.dataCentreOf(request.peer),
        hasPlace: agent => agent.hasRoomForOthers,
        isUsed: agent => agent.isUsedBy(request.peer, now),
        entries: this.#dependencies.entries(),
        placedAt: ({ name }) => counts.at(step.index, name),
        policy: this.#dependencies.policy,
        farPenalty: this.#dependencies.policy.farPenalty,
        remoteDelay: 0
      }, candidates, request.service)
      if (agent === undefined) continue
      counts.add(step.index, agent.name)
      request.noteGranted(step, task, agent.name)
      const { isolation = Isolation.None } = task
      agent.grant(task.name, isolation === Isolation.Alone ? { ...agent.free } : step.needs, isolation, now)
      agent.noteUse(request.peer, now + step.expected)
      grants.push({ task: task.name, agent: agent.name })
    }
    if (grants.length > 0) this.#dependencies.onGranted(request, grants, now)
  }
}

function planStart (job: Job, task: Task): PlannedStart {
  task.state = TaskState.Placed
  task.attempt += 1
  job.placed += 1
  return { task, needs: (job.request.steps[task.step] as Step).needs, expected: job.expected[task.step] ?? 0 }
}

/** Number of tasks of each step of a job at each target. */
class StepCounts {
  readonly #placed: (step: number) => readonly string[]
  readonly #steps = new Map<number, Map<string, number>>()

  /** @param placed agents with placed tasks of a step, repeated for each task */
  constructor (placed: (step: number) => readonly string[]) {
    this.#placed = placed
  }

  at (step: number, agent: string): number {
    return this.#countsOf(step).get(agent) ?? 0
  }

  add (step: number, agent: string): void {
    const counts = this.#countsOf(step)
    counts.set(agent, (counts.get(agent) ?? 0) + 1)
  }

  #countsOf (step: number): Map<string, number> {
    let counts = this.#steps.get(step)
    if (counts === undefined) {
      counts = new Map()
      this.#steps.set(step, counts)
      for (const agent of this.#placed(step)) counts.set(agent, (counts.get(agent) ?? 0) + 1)
    }
    return counts
  }
}
