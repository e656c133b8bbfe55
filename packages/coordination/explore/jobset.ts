/**
 * The jobs that a schedule submits. They are generated at random, and keep the statements of their first
 * submission.
 */
import type { Job } from '../src/messages.ts'
import type { Schedule } from './schedule.ts'
import type { World } from './world.ts'
import { SERVICE, TENANT } from './names.ts'
import { pick } from './processpicker.ts'

const JOBS = 6
const MAX_RUN_MILLISECONDS = 900
const MAX_DEADLINE = 7000
const MIN_DEADLINE = 800

export class JobSet {
  readonly #world: World
  readonly #schedule: Schedule
  readonly #jobs: Job[] = []
  readonly #submitted = new Map<string, Job>()
  #scenarioJobs = 0

  constructor (world: World, schedule: Schedule) {
    this.#world = world
    this.#schedule = schedule
    for (let number = 1; number <= JOBS; number++) this.#jobs.push(this.newJob(`job-${number}`))
  }

  job (number: number): Job {
    return this.#jobs[number % JOBS] as Job
  }

  submittedJob (number: number): Job | undefined {
    return pick([...this.#submitted.values()], number)
  }

  /** Returns a job with the same id and other content. */
  other (job: Job | undefined): Job | undefined {
    if (job === undefined) return undefined
    return { ...job, digest: `${job.digest} otherwise` }
  }

  /** Creates a separate job for a scenario, so that no earlier step has affected it. */
  scenarioJob (): Job {
    this.#scenarioJobs += 1
    return this.newJob(`trap-${this.#scenarioJobs}`)
  }

  newJob (name: string): Job {
    const { chance } = this.#world
    const tasks = Array.from({ length: chance.whole(1, 3) }, () => ({
      payload: new Uint8Array(),
      runMilliseconds: Math.round(chance.between(10, MAX_RUN_MILLISECONDS)),
      needs: { accelerators: 0, memoryMegabytes: 0 }
    }))
    return {
      key: `${TENANT}/${name}`,
      tenant: TENANT,
      service: SERVICE,
      digest: `digest of ${name}`,
      repeatable: chance.happens(0.25),
      remainingMilliseconds: Math.round(chance.between(MIN_DEADLINE, MAX_DEADLINE)),
      lodgedAt: 0,
      tasks
    }
  }

  /**
   * Returns the job as submitted first. The first submission states its time if this caller states one, and
   * later submissions repeat it.
   */
  firstSubmission (job: Job): Job {
    const known = this.#submitted.get(job.key)
    if (known !== undefined) return { ...known, digest: job.digest }
    const statesTime = this.#schedule.shortRetention || this.#world.chance.happens(0.5)
    const submitted = { ...job, lodgedAt: statesTime ? this.#world.wallNow() : 0, repeatable: job.repeatable && !this.#schedule.shortRetention }
    this.#submitted.set(job.key, submitted)
    return submitted
  }

  /** The job as it was first submitted, or unchanged if it was not submitted yet. */
  asSubmitted (job: Job): Job {
    return this.#submitted.get(job.key) ?? job
  }
}
