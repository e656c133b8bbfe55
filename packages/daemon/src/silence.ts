/** How long a link may be silent. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import { LINK_TIMEOUT_HEARTBEATS, MIN_LINK_TIMEOUT_MILLISECONDS } from './defaults.ts'

/** Silence in milliseconds after which a link counts as lost: several heartbeats, however rare they are set. */
export function linkTimeout ({ heartbeat }: Timings): number {
  return Math.max(MIN_LINK_TIMEOUT_MILLISECONDS, LINK_TIMEOUT_HEARTBEATS * heartbeat)
}
