/** The daemon's log: one JSON object per line on standard error, for changes of state only. */
import type { Instance } from '@amaranthmast/coordination/messages'
import type { LogLevel } from '@amaranthmast/settings/settingstypes'
import type { Logger } from 'pino'
import { destination, pino, stdTimeFunctions } from 'pino'

export type { Logger } from 'pino'

const STANDARD_ERROR = 2

/**
 * Opens the log. Lines are written synchronously: they are few, and the last one before a crash
 * must not be lost.
 */
export function openLog (level: LogLevel, instance: Instance): Logger {
  return pino({ level, base: { instance }, timestamp: stdTimeFunctions.isoTime }, destination({ dest: STANDARD_ERROR, sync: true }))
}
