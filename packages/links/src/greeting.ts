/** The first message of each end of a link, which identifies its process. */

/** Role of a process. */
export enum PeerRole {
  Entry = 'entry',
  Agent = 'agent'
}

export interface Greeting {
  role: PeerRole
  /** Stable name of the process. */
  name: string
  /** Incarnation of the process. */
  incarnation: string
  /** Address of its listener for links, `host:port`. */
  address: string
}

export function isGreeting (value: unknown): value is Greeting {
  if (typeof value !== 'object' || value === null) return false
  const { role, name, incarnation, address } = value as Partial<Greeting>
  return (role === PeerRole.Entry || role === PeerRole.Agent) &&
    typeof name === 'string' && typeof incarnation === 'string' && isAddress(address)
}

const ADDRESS_PATTERN = /^[^:]+:(\d{1,5})$/

const MAX_PORT = 65_535

/** Returns whether a value is a valid address, `host:port`. Connecting to a port that is not a number throws, which would end the process. Port 0 means that there is no listener. */
export function isAddress (value: unknown): value is string {
  const port = typeof value === 'string' ? Number(ADDRESS_PATTERN.exec(value)?.[1]) : -1
  return port >= 0 && port <= MAX_PORT
}
