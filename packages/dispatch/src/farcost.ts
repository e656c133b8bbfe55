/** Cost of a target in another data centre: the measured delay, and a penalty while the local data centre has free capacity. */
import type { AgentView } from './fleetview.ts'
import { LOCAL_CAPACITY_FRACTION, OVERHEAD_RATE } from './speeddefaults.ts'

export interface RemoteCostDependencies {
  /** Cost of a remote target while the local data centre has free capacity, in milliseconds. */
  penalty: number
  agents: () => Iterable<AgentView>
}

/** Moving averages of the time that tasks take besides their run, in milliseconds; undefined before the first task. */
interface Overheads {
  near: number | undefined
  far: number | undefined
}

export class RemoteCost {
  readonly #dependencies: RemoteCostDependencies
  readonly #overheads: Overheads = { near: undefined, far: undefined }
  /** Fraction of free processors by data centre; cached and cleared before each decision. */
  #freeFractions = new Map<string, number>()

  constructor (dependencies: RemoteCostDependencies) {
    this.#dependencies = dependencies
  }

  /** Records a finished task. `overhead`: time from sending its start to receiving its end, less its run time, in milliseconds. */
  noteRun (isLocal: boolean, overhead: number): void {
    const key = isLocal ? 'near' : 'far'
    const mean = this.#overheads[key] ?? overhead
    this.#overheads[key] = mean + OVERHEAD_RATE * (overhead - mean)
  }

  /** Clears the cached loads before a decision. */
  clearLoads (): void {
    this.#freeFractions.clear()
  }

  /** Extra time of a task at a remote target for the round trip, in milliseconds; 0 until tasks at local and remote targets have finished. */
  get remoteDelay (): number {
    const { near, far } = this.#overheads
    return near === undefined || far === undefined ? 0 : Math.max(0, far - near)
  }

  /** Cost of a remote target for a caller in the data centre, in milliseconds. */
  of (dataCentre: string): number {
    const { remoteDelay } = this
    return remoteDelay + Math.max(0, this.#dependencies.penalty - remoteDelay) * Math.min(1, this.#freeFractionIn(dataCentre) / LOCAL_CAPACITY_FRACTION)
  }

  #freeFractionIn (dataCentre: string): number {
    const known = this.#freeFractions.get(dataCentre)
    if (known !== undefined) return known
    let free = 0
    let total = 0
    for (const agent of this.#dependencies.agents()) {
      if (!agent.linked || agent.evacuated || agent.target?.dataCentre !== dataCentre) continue
      free += Math.max(0, agent.free.cpu)
      total += agent.target.capacity.cpu
    }
    const fraction = total === 0 ? 0 : free / total
    this.#freeFractions.set(dataCentre, fraction)
    return fraction
  }
}
