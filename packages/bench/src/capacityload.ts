/** A steady load of equal jobs, so that its cost can be divided by jobs and by tasks. */
import { setTimeout as delay } from 'node:timers/promises'

import { Agent, request } from 'undici'

/** Options of a {@link SteadyLoad}. */
export interface SteadyLoadOptions {
  entries: readonly string[]
  jobsPerSecond: number
  tasksPerJob: number
  /** Run time of each task, in milliseconds. */
  runMilliseconds: number
  /** Jobs are dealt to these in turn. */
  tenants: readonly string[]
  service: string
  /** Start of the job ids. */
  prefix: string
}

const STEP_MILLISECONDS = 10
const DEADLINE_MILLISECONDS = 30_000
const CONNECTIONS = 256
const STATUS_OK = 200

/** Lodges jobs at their times, whether or not earlier ones are answered. */
export class SteadyLoad {
  readonly #options: SteadyLoadOptions
  readonly #dispatcher = new Agent({ connections: CONNECTIONS })
  readonly #open = new Set<Promise<void>>()
  #lodged = 0
  #complete = 0
  #other = 0
  #lastFailure = ''
  #stopped = false
  #running: Promise<void> = Promise.resolve()

  constructor (options: SteadyLoadOptions) {
    this.#options = options
  }

  /** Jobs lodged so far. */
  get lodged (): number {
    return this.#lodged
  }

  /** Jobs answered as complete so far. */
  get complete (): number {
    return this.#complete
  }

  /** Jobs that ended in any other way so far. */
  get other (): number {
    return this.#other
  }

  /** What the latest job that did not end as complete was told; empty when there was none. */
  get lastFailure (): string {
    return this.#lastFailure
  }

  start (): void {
    this.#running = this.#run()
  }

  /** Lodges nothing more. Resolves when every job has been answered. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#running
    await Promise.all(this.#open)
    await this.#dispatcher.close()
  }

  async #run (): Promise<void> {
    const startedAt = performance.now()
    while (!this.#stopped) {
      const due = Math.floor((performance.now() - startedAt) / 1000 * this.#options.jobsPerSecond)
      while (this.#lodged < due) this.#lodge(this.#lodged++)
      await delay(STEP_MILLISECONDS)
    }
  }

  #lodge (number: number): void {
    const answered = this.#submit(number).then(complete => {
      if (complete) this.#complete++
      else this.#other++
      this.#open.delete(answered)
    })
    this.#open.add(answered)
  }

  async #submit (number: number): Promise<boolean> {
    const { entries, tenants, service, prefix, tasksPerJob, runMilliseconds } = this.#options
    const task = { payload: { runMilliseconds }, runMilliseconds }
    const body = {
      job: `${prefix}-${number}`,
      tenant: tenants[number % tenants.length],
      service,
      // The entries have been restarted at once: what is not repeatable would count as lodged before.
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
