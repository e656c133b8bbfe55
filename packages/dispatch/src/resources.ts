/** Resources that a task needs or a target has, and arithmetic on them. */

export interface Resources {
  /** Thousandths of a core. */
  cpu: number
  /** Megabytes. */
  memory: number
  accelerators: number
}

export const NO_RESOURCES: Readonly<Resources> = { cpu: 0, memory: 0, accelerators: 0 }

export function fits (needs: Resources, free: Resources): boolean {
  return needs.cpu <= free.cpu && needs.memory <= free.memory && needs.accelerators <= free.accelerators
}

/** Adds `amount` to `sum` in place. */
export function addTo (sum: Resources, amount: Resources): void {
  sum.cpu += amount.cpu
  sum.memory += amount.memory
  sum.accelerators += amount.accelerators
}

/** Subtracts `amount` from `sum` in place. */
export function subtractFrom (sum: Resources, amount: Resources): void {
  sum.cpu -= amount.cpu
  sum.memory -= amount.memory
  sum.accelerators -= amount.accelerators
}

/** The larger amount of each resource. */
export function maxOf (one: Resources, other: Resources): Resources {
  return {
    cpu: Math.max(one.cpu, other.cpu),
    memory: Math.max(one.memory, other.memory),
    accelerators: Math.max(one.accelerators, other.accelerators)
  }
}
