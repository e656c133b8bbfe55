/** Places queued tasks at targets with room: those of own jobs, and those that other entries ask room for, in one order. */
import type { Fleet, PlannedStart } from './fleet.ts'
import type { AgentView } from './fleetview.ts'
import type { Job, Step, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { PlacementRequest } from './placement.ts'
import type { Policy } from './policy.ts'
import type { RoomRequest } from './roomrequest.ts'
import type { Grant } from './roommessages.ts'
import { latestEndOfStep, JobState, TaskState } from './job.ts'
import { Isolation } from './messages.ts'
import { choose } from './placement.ts'
import { RequestQueue } from './requestqueue.ts'
import { chooseBySlack } from './slackplacement.ts'

/** Where tasks may go now. */
export interface Candidates {
  /** Of an own job. */
  own: (job: Job) => readonly AgentView[]
  /** Of requests, by the group that they name. */
  byGroup: ReadonlyMap<string, readonly AgentView[]>
}

export interface PlacingParts {
  fleet: Fleet
  dataCentre: string
  policy: Policy
  /** Is told of each job of which the first task is placed. */
  begun: (now: number) => void
  /** Tells an entry of the room that it was given. */
  granted: (request: RoomRequest, grants: Grant[], now: number) => void
  /** Data centre of another entry. */
  dataCentreOf: (peer: string) => string
  /** Entries that are linked, this one among them. */
  entries: () => number
  note: (what: string, fields: Record<string, unknown>) => void
}

const NO_REQUESTS = new RequestQueue()

export class Placing {
  readonly #parts: PlacingParts

  constructor (parts: PlacingParts) {
    this.#parts = parts
  }

  /** Places what fits; what is left goes back into its queue. */
  place (candidates: Candidates, jobs: JobQueue | undefined, requests: RequestQueue = NO_REQUESTS, now: number): void {
    this.#parts.fleet.remoteCost.begin()
    const waiting: Job[] = []
    const asking: RoomRequest[] = []
    const { scanLimit } = this.#parts.policy
    const limit = scanLimit * (1 + requests.peers)
    while (waiting.length + asking.length < limit) {
      const request = requests.nextOrder < (jobs?.nextOrder ?? Infinity) ? requests.take() : undefined
      if (request !== undefined) {
        this.#grant(request, candidates.byGroup.get(request.group) ?? [], now)
        if (!request.done) asking.push(request)
        continue
      }
      const job = jobs?.take()
      if (job === undefined) break
      this.#placeJob(job, candidates.own(job), now)
      if (job.state === JobState.Open && job.queued().length > 0) waiting.push(job)
    }
    for (const job of waiting) jobs?.add(job)
    for (const request of asking) requests.add(request)
  }

  /** Starts tasks of a job at targets whose room is known to be theirs. */
  start (job: Job, places: ReadonlyArray<{ task: Task, agent: AgentView }>, now: number): void {
    if (places.length === 0) return
    const starts = new Map<AgentView, PlannedStart[]>()
    for (const { task, agent } of places) {
      const start = plan(job, task)
      this.#parts.fleet.reserve(agent, start, now)
      const planned = starts.get(agent)
      if (planned === undefined) starts.set(agent, [start])
      else planned.push(start)
    }
    this.#send(job, starts, now)
  }

  #placeJob (job: Job, candidates: readonly AgentView[], now: number): void {
    const starts = new Map<AgentView, PlannedStart[]>()
    const counts = new StepCounts(index => this.#parts.fleet.agentsOf(job, index))
    for (const task of job.queued()) {
      const step = job.request.steps[task.step] as Step
      const agent = this.#choose({
        step,
        expected: job.expected[task.step] ?? 0,
        now,
        left: this.#parts.policy.placesBySlack ? latestEndOfStep(job, task.step) - now : Infinity,
        avoid: task.avoid,
        isolation: task.isolation,
        dataCentre: this.#parts.dataCentre,
        placedAt: ({ name }) => counts.at(task.step, name),
        hasPlace: agent => agent.healthAllowsMore(),
        isUsed: agent => agent.placements.size > 0,
        entries: this.#parts.entries(),
        policy: this.#parts.policy,
        farPenalty: this.#parts.policy.farPenalty,
        farWay: 0
      }, candidates, job.request.queue.service)
      if (agent === undefined) continue
      counts.add(task.step, agent.name)
      const start = plan(job, task)
      this.#parts.fleet.reserve(agent, start, now)
      const planned = starts.get(agent)
      if (planned === undefined) starts.set(agent, [start])
      else planned.push(start)
    }
    if (starts.size > 0) this.#send(job, starts, now)
  }

  #send (job: Job, starts: ReadonlyMap<AgentView, PlannedStart[]>, now: number): void {
    if (!job.started) this.#parts.begun(now)
    job.started = true
    job.offeredAt ??= now
    for (const [agent, planned] of starts) this.#parts.fleet.send(agent, job, planned, now)
    const at = [...starts].map(([agent, planned]) => [agent.name, planned.length, Math.round(now - agent.heardAt)])
    this.#parts.note('tasks placed', { job: job.request.id, at, waited: Math.round(now - job.arrivedAt), left: job.queued().length })
  }

  /** Changes the request in place: a copy for each task takes longer than the choice itself. */
  #choose (request: PlacementRequest, candidates: readonly AgentView[], service: string): AgentView | undefined {
    const { policy, fleet: { remoteCost: farCost, speeds } } = this.#parts
    // An entry of an earlier build does not say how much time is left.
    if (!policy.placesBySlack || request.left === Infinity) return choose(request, candidates)
    request.farPenalty = farCost.of(request.dataCentre)
    request.farWay = farCost.way
    return chooseBySlack(request, candidates, speeds.fastest(service, request.step.label))
  }

  #grant (request: RoomRequest, group: readonly AgentView[], now: number): void {
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
        dataCentre: this.#parts.dataCentreOf(request.peer),
        hasPlace: agent => agent.hasRoomForOthers,
        isUsed: agent => agent.isUsedBy(request.peer, now),
        entries: this.#parts.entries(),
        placedAt: ({ name }) => counts.at(step.index, name),
        policy: this.#parts.policy,
        farPenalty: this.#parts.policy.farPenalty,
        farWay: 0
      }, candidates, request.service)
      if (agent === undefined) continue
      counts.add(step.index, agent.name)
      request.noteGranted(step, task, agent.name)
      const { isolation = Isolation.None } = task
      agent.grant(task.name, isolation === Isolation.Alone ? { ...agent.free } : step.needs, isolation, now)
      agent.noteUse(request.peer, now + step.expected)
      grants.push({ task: task.name, agent: agent.name })
    }
    if (grants.length > 0) this.#parts.granted(request, grants, now)
  }
}

function plan (job: Job, task: Task): PlannedStart {
  task.state = TaskState.Placed
  task.attempt += 1
  job.placed += 1
  return { task, needs: (job.request.steps[task.step] as Step).needs, expected: job.expected[task.step] ?? 0 }
}

/** How many tasks of each step of a job are at each target. */
class StepCounts {
  readonly #placed: (step: number) => readonly string[]
  readonly #steps = new Map<number, Map<string, number>>()

  /** @param placed agents with tasks of a step, each as often as it has one */
  constructor (placed: (step: number) => readonly string[]) {
    this.#placed = placed
  }

  at (step: number, agent: string): number {
    return this.#of(step).get(agent) ?? 0
  }

  add (step: number, agent: string): void {
    const counts = this.#of(step)
    counts.set(agent, (counts.get(agent) ?? 0) + 1)
  }

  #of (step: number): Map<string, number> {
    let counts = this.#steps.get(step)
    if (counts === undefined) {
      counts = new Map()
      this.#steps.set(step, counts)
      for (const agent of this.#placed(step)) counts.set(agent, (counts.get(agent) ?? 0) + 1)
    }
    return counts
  }
}
