/** Documents in the form in which the platform's operator and clients write them. */

/** Name, host and path prefix of a route. */
export interface WireRouteOptions {
  name: string
  host: string
  prefix: string
}

/** A configuration whose routes all lead to the service `checks`, with the values of the users' sites. */
export function operatorConfiguration (version: number, routes: readonly WireRouteOptions[]): string {
  return JSON.stringify({
    version,
    routes: routes.map(route => ({ ...route, kind: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 60, priority: 0, service: 'checks', max_attempts: 3, slack_factor: 1.6 })),
    services: [{ name: 'checks', health_path: '/health', max_connections: 64, protocol: 'h1', tls: false, rejects_overload: true, spare: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
  })
}

/** A best-effort job of one step whose tasks occupy two cores each. `estimated` is in milliseconds. */
export function clientJob (count: number, estimated: number, extra: object = {}): string {
  return JSON.stringify({ spec: 'text', best_effort: true, steps: [{ count, cpu: 2000, mem_mb: 64, estimated_ms: estimated }], ...extra })
}
