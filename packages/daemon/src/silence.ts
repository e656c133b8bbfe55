/** Timeout of links without traffic. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import { LINK_TIMEOUT_HEARTBEATS, MIN_LINK_TIMEOUT_MILLISECONDS } from './defaults.ts'

/** Returns the time without receipt after which a link counts as lost, in milliseconds: several heartbeats, also when they are configured to be rare. */
export function linkTimeout ({ heartbeat }: Timings): number {
  return Math.max(MIN_LINK_TIMEOUT_MILLISECONDS, LINK_TIMEOUT_HEARTBEATS * heartbeat)
}
