/** Runs a daemon until it is stopped by a signal or fails with an internal error. */
import { setTimeout as pause } from 'node:timers/promises'
import { MAX_STOP_MILLISECONDS } from './defaults.ts'
import type { Daemon } from './environment.ts'
import type { Logger } from './log.ts'

const SIGNALS: NodeJS.Signals[] = ['SIGTERM', 'SIGINT']

/** Why a daemon ended. */
enum End {
  /** A planned stop was completed. */
  Stopped = 'stopped',
  /** A second signal was received, or a planned stop took too long. */
  CutShort = 'cutShort',
  Fault = 'fault'
}

const EXIT_CODES: Record<End, number> = { [End.Stopped]: 0, [End.CutShort]: 1, [End.Fault]: 1 }

/**
 * Runs a daemon. The first signal begins a planned stop; a second one, or the time limit, ends the
 * process and logs the unfinished work.
 *
 * @param stopLimit maximum duration of a planned stop in milliseconds
 * @returns exit code of the process
 */
export async function runUntilStopped (daemon: Daemon, log: Logger, stopLimit = MAX_STOP_MILLISECONDS): Promise<number> {
  const cutShort = new Promise<End>(resolve => onSignals(daemon, log, stopLimit, resolve))
  const end = await Promise.race([runToEnd(daemon, log), cutShort])
  if (end === End.CutShort) log.warn(daemon.unfinished(), 'planned stop cut short, work is left')
  await daemon.close()
  log.info({ end }, 'ended')
  return EXIT_CODES[end]
}

async function runToEnd (daemon: Daemon, log: Logger): Promise<End> {
  try {
    await daemon.run()
    return End.Stopped
  } catch (error) {
    log.fatal({ err: error }, 'unexpected error: please report this line')
    return End.Fault
  }
}

function onSignals (daemon: Daemon, log: Logger, stopLimit: number, cutShort: (end: End) => void): void {
  let stopping = false
  for (const signal of SIGNALS) {
    process.on(signal, () => {
      if (stopping) return cutShort(End.CutShort)
      stopping = true
      log.info({ signal }, 'planned stop ordered')
      daemon.stop()
      pause(stopLimit, undefined, { ref: false }).then(() => cutShort(End.CutShort))
    })
  }
}
