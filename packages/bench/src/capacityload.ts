/** A steady load of identical jobs, so that its cost can be divided by jobs and by tasks. */
import { setTimeout as delay } from 'node:timers/promises'

import { Agent, request } from 'undici'

/** Options of a {@link SteadyLoad}. */
export interface SteadyLoadOptions {
  entries: readonly string[]
  jobsPerSecond: number
  tasksPerJob: number
  /** Run time of each task, in milliseconds. */
  runMilliseconds: number
  /** Tenants of the jobs, assigned round-robin. */
  tenants: readonly string[]
  service: string
  /** Prefix of the job ids. */
  prefix: string
}

const SUBMIT_INTERVAL_MILLISECONDS = 10
const DEADLINE_MILLISECONDS = 30_000
const CONNECTIONS = 256
const STATUS_OK = 200

/** Submits jobs at a fixed rate, whether or not earlier ones are complete. */
export class SteadyLoad {
  readonly #options: SteadyLoadOptions
  readonly #dispatcher = new Agent({ connections: CONNECTIONS })
  readonly #pending = new Set<Promise<void>>()
  #submitted = 0
  #completed = 0
  #incomplete = 0
  #lastFailure = ''
  #stopped = false
  #running: Promise<void> = Promise.resolve()

  constructor (options: SteadyLoadOptions) {
    this.#options = options
  }

  /** Number of jobs submitted so far. */
  get submitted (): number {
    return this.#submitted
  }

  /** Number of jobs completed so far. */
  get complete (): number {
    return this.#completed
  }

  /** Number of jobs that ended in any other way so far. */
  get other (): number {
    return this.#incomplete
  }

  /** Response or error of the latest job that did not complete; empty when there is none. */
  get lastFailure (): string {
    return this.#lastFailure
  }

  /** Starts submitting jobs. */
  start (): void {
    this.#running = this.#run()
  }

  /** Stops submitting jobs. Resolves when every submitted job has been answered. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#running
    await Promise.all(this.#pending)
    await this.#dispatcher.close()
  }

  async #run (): Promise<void> {
    const startedAt = performance.now()
    while (!this.#stopped) {
      const dueCount = Math.floor((performance.now() - startedAt) / 1000 * this.#options.jobsPerSecond)
      while (this.#submitted < dueCount) this.#submitJob(this.#submitted++)
      await delay(SUBMIT_INTERVAL_MILLISECONDS)
    }
  }

  #submitJob (number: number): void {
    const pending = this.#postJob(number).then(complete => {
      if (complete) this.#completed++
      else this.#incomplete++
      this.#pending.delete(pending)
    })
    this.#pending.add(pending)
  }

  async #postJob (number: number): Promise<boolean> {
    const { entries, tenants, service, prefix, tasksPerJob, runMilliseconds } = this.#options
    const task = { payload: { runMilliseconds }, runMilliseconds }
    const body = {
      job: `${prefix}-${number}`,
      tenant: tenants[number % tenants.length],
      service,
      // The entries have just been restarted. They answer jobs that are not repeatable with "may have
      // run", because the previous incarnations may have accepted them.
      repeatable: true,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      tasks: Array.from({ length: tasksPerJob }, () => task)
    }
    try {
      const response = await request(`${entries[number % entries.length]}/v1/jobs`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        dispatcher: this.#dispatcher
      })
      const answer = await response.body.text()
      if (response.statusCode !== STATUS_OK) this.#lastFailure = answer
      return response.statusCode === STATUS_OK
    } catch (error) {
      this.#lastFailure = String(error)
      return false
    }
  }
}
