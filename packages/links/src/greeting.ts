/** The first message of each end of a link: who it is. */

/** What a process does. */
export enum PeerRole {
  Entry = 'entry',
  Agent = 'agent'
}

export interface Greeting {
  role: PeerRole
  /** Stable name of the process. */
  name: string
  /** This run of it. */
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

/** Whether a connection can be tried there, `host:port`. To a port that is no number it throws, which would end the process; port 0 stands for no listener. */
export function isAddress (value: unknown): value is string {
  const port = typeof value === 'string' ? Number(ADDRESS_PATTERN.exec(value)?.[1]) : -1
  return port >= 0 && port <= MAX_PORT
}
