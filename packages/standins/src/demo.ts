/**
 * The demo: a complete system of separate processes serves several hundred jobs while an entry and
 * an agent are killed and a provider's share is changed. The result is audited from the records of
 * the targets. Exits with 0 when jobs completed, no job was lost, no task started twice and no
 * "not run" was wrong. `--seed` selects another load.
 */
import { writeFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'

import type { AuditReport } from './audit.ts'
import { audit, isClean } from './audit.ts'
import { Caller } from './caller.ts'
import { fetchSettledRecords } from './fetchrecords.ts'
import type { Daemon } from './fleet.ts'
import { Fleet } from './fleet.ts'
import { planLoad, runLoad } from './load.ts'
import { summarise } from './loadsummary.ts'
import type { TargetRecords } from './records.ts'
import { waitFor } from './wait.ts'

const ENTRIES = 3
const AGENTS = 6
const SLOTS = 8
const LOAD = { rate: 20, seconds: 22, scale: 0.5 }
const PROGRESS_INTERVAL = 2_000
const READY_TIMEOUT = 10_000
const READY_POLL = 50
const FAULT_LINES = 20

/** Time within which an accepted configuration takes effect everywhere, in milliseconds. */
const SHARES_PROPAGATION_TIME = 4_000

const INITIAL_SHARES = { 'provider-a': 60, 'provider-b': 40 }
const LATER_SHARES = { 'provider-a': 20, 'provider-b': 80 }

/** Events during the load. Times are in milliseconds from its start. */
const EVENTS: ReadonlyArray<{ at: number, run: (demo: Demo) => Promise<void> }> = [
  { at: 5_000, run: demo => demo.killEntry(1) },
  { at: 8_000, run: demo => demo.restartEntry(1) },
  { at: 10_000, run: demo => demo.killAgent(2) },
  { at: 12_000, run: demo => demo.restartAgent(2) },
  { at: 15_000, run: demo => demo.apply(1, LATER_SHARES) }
]

/** The command-line tool failed to apply a configuration. */
class ApplyFailedError extends Error {
  readonly code = 'APPLY_FAILED'

  constructor (exitCode: number | null, log: readonly string[]) {
    super(`amaranthmast apply ended with ${exitCode}:\n${log.join('\n')}`)
    this.name = 'ApplyFailedError'
  }
}

class Demo {
  readonly fleet = new Fleet({
    programs: dirname(fileURLToPath(import.meta.url)),
    entries: ENTRIES,
    agents: AGENTS,
    slots: SLOTS
  })

  readonly #seed: number
  readonly #startedAt = performance.now()
  #sharesChangedAt = 0

  constructor (seed: number) {
    this.#seed = seed
  }

  async run (): Promise<AuditReport> {
    this.print(`starting the store, ${AGENTS} targets, ${AGENTS} agents and ${ENTRIES} entries`)
    await this.fleet.start()
    await this.apply(0, INITIAL_SHARES)
    await waitFor('all entries and agents to be ready', READY_TIMEOUT, READY_POLL, () => this.#allReady())
    const caller = new Caller({ entries: this.fleet.callersUrls })
    try {
      await caller.start()
      await this.#load(caller)
      return await this.#auditRun(caller)
    } finally {
      await caller.close()
    }
  }

  async apply (editedFrom: number, shares: Readonly<Record<string, number>>): Promise<void> {
    const file = join(this.fleet.folder, `configuration-${editedFrom}.json`)
    await writeFile(file, JSON.stringify(configurationDocument(editedFrom, shares), null, 2))
    const { code, log } = await this.fleet.run('amaranthmast', ['apply', file, '--store', this.fleet.storeUrl])
    if (code !== 0) throw new ApplyFailedError(code, log)
    this.#sharesChangedAt = Date.now()
    this.print(`applied shares ${JSON.stringify(shares)}`)
  }

  async killEntry (index: number): Promise<void> {
    await this.#kill(daemonAt(this.fleet.entries, index))
  }

  async restartEntry (index: number): Promise<void> {
    await this.#restart(daemonAt(this.fleet.entries, index))
  }

  async killAgent (index: number): Promise<void> {
    await this.#kill(daemonAt(this.fleet.agents, index))
  }

  async restartAgent (index: number): Promise<void> {
    await this.#restart(daemonAt(this.fleet.agents, index))
  }

  /** Prints a line with the elapsed time. */
  print (text: string): void {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(1).padStart(5)
    console.log(`${seconds} s  ${text}`)
  }

  async #kill (daemon: Daemon): Promise<void> {
    await this.fleet.killDaemon(daemon)
    this.print(`killed ${daemon.id} (kill -9)`)
  }

  async #restart (daemon: Daemon): Promise<void> {
    await this.fleet.startDaemon(daemon)
    this.print(`restarted ${daemon.id}`)
  }

  async #allReady (): Promise<boolean> {
    const daemons = [...this.fleet.entries, ...this.fleet.agents]
    const ready = await Promise.all(daemons.map(daemon => this.fleet.isReady(daemon)))
    return ready.every(Boolean)
  }

  async #load (caller: Caller): Promise<void> {
    const plan = planLoad({ ...LOAD, seed: this.#seed, prefix: 'demo' })
    const tasks = plan.reduce((sum, { submission }) => sum + submission.tasks.length, 0)
    this.print(`lodging ${plan.length} jobs of 1 to 140 tasks, ${tasks} tasks in all, over ${LOAD.seconds} s`)
    const progress = setInterval(() => this.#printProgress(caller), PROGRESS_INTERVAL)
    try {
      await Promise.all([runLoad(plan, caller), this.#runEvents()])
    } finally {
      clearInterval(progress)
    }
    this.#printProgress(caller)
  }

  async #runEvents (): Promise<void> {
    const startedAt = performance.now()
    for (const event of EVENTS) {
      await delay(Math.max(0, startedAt + event.at - performance.now()))
      await event.run(this)
    }
  }

  #printProgress (caller: Caller): void {
    const records = caller.records()
    const { answers, resubmissions } = summarise(records, AGENTS * SLOTS)
    const { none = 0, ...given } = answers
    const kinds = Object.entries(given).map(([kind, count]) => `${kind} ${count}`).join(', ')
    this.print(`lodged ${records.length}, open ${none}, ${kinds}; sent again ${resubmissions}; ` +
      `entries ready ${caller.readyEntries().length}/${ENTRIES}`)
  }

  async #auditRun (caller: Caller): Promise<AuditReport> {
    const targets = await fetchSettledRecords(this.fleet.targetUrls)
    this.#printShares(targets)
    const { ratio, responseMilliseconds } = summarise(caller.records(), AGENTS * SLOTS)
    this.print(`response time p50 ${responseMilliseconds.p50} ms, p99 ${responseMilliseconds.p99} ms; ` +
      `over the ideal p50 ${ratio.p50}, p99 ${ratio.p99}`)
    return audit(caller.records(), targets)
  }

  #printShares (targets: readonly TargetRecords[]): void {
    const propagatedAt = this.#sharesChangedAt + SHARES_PROPAGATION_TIME
    const before = this.#firstProviderPercent(targets, 0, this.#sharesChangedAt)
    const after = this.#firstProviderPercent(targets, propagatedAt, Infinity)
    this.print(`provider-a ran ${before}% of the starts before the change of shares, ${after}% from 4 s after it`)
  }

  #firstProviderPercent (targets: readonly TargetRecords[], from: number, to: number): number {
    const firstProvider = new Set(this.fleet.targets.filter(({ provider }) => provider === 'provider-a').map(({ id }) => id))
    const starts = targets.flatMap(({ records }) => records).filter(({ startedAt }) => startedAt >= from && startedAt < to)
    const ofFirst = starts.filter(({ target }) => firstProvider.has(target))
    return Math.round(100 * ofFirst.length / Math.max(1, starts.length))
  }
}

function configurationDocument (editedFrom: number, shares: Readonly<Record<string, number>>): object {
  return {
    editedFrom,
    services: { 'label-check': { shares }, certificate: { shares } },
    providers: { 'provider-a': { expectedTargets: AGENTS / 2 }, 'provider-b': { expectedTargets: AGENTS / 2 } },
    tenants: { magnolia: { weight: 1 }, vaalrand: { weight: 1 } }
  }
}

function daemonAt (daemons: readonly Daemon[], index: number): Daemon {
  const daemon = daemons[index]
  if (daemon === undefined) throw new RangeError(`no daemon at ${index}`)
  return daemon
}

function printVerdict (demo: Demo, report: AuditReport): boolean {
  for (const fault of report.faults.slice(0, FAULT_LINES)) demo.print(fault)
  const { refusedButRan, ...counts } = report.counts
  if (refusedButRan > 0) demo.print(`${refusedButRan} jobs were refused as not run and had run`)
  if (counts.complete === 0) demo.print('no job was completed')
  console.log(JSON.stringify(counts))
  return isClean(report) && counts.complete > 0
}

function printLogs (demo: Demo): void {
  for (const daemon of [...demo.fleet.entries, ...demo.fleet.agents]) {
    console.error(`--- ${daemon.id}`)
    console.error(daemon.process?.log.slice(-FAULT_LINES).join('\n'))
  }
}

async function main (): Promise<number> {
  const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } })
  const demo = new Demo(Number(values.seed))
  let report: AuditReport | undefined
  try {
    report = await demo.run()
  } catch (error) {
    console.error(error)
    printLogs(demo)
  }
  const killed = await demo.fleet.stop()
  if (killed.length > 0) demo.print(`had to be killed: ${killed.join(', ')}`)
  demo.print('stopped all')
  return report !== undefined && printVerdict(demo, report) ? 0 : 1
}

process.exit(await main())
