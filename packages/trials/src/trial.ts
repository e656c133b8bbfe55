/**
 * A trial: a small fleet of real processes, run under signals, cut links and store faults. The audit
 * compares the targets' own records with the answers that callers received.
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
import { LOAD_SUBMISSION_TIMEOUT, MAX_CANDIDATE_IDS, POLL_INTERVAL, PROGRAMS, SLOTS, SUSPECT_TIMEOUT, WAIT_TIMEOUT } from './defaults.ts'
import { TENANT } from './jobs.ts'

/** Options of a trial, in addition to those of its fleet. */
export interface TrialOptions extends Partial<FleetOptions> {
  /** Shares in the initial configuration, by provider. @default { 'provider-a': 60, 'provider-b': 40 } */
  shares?: Readonly<Record<string, number>>
}

/** The fields of a daemon's status page that trials read. */
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

/** Contents of a configuration file with the given shares for every service, edited from the version `editedFrom`. */
export function configurationFile (editedFrom: number, shares: Readonly<Record<string, number>>): object {
  return {
    editedFrom,
    services: { 'label-check': { shares }, certificate: { shares } },
    providers: Object.fromEntries(Object.keys(shares).map(provider => [provider, { expectedTargets: 1 }])),
    tenants: { magnolia: {}, [TENANT]: {} }
  }
}

/** A running fleet with its callers, and helpers to disturb it and to wait for its state. */
export class Trial {
  readonly fleet: Fleet
  readonly caller = new DirectedCaller()
  readonly #loads: Caller[] = []

  private constructor (fleet: Fleet) {
    this.fleet = fleet
  }

  /** Starts a fleet, by default 3 entries and 3 agents, and waits until all of them accept work. */
  static async begin ({ shares = { 'provider-a': 60, 'provider-b': 40 }, timings = {}, ...options }: TrialOptions = {}): Promise<Trial> {
    const trial = new Trial(new Fleet({
      programs: PROGRAMS,
      entries: 3,
      agents: 3,
      slots: SLOTS,
      timings: { suspect: SUSPECT_TIMEOUT, ...timings },
      ...options
    }))
    try {
      await trial.fleet.start()
      await trial.apply(0, shares)
      await trial.#waitUntilAllJoined()
      await trial.waitUntilReady()
      await trial.waitUntilConfigured(1)
      await trial.waitUntilConnected()
    } catch (error) {
      await trial.end()
      throw error
    }
    return trial
  }

  /** Kills the processes that still run and removes the fleet's files. */
  async end (): Promise<void> {
    await this.#saveLogs()
    await Promise.all(this.daemons.map(daemon => daemon.process?.kill()))
    await Promise.all([this.caller.close(), ...this.#loads.map(load => load.close())])
    await this.fleet.stop()
  }

  /** Returns an entry by its number, from 1. */
  entry (number: number): Daemon {
    return daemonAt(this.fleet.entries, number)
  }

  /** Returns an agent by its number, from 1. */
  agent (number: number): Daemon {
    return daemonAt(this.fleet.agents, number)
  }

  /** All entries, then all agents. */
  get daemons (): Daemon[] {
    return [...this.fleet.entries, ...this.fleet.agents]
  }

  /** Applies a configuration with the `amaranthmast` tool. Throws with the tool's output if it is refused. */
  async apply (editedFrom: number, shares: Readonly<Record<string, number>>): Promise<void> {
    const file = join(this.fleet.folder, `configuration-${editedFrom}.json`)
    await writeFile(file, JSON.stringify(configurationFile(editedFrom, shares)))
    await this.tool('apply', file)
  }

  /** Runs the `amaranthmast` tool against the store. Throws with its output unless it exits with 0. */
  async tool (...args: string[]): Promise<void> {
    const { code, log } = await this.fleet.run('amaranthmast', [...args, '--store', this.fleet.storeUrl])
    if (code !== 0) throw new Error(`amaranthmast ${args.join(' ')} exited with code ${code}:\n${log.join('\n')}`)
  }

  /** Waits until the given daemons, by default all that run, report that they are ready. */
  async waitUntilReady (daemons = this.daemons.filter(daemon => daemon.process?.isRunning)): Promise<void> {
    await this.waitUntil(`${daemons.map(({ id }) => id).join(', ')} to be ready`, async () => {
      const ready = await Promise.all(daemons.map(daemon => this.fleet.isReady(daemon)))
      return ready.every(Boolean)
    })
  }

  /** Waits until the given daemons, by default all that run, have applied at least this version of the configuration. */
  async waitUntilConfigured (version: number, daemons = this.daemons.filter(daemon => daemon.process?.isRunning)): Promise<void> {
    await this.waitUntil(`version ${version} on every instance`, async () => {
      const pages = await Promise.all(daemons.map(daemon => this.status(daemon)))
      return pages.every(page => page.configurationVersion >= version)
    })
  }

  /** Waits until every running entry is connected to every running agent. */
  async waitUntilConnected (): Promise<void> {
    const entries = this.fleet.entries.filter(entry => entry.process?.isRunning)
    const agents = this.fleet.agents.filter(agent => agent.process?.isRunning)
    await this.waitUntil('every entry to be connected to every agent', async () => {
      const pages = await Promise.all(entries.map(entry => this.status(entry)))
      return pages.every(page => page.agents.filter(({ connected }) => connected).length >= agents.length)
    })
  }

  /** Waits until the live members in an entry's view are exactly the given entries. */
  async waitUntilMembers (seenBy: Daemon, members: readonly Daemon[]): Promise<void> {
    const expected = members.map(({ id }) => id).sort().join()
    await this.waitUntil(`the view of ${seenBy.id} to be ${expected}`, async () => {
      const { view } = await this.status(seenBy)
      return liveMembers(view).map(({ instance }) => idOf(instance)).sort().join() === expected
    })
  }

  /** Polls a condition. Throws after `WAIT_TIMEOUT`, which only a broken system reaches. */
  waitUntil (what: string, isTrue: () => Promise<boolean> | boolean): Promise<void> {
    return waitFor(what, WAIT_TIMEOUT, POLL_INTERVAL, isTrue)
  }

  /** Fetches a daemon's status page. */
  async status (daemon: Daemon): Promise<DaemonStatus> {
    const response = await request(`${daemon.statusUrl}/status`)
    return await response.body.json() as DaemonStatus
  }

  /**
   * Generates job ids that the given entry owns according to its own view.
   *
   * @param count how many ids to return at most
   */
  async idsOwnedBy (entry: Daemon, count: number, prefix: string): Promise<string[]> {
    const { view, instance } = await this.status(entry)
    const liveEntries = liveMembers(view)
    const candidates = Array.from({ length: MAX_CANDIDATE_IDS }, (_, number) => `${prefix}-${number}`)
    return candidates.filter(name => ownerOf(`${TENANT}/${name}`, liveEntries) === instance).slice(0, count)
  }

  /** Fetches the starts of a job so far, over all targets. */
  startsOfJob (job: string): Promise<StartRecord[]> {
    return this.startsOfJobs([job])
  }

  /** Fetches the starts of several jobs so far, over all targets. */
  async startsOfJobs (jobs: readonly string[]): Promise<StartRecord[]> {
    const targets = await fetchRecords(this.fleet.targetUrls)
    return targets.flatMap(({ records }) => records).filter(record => jobs.includes(record.job))
  }

  /** Waits until the given number of a job's tasks have started. Throws at once if the job is answered with fewer starts. */
  async waitUntilStarted (job: string, tasks = 1): Promise<void> {
    const final = (): AnswerBody | undefined => this.records.find(({ submission }) => submission.job === job)?.final
    await this.waitUntil(`${tasks} starts of ${job}`, async () => (await this.startsOfJob(job)).length >= tasks || final() !== undefined)
    const started = (await this.startsOfJob(job)).length
    if (started < tasks) throw new Error(`${job} had only ${started} starts when it was answered ${JSON.stringify(final())}`)
  }

  /** Runs a load through a load balancer. Callers resubmit unanswered jobs through another entry. Resolves when all are answered. */
  async load (options: LoadOptions): Promise<void> {
    const caller = new Caller({ entries: this.fleet.callersUrls, submissionTimeout: LOAD_SUBMISSION_TIMEOUT })
    this.#loads.push(caller)
    await caller.start()
    await runLoad(planLoad(options), caller)
  }

  /** Every job of the trial, submitted directly or by a load. */
  get records (): JobRecord[] {
    return [...this.caller.records, ...this.#loads.flatMap(load => load.records())]
  }

  /** One readable line for each job whose final answer is not complete. */
  notComplete (): string[] {
    return this.records.filter(({ final }) => final?.kind !== AnswerKind.Complete).map(({ submission, final }) => {
      return `${submission.job}: ${final?.kind} ${final?.cause} ${final?.detail}`
    })
  }

  /** Audits all jobs of the trial once no target runs a task any more. */
  async audit (): Promise<AuditReport> {
    return audit(this.records, await fetchSettledRecords(this.fleet.targetUrls))
  }

  /** Sets faults of the store through its control port. */
  async setStoreFaults (faults: Partial<KeyValueFaults>): Promise<void> {
    const line = this.fleet.store?.log.find(text => text.startsWith('{"listening"')) ?? '{}'
    const { control } = JSON.parse(line) as { control?: number }
    const response = await request(`http://127.0.0.1:${control}/standin/faults`, { method: 'POST', body: JSON.stringify(faults) })
    await response.body.dump()
  }

  /**
   * Waits until every entry is a member. Restarts daemons that exited before, as the platform does: on a machine
   * that is busy with other tests, an entry can start so slowly that the others remove it.
   */
  async #waitUntilAllJoined (): Promise<void> {
    await this.waitUntil('all entries to be members', async () => {
      const ended = this.daemons.filter(daemon => daemon.process?.isRunning !== true)
      await Promise.all(ended.map(daemon => this.fleet.startDaemon(daemon)))
      const { view } = await this.status(this.entry(1))
      return ended.length === 0 && liveMembers(view).length === this.fleet.entries.length
    })
  }

  /** Writes the records and the daemons' log lines to the folder in `AMARANTHMAST_TRIAL_LOGS`, if set, for analysis of a failure. */
  async #saveLogs (): Promise<void> {
    const folder = process.env.AMARANTHMAST_TRIAL_LOGS
    if (folder === undefined) return
    const name = this.fleet.folder.slice(-6)
    await writeFile(join(folder, `${name}-records.json`), JSON.stringify(this.records))
    await writeFile(join(folder, `${name}-starts.json`), JSON.stringify(await fetchRecords(this.fleet.targetUrls).catch(() => [])))
    for (const { id, process: launchedProcess, earlierLogs } of this.daemons) {
      await writeFile(join(folder, `${name}-${id}.log`), [...earlierLogs.flat(), ...launchedProcess?.log ?? []].join('\n'))
    }
  }
}

function daemonAt (daemons: readonly Daemon[], number: number): Daemon {
  const daemon = daemons[number - 1]
  if (daemon === undefined) throw new RangeError(`daemon ${number} does not exist`)
  return daemon
}
