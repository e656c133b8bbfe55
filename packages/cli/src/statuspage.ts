/** What a daemon's status port says, and how it is asked. */
import type { TargetDescription, View } from '@amaranthmast/coordination/messages'
import { request } from 'undici'
import { STATUS_TIMEOUT_MILLISECONDS } from './defaults.ts'

/** Quantiles of one measure, in milliseconds. */
export interface Figures {
  count: number
  p50: number
  p99: number
}

/** Figures of the work of one tenant for one service at one entry. */
export interface WorkClass {
  tenant: string
  service: string
  measures: { wait?: Figures, run?: Figures, whole?: Figures, ratio?: Figures }
}

/** An agent as an entry sees it. */
export interface AgentLine {
  instance: string
  target: string
  provider: string
  connected: boolean
}

/** Answer to `/status`. What a role or a version of the daemon does not have is empty. */
export interface StatusPage {
  instance: string
  role: string
  state: string
  dataCentre: string
  view: View
  configurationVersion: number
  /** Linked instances that have not stated this version or a later one; empty at an agent. */
  configurationBehind: string[]
  /** Agents that an entry knows; empty at an agent. */
  agents: AgentLine[]
  /** The target beside an agent; undefined at an entry. */
  target: TargetDescription | undefined
  scheduler: {
    queued: number
    outstanding: number
    /** By service, then provider: tasks dispatched since the entry started. */
    dispatched: Record<string, Record<string, number>>
    /** By target: 0 when ejected, 1 when fully trusted. */
    health: Record<string, number>
  }
  classes: WorkClass[]
  /** Tasks running at an agent. */
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

/** One daemon that was asked. */
export type Asked =
  | { url: string, page: StatusPage }
  /** It did not answer, or not with a status; `reason` says which. */
  | { url: string, page: undefined, reason: string }

/** Asks a status port for a page; never rejects. */
export type StatusClient = (url: string, path: '/status' | '/metrics') => Promise<{ text: string } | { failure: string }>

/** Asks over HTTP. */
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

/** Asks one daemon for its status. */
export async function askStatus (client: StatusClient, url: string): Promise<Asked> {
  const answer = await client(url, '/status')
  if ('failure' in answer) return { url, page: undefined, reason: answer.failure }
  const page = parseStatusPage(answer.text)
  return page === undefined ? { url, page, reason: 'not a status page' } : { url, page }
}

/** Reads a status page; undefined when the text is none. Fields that are missing are empty. */
export function parseStatusPage (text: string): StatusPage | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<StatusPage> | null
    if (typeof parsed?.instance !== 'string') return undefined
    return { ...EMPTY_PAGE, ...parsed, scheduler: { ...EMPTY_PAGE.scheduler, ...parsed.scheduler } }
  } catch {
    return undefined
  }
}
