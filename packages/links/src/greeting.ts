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
    typeof name === 'string' && typeof incarnation === 'string' && typeof address === 'string'
}
