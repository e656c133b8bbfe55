/** How a daemon ends: by itself, by signals, by its time limit, or by an internal error. */
import { expect } from 'earl'
import { test } from 'node:test'
import { pino } from 'pino'
import type { Daemon } from '../src/environment.ts'
import { runUntilStopped } from '../src/supervise.ts'

const SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Longer than any of these tests. */
const NO_LIMIT = 60_000

const cases = [
  { name: 'a daemon that has completed its stop exits with code 0', run: async () => {}, signals: 0, limit: NO_LIMIT, code: 0, logged: ['ended'], stops: 0 },
  { name: 'a signal begins a planned stop, and the daemon exits with code 0 when it is complete', signals: 1, limit: NO_LIMIT, code: 0, logged: ['planned stop ordered', 'ended'], stops: 1 },
  {
    name: 'a second signal ends a planned stop that hangs, and the unfinished work is logged',
    hangs: true,
    signals: 2,
    limit: NO_LIMIT,
    code: 1,
    logged: ['planned stop ordered', 'planned stop cut short, work is left', 'ended'],
    stops: 1
  },
  {
    name: 'the time limit ends a planned stop that hangs, and the unfinished work is logged',
    hangs: true,
    signals: 1,
    limit: 1,
    code: 1,
    logged: ['planned stop ordered', 'planned stop cut short, work is left', 'ended'],
    stops: 1
  },
  {
    name: 'an internal error ends the daemon',
    run: async () => { throw new Error('broken') },
    signals: 0,
    limit: NO_LIMIT,
    code: 1,
    logged: ['unexpected error: please report this line', 'ended'],
    stops: 0
  }
]

for (const { name, run, hangs, signals, limit, code, logged, stops } of cases) {
  test(name, async context => {
    const before = new Set(SIGNALS.flatMap(signal => process.listeners(signal)))
    const lines: Array<{ msg: string, calls?: number }> = []
    const log = pino({}, { write: line => { lines.push(JSON.parse(line)) } })
    const seen = { stops: 0, closed: 0 }
    let finish = (): void => {}
    const daemon: Daemon = {
      run: run ?? (() => new Promise(resolve => { finish = resolve })),
      stop: () => {
        seen.stops += 1
        if (hangs !== true) finish()
      },
      unfinished: () => ({ calls: 3 }),
      close: async () => { seen.closed += 1 }
    }
    const ended = runUntilStopped(daemon, log, limit)
    // The handlers are called directly: a real signal would reach the test runner as well.
    const added = process.listeners('SIGTERM').filter(listener => !before.has(listener))
    context.after(() => forgetListeners(before))
    for (let sent = 0; sent < signals; sent += 1) added.forEach(listener => listener('SIGTERM'))
    expect([await ended, lines.map(({ msg }) => msg), seen]).toEqual([code, logged, { stops, closed: 1 }])
    expect(lines.find(({ msg }) => msg.includes('cut short'))?.calls).toEqual(hangs === true ? 3 : undefined)
  })
}

function forgetListeners (kept: ReadonlySet<NodeJS.SignalsListener>): void {
  for (const signal of SIGNALS) {
    for (const listener of process.listeners(signal)) if (!kept.has(listener)) process.off(signal, listener)
  }
}
