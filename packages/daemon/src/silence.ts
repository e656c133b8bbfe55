/** How long a link may be silent. */
import type { Timings } from '@amaranthmast/coordination/defaults'
import { SILENCE_HEARTBEATS, SILENCE_MILLISECONDS } from './defaults.ts'

/** Silence in milliseconds after which a link counts as lost: several heartbeats, however rare they are set. */
export function silenceOf ({ heartbeat }: Timings): number {
  return Math.max(SILENCE_MILLISECONDS, SILENCE_HEARTBEATS * heartbeat)
}
