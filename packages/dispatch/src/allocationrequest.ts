/** Request of another entry for capacity for tasks of one of its jobs. */
import type { PeerMessage, RequestedStep, RequestedTask } from './peermessages.ts'

export class AllocationRequest {
  /** Name of the requesting entry. */
  readonly peer: string
  readonly job: string
  readonly group: string
  readonly service: string
  /** Whether the request waits when not all tasks fit; else it is declined. */
  readonly waits: boolean
  readonly arrivedAt: number
  /** When the job would be refused, as for jobs of this entry; the request with the smallest value is served first. */
  readonly orderAt: number
  readonly #except: ReadonlySet<string>
  readonly #steps: readonly RequestedStep[]

  constructor (peer: string, { job, group, service, within, waits, steps, except }: Extract<PeerMessage, { type: 'ask' }>, now: number) {
    this.peer = peer
    this.job = job
    this.group = group
    this.service = service
    this.waits = waits
    this.arrivedAt = now
    this.orderAt = now + within
    this.#steps = steps
    this.#except = new Set(except)
  }

  /** Tasks without a grant, with their steps. */
  * tasks (): Generator<{ step: RequestedStep, task: RequestedTask }> {
    for (const step of this.#steps) for (const task of [...step.tasks]) yield { step, task }
  }

  get done (): boolean {
    return this.#steps.every(({ tasks }) => tasks.length === 0)
  }

  /** Agents with placed tasks of a step, repeated for each task. */
  placed (index: number): readonly string[] {
    return this.#steps.find(step => step.index === index)?.placed ?? []
  }

  allows (agent: string): boolean {
    return !this.#except.has(agent)
  }

  noteGranted (step: RequestedStep, task: RequestedTask, agent: string): void {
    step.tasks.splice(step.tasks.indexOf(task), 1)
    step.placed.push(agent)
  }
}
