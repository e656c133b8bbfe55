/** What a task needs and a target has. */

export interface Resources {
  /** Thousandths of a core. */
  cpu: number
  /** Megabytes. */
  memory: number
  accelerators: number
}

export const NO_RESOURCES: Readonly<Resources> = { cpu: 0, memory: 0, accelerators: 0 }

export function fits (needs: Resources, room: Resources): boolean {
  return needs.cpu <= room.cpu && needs.memory <= room.memory && needs.accelerators <= room.accelerators
}

/** Adds `amount` to `sum` in place. */
export function addTo (sum: Resources, amount: Resources): void {
  sum.cpu += amount.cpu
  sum.memory += amount.memory
  sum.accelerators += amount.accelerators
}

/** Takes `amount` from `sum` in place. */
export function takeFrom (sum: Resources, amount: Resources): void {
  sum.cpu -= amount.cpu
  sum.memory -= amount.memory
  sum.accelerators -= amount.accelerators
}

/** The larger of each. */
export function mostOf (one: Resources, other: Resources): Resources {
  return {
    cpu: Math.max(one.cpu, other.cpu),
    memory: Math.max(one.memory, other.memory),
    accelerators: Math.max(one.accelerators, other.accelerators)
  }
}
