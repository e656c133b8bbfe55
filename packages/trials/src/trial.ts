/**
 * A trial: a small system of real processes that is disturbed by signals, cut links and faults of
 * the store, and judged by the targets' own records against what callers were told.
 */
import type { View } from '@amaranthmast/coordination/messages'
import { ownerOf } from '@amaranthmast/coordination/rendezvous'
import { idOf, liveMembers } from '@amaranthmast/coordination/view'
import type { AuditReport } from '@amaranthmast/standins/audit'
import { audit } from '@amaranthmast/standins/audit'
import { Caller } from '@amaranthmast/standins/caller'
import { fetchRecords, fetchSettledRecords } from '@amaranthmast/standins/fetchrecords'
import type { Daemon, FleetOptions } from '@amaranthmast/standins/fleet'
import { Fleet } from '@amaranthmast/standins/fleet'
import type { KeyValueFaults } from '@amaranthmast/standins/keyvaluefaults'
import type { LoadOptions } from '@amaranthmast/standins/load'
import { planLoad, runLoad } from '@amaranthmast/standins/load'
import type { AnswerBody, JobRecord, StartRecord } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'
import { waitFor } from '@amaranthmast/standins/wait'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { request } from 'undici'

import { DirectedCaller } from './client.ts'
import { LOAD_PATIENCE, NAMES_TRIED, PATIENCE, POLL, PROGRAMS, SLOTS, SUSPECT } from './defaults.ts'
import { TENANT } from './jobs.ts'

/** Options of a trial, beside those of its fleet. */
export interface TrialOptions extends Partial<FleetOptions> {
  /** Shares of the first configuration, by provider. @default { 'provider-a': 60, 'provider-b': 40 } */
  shares?: Readonly<Record<string, number>>
}

/** What a trial reads of a daemon's status page. */
export interface DaemonStatus {
  state: string
  instance: string
  view: View
  configurationVersion: number
  openJobs: number
  agents: ReadonlyArray<{ connected: boolean }>
  waiting: number
  horizon: number
  running: number
  queued: number
  scheduler: { queued: number, outstanding: number }
}

/** The operators' file with the given shares for every service. */
export function configurationFile (editedFrom: number, shares: Readonly<Record<string, number>>): object {
  return {
    editedFrom,
    services: { 'label-check': { shares }, certificate: { shares } },
    providers: Object.fromEntries(Object.keys(shares).map(provider => [provider, { expectedTargets: 1 }])),
    tenants: { magnolia: {}, [TENANT]: {} }
  }
}

/** A system under trial. */
export class Trial {
  readonly fleet: Fleet
  readonly caller = new DirectedCaller()
  readonly #loads: Caller[] = []

  private constructor (fleet: Fleet) {
    this.fleet = fleet
  }

  /** Starts 3 entries and 3 agents, unless told otherwise, and waits until all are ready for work. */
  static async begin ({ shares = { 'provider-a': 60, 'provider-b': 40 }, timings = {}, ...options }: TrialOptions = {}): Promise<Trial> {
    const trial = new Trial(new Fleet({
      programs: PROGRAMS,
      entries: 3,
      agents: 3,
      slots: SLOTS,
      timings: { suspect: SUSPECT, ...timings },
      ...options
    }))
    try {
      await trial.fleet.start()
      await trial.apply(0, shares)
      await trial.#untilAllRun()
      await trial.untilReady()
      await trial.untilConfigured(1)
      await trial.untilConnected()
    } catch (error) {
      await trial.end()
      throw error
    }
    return trial
  }

  /** Kills what still runs and removes the files. */
  async end (): Promise<void> {
    await this.#keepLogs()
    await Promise.all(this.daemons.map(daemon => daemon.process?.kill()))
    await Promise.all([this.caller.close(), ...this.#loads.map(load => load.close())])
    await this.fleet.stop()
  }

  /** Entry by number, from 1. */
  entry (number: number): Daemon {
    return at(this.fleet.entries, number)
  }

  /** Agent by number, from 1. */
  agent (number: number): Daemon {
    return at(this.fleet.agents, number)
  }

  get daemons (): Daemon[] {
    return [...this.fleet.entries, ...this.fleet.agents]
  }

  /** Applies a configuration by the tool; throws with the tool's lines when it is refused. */
  async apply (editedFrom: number, shares: Readonly<Record<string, number>>): Promise<void> {
    const file = join(this.fleet.folder, `configuration-${editedFrom}.json`)
    await writeFile(file, JSON.stringify(configurationFile(editedFrom, shares)))
    await this.tool('apply', file)
  }

  /** Runs the tool against the store; throws with its lines unless it ends with 0. */
  async tool (...words: string[]): Promise<void> {
    const { code, log } = await this.fleet.run('amaranthmast', [...words, '--store', this.fleet.storeUrl])
    if (code !== 0) throw new Error(`amaranthmast ${words.join(' ')} ended with ${code}:\n${log.join('\n')}`)
  }

  /** Waits until every daemon that runs says that it is ready. */
  async untilReady (daemons = this.daemons.filter(daemon => daemon.process?.isRunning)): Promise<void> {
    await this.until(`${daemons.map(({ id }) => id).join(', ')} to be ready`, async () => {
      const ready = await Promise.all(daemons.map(daemon => this.fleet.isReady(daemon)))
      return ready.every(Boolean)
    })
  }

  /** Waits until every daemon that runs has at least this version in force. */
  async untilConfigured (version: number, daemons = this.daemons.filter(daemon => daemon.process?.isRunning)): Promise<void> {
    await this.until(`version ${version} on every instance`, async () => {
      const pages = await Promise.all(daemons.map(daemon => this.status(daemon)))
      return pages.every(page => page.configurationVersion >= version)
    })
  }

  /** Waits until every entry that runs has a link to every agent that runs. */
  async untilConnected (): Promise<void> {
    const entries = this.fleet.entries.filter(entry => entry.process?.isRunning)
    const agents = this.fleet.agents.filter(agent => agent.process?.isRunning)
    await this.until('every entry to know every agent', async () => {
      const pages = await Promise.all(entries.map(entry => this.status(entry)))
      return pages.every(page => page.agents.filter(({ connected }) => connected).length >= agents.length)
    })
  }

  /** Waits until an entry sees exactly these entries as members. */
  async untilMembers (seenBy: Daemon, members: readonly Daemon[]): Promise<void> {
    const wanted = members.map(({ id }) => id).sort().join()
    await this.until(`${seenBy.id} to see ${wanted}`, async () => {
      const { view } = await this.status(seenBy)
      return liveMembers(view).map(({ instance }) => idOf(instance)).sort().join() === wanted
    })
  }

  /** Waits for something, with a bound that only a broken system reaches. */
  until (what: string, isTrue: () => Promise<boolean> | boolean): Promise<void> {
    return waitFor(what, PATIENCE, POLL, isTrue)
  }

  async status (daemon: Daemon): Promise<DaemonStatus> {
    const response = await request(`${daemon.statusUrl}/status`)
    return await response.body.json() as DaemonStatus
  }

  /** Job ids that the given entry owns in its own view. */
  async idsOwnedBy (entry: Daemon, count: number, prefix: string): Promise<string[]> {
    const { view, instance } = await this.status(entry)
    const members = liveMembers(view)
    const names = Array.from({ length: NAMES_TRIED }, (_, number) => `${prefix}-${number}`)
    return names.filter(name => ownerOf(`${TENANT}/${name}`, members) === instance).slice(0, count)
  }

  /** Starts of a job so far, over all targets. */
  starts (job: string): Promise<StartRecord[]> {
    return this.startsOf([job])
  }

  /** Starts of some jobs so far, over all targets. */
  async startsOf (jobs: readonly string[]): Promise<StartRecord[]> {
    const targets = await fetchRecords(this.fleet.targetUrls)
    return targets.flatMap(({ records }) => records).filter(record => jobs.includes(record.job))
  }

  /** Waits until so many tasks of a job have started; throws at once when the job is answered with fewer. */
  async untilStarted (job: string, tasks = 1): Promise<void> {
    const final = (): AnswerBody | undefined => this.records.find(({ submission }) => submission.job === job)?.final
    await this.until(`${tasks} starts of ${job}`, async () => (await this.starts(job)).length >= tasks || final() !== undefined)
    const started = (await this.starts(job)).length
    if (started < tasks) throw new Error(`${job} had ${started} starts and was answered ${JSON.stringify(final())}`)
  }

  /** Runs a load through a balancer, in which callers submit lost jobs again elsewhere. Resolves when all are answered. */
  async load (options: LoadOptions): Promise<void> {
    const caller = new Caller({ entries: this.fleet.callersUrls, submissionTimeout: LOAD_PATIENCE })
    this.#loads.push(caller)
    await caller.start()
    await runLoad(planLoad(options), caller)
  }

  /** Every job of the trial, directed or of a load. */
  get records (): JobRecord[] {
    return [...this.caller.records, ...this.#loads.flatMap(load => load.records())]
  }

  /** Jobs whose final answer is not a complete one, for a person. */
  notComplete (): string[] {
    return this.records.filter(({ final }) => final?.kind !== AnswerKind.Complete).map(({ submission, final }) => {
      return `${submission.job}: ${final?.kind} ${final?.cause} ${final?.detail}`
    })
  }

  /** Judges the whole trial once the targets have come to rest. */
  async judge (): Promise<AuditReport> {
    return audit(this.records, await fetchSettledRecords(this.fleet.targetUrls))
  }

  /** Changes faults of the store, by its control port. */
  async storeFaults (faults: Partial<KeyValueFaults>): Promise<void> {
    const line = this.fleet.store?.log.find(text => text.startsWith('{"listening"')) ?? '{}'
    const { control } = JSON.parse(line) as { control?: number }
    const response = await request(`http://127.0.0.1:${control}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
    await response.body.dump()
  }

  /**
   * Starts again what ended before all were ready, as the platform does: on a machine that is busy with
   * other tests, an entry may be so slow at first that the others remove it.
   */
  async #untilAllRun (): Promise<void> {
    await this.until('all entries to be members', async () => {
      const ended = this.daemons.filter(daemon => daemon.process?.isRunning !== true)
      await Promise.all(ended.map(daemon => this.fleet.startDaemon(daemon)))
      const { view } = await this.status(this.entry(1))
      return ended.length === 0 && liveMembers(view).length === this.fleet.entries.length
    })
  }

  /** For a person who looks into a failure: writes the records and the daemons' last lines to the folder that the environment names. */
  async #keepLogs (): Promise<void> {
    const folder = process.env.AMARANTHMAST_TRIAL_LOGS
    if (folder === undefined) return
    const name = this.fleet.folder.slice(-6)
    await writeFile(join(folder, `${name}-records.json`), JSON.stringify(this.records))
    await writeFile(join(folder, `${name}-starts.json`), JSON.stringify(await fetchRecords(this.fleet.targetUrls).catch(() => [])))
    for (const { id, process: launched, earlierLogs } of this.daemons) {
      await writeFile(join(folder, `${name}-${id}.log`), [...earlierLogs.flat(), ...launched?.log ?? []].join('\n'))
    }
  }
}

function at (daemons: readonly Daemon[], number: number): Daemon {
  const daemon = daemons[number - 1]
  if (daemon === undefined) throw new RangeError(`there is no daemon ${number}`)
  return daemon
}
