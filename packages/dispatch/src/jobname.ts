/** Names of jobs across queues. Callers choose the ids, so that two queues may use the same one. */
import type { Queue } from './queues.ts'

/** A job that a caller names in a request or an entry in a message. */
export interface JobName {
  id: string
  /** Host and path at which callers address the job, without its query; empty in names of earlier builds. */
  address: string
}

/** Name of a job of a queue. */
export function nameOf (id: string, { host, prefix }: Pick<Queue, 'host' | 'prefix'>): JobName {
  return { id, address: addressOf(host, `${prefix}${id}`) }
}

export function addressOf (host: string, path: string): string {
  return `${host.toLowerCase()}${path}`
}

/** Whether a submission is the named job. A name of an earlier build has no address, and means the job of any queue. */
export function isNamed ({ id, queue }: { id: string, queue: Pick<Queue, 'host' | 'prefix'> }, name: JobName): boolean {
  return id === name.id && (name.address === '' || name.address === nameOf(id, queue).address)
}
