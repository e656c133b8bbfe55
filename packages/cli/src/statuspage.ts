/** Status page of a daemon and the client that fetches it. */
import type { TargetDescription, View } from '@amaranthmast/coordination/messages'
import { request } from 'undici'
import { STATUS_TIMEOUT_MILLISECONDS } from './defaults.ts'

/** Number of samples and quantiles of one measure, in milliseconds; of `ratio` without a unit. */
export interface Quantiles {
  count: number
  p50: number
  p99: number
}

/** Measures of the jobs of one tenant and service at one entry. */
export interface WorkClass {
  tenant: string
  service: string
  measures: { wait?: Quantiles, run?: Quantiles, whole?: Quantiles, ratio?: Quantiles }
}

/** Agent as reported by an entry. */
export interface AgentSummary {
  instance: string
  target: string
  provider: string
  connected: boolean
}

/** Response to `/status`. Fields that a role or a version of the daemon does not have are empty. */
export interface StatusPage {
  instance: string
  role: string
  state: string
  dataCentre: string
  view: View
  configurationVersion: number
  /** Linked instances that have not reported this version or a later one; empty at an agent. */
  configurationBehind: string[]
  /** Agents known to an entry; empty at an agent. */
  agents: AgentSummary[]
  /** The target beside an agent; undefined at an entry. */
  target: TargetDescription | undefined
  scheduler: {
    queued: number
    outstanding: number
    /** By service, then provider: tasks dispatched since the entry started. */
    dispatched: Record<string, Record<string, number>>
    /** Health by target, from 0 (ejected) to 1 (fully trusted). */
    health: Record<string, number>
  }
  classes: WorkClass[]
  /** Number of tasks running at an agent. */
  running: number
}

const EMPTY_PAGE: StatusPage = {
  instance: '',
  role: '',
  state: 'unknown',
  dataCentre: '',
  view: { version: 0, members: [], fenced: [] },
  configurationVersion: 0,
  configurationBehind: [],
  agents: [],
  target: undefined,
  scheduler: { queued: 0, outstanding: 0, dispatched: {}, health: {} },
  classes: [],
  running: 0
}

/** Outcome of querying one daemon. */
export type StatusResponse =
  | { url: string, page: StatusPage }
  /** The daemon did not answer, or not with a status page; `reason` states which. */
  | { url: string, page: undefined, reason: string }

/** Fetches a page from a status port; never rejects. */
export type StatusClient = (url: string, path: '/status' | '/metrics') => Promise<{ text: string } | { failure: string }>

/** Fetches a page over HTTP. */
export async function requestPage (url: string, path: '/status' | '/metrics'): Promise<{ text: string } | { failure: string }> {
  try {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MILLISECONDS)
    const { statusCode, body } = await request(new URL(path, url), { signal })
    const text = await body.text()
    return statusCode === 200 ? { text } : { failure: `status ${statusCode}` }
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException
    return { failure: typeof code === 'string' ? code : message }
  }
}

/** Fetches the status page of one daemon. */
export async function requestStatus (client: StatusClient, url: string): Promise<StatusResponse> {
  const answer = await client(url, '/status')
  if ('failure' in answer) return { url, page: undefined, reason: answer.failure }
  const page = parseStatusPage(answer.text)
  return page === undefined ? { url, page, reason: 'not a status page' } : { url, page }
}

/** Parses a status page; undefined if the text is not one. Missing fields are empty. */
export function parseStatusPage (text: string): StatusPage | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<StatusPage> | null
    if (typeof parsed?.instance !== 'string') return undefined
    return { ...EMPTY_PAGE, ...parsed, scheduler: { ...EMPTY_PAGE.scheduler, ...parsed.scheduler } }
  } catch {
    return undefined
  }
}
