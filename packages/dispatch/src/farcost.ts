/** What a target of another data centre costs: what was measured, and more while there is room nearby. */
import type { AgentView } from './fleetview.ts'
import { NEAR_ROOM_PART, WAY_RATE } from './speeddefaults.ts'

export interface FarCostParts {
  /** What a far target is worth avoiding while there is room nearby, in milliseconds. */
  penalty: number
  agents: () => Iterable<AgentView>
}

/** Means of the time that tasks take besides their run, in milliseconds; undefined before one was seen. */
interface Ways {
  near: number | undefined
  far: number | undefined
}

export class FarCost {
  readonly #parts: FarCostParts
  readonly #ways: Ways = { near: undefined, far: undefined }
  /** Part of the processors that is free, by data centre, until the next decision. */
  #room = new Map<string, number>()

  constructor (parts: FarCostParts) {
    this.#parts = parts
  }

  /** A task has run to its end. `besides`: time from its start here to the news of its end, less its run, in milliseconds. */
  noteRun (isNear: boolean, besides: number): void {
    const key = isNear ? 'near' : 'far'
    const mean = this.#ways[key] ?? besides
    this.#ways[key] = mean + WAY_RATE * (besides - mean)
  }

  /** Loads are as known now. */
  begin (): void {
    this.#room.clear()
  }

  /** How much longer a task takes to a far target and back, in milliseconds; 0 before both were seen. */
  get way (): number {
    const { near, far } = this.#ways
    return near === undefined || far === undefined ? 0 : Math.max(0, far - near)
  }

  /** What a far target costs a caller of the data centre, in milliseconds. */
  of (dataCentre: string): number {
    const { way } = this
    return way + Math.max(0, this.#parts.penalty - way) * Math.min(1, this.#roomIn(dataCentre) / NEAR_ROOM_PART)
  }

  #roomIn (dataCentre: string): number {
    const known = this.#room.get(dataCentre)
    if (known !== undefined) return known
    let free = 0
    let whole = 0
    for (const agent of this.#parts.agents()) {
      if (!agent.linked || agent.evacuated || agent.target?.dataCentre !== dataCentre) continue
      free += Math.max(0, agent.free.cpu)
      whole += agent.target.capacity.cpu
    }
    const part = whole === 0 ? 0 : free / whole
    this.#room.set(dataCentre, part)
    return part
  }
}
