/** Health and readiness endpoints for balancers and supervisors. */
import type { ServerResponse } from 'node:http'

/** State that the endpoints report. */
export interface HealthCheck {
  /** Whether new work may be sent here. */
  ready: () => boolean
  /** Lifecycle state of the daemon, as text. */
  state: () => string
}

const HEALTHY = 200
const NOT_READY = 503

const STATUS_BY_PATH: Record<string, (check: HealthCheck) => number> = {
  '/healthz': () => HEALTHY,
  '/readyz': check => check.ready() ? HEALTHY : NOT_READY
}

/**
 * Answers `/healthz` (the process runs) and `/readyz` (new work may be sent here).
 *
 * @returns false when the path is neither
 */
export function respondToHealth (path: string, check: HealthCheck, response: ServerResponse): boolean {
  const statusOf = STATUS_BY_PATH[path]
  if (statusOf === undefined) return false
  response.writeHead(statusOf(check), { 'content-type': 'application/json' })
  response.end(JSON.stringify({ state: check.state() }))
  return true
}
