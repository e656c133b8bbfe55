/** Tasks of another entry's job that ask for room. */
import type { PeerMessage, RoomStep, RoomTask } from './roommessages.ts'

export class RoomRequest {
  /** Entry that asks. */
  readonly peer: string
  readonly job: string
  readonly group: string
  readonly service: string
  /** Whether it stays when not everything fits. */
  readonly waits: boolean
  readonly arrivedAt: number
  /** The request with the smallest one is served first; as for own jobs, when it would be refused. */
  readonly orderAt: number
  readonly #except: ReadonlySet<string>
  readonly #steps: readonly RoomStep[]

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

  /** Tasks without room, with their steps. */
  * tasks (): Generator<{ step: RoomStep, task: RoomTask }> {
    for (const step of this.#steps) for (const task of [...step.tasks]) yield { step, task }
  }

  get done (): boolean {
    return this.#steps.every(({ tasks }) => tasks.length === 0)
  }

  /** Agents with tasks of a step, each as often as it has one. */
  placed (index: number): readonly string[] {
    return this.#steps.find(step => step.index === index)?.placed ?? []
  }

  allows (agent: string): boolean {
    return !this.#except.has(agent)
  }

  noteGranted (step: RoomStep, task: RoomTask, agent: string): void {
    step.tasks.splice(step.tasks.indexOf(task), 1)
    step.placed.push(agent)
  }
}
