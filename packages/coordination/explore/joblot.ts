/** The jobs that a schedule submits: made at random, and lodged once with what each caller states. */
import type { Job } from '../src/messages.ts'
import type { Schedule } from './schedule.ts'
import type { World } from './world.ts'
import { SERVICE, TENANT } from './names.ts'
import { pick } from './picks.ts'

const JOBS = 6
const LONGEST_TASK = 900
const LONGEST_DEADLINE = 7000
const SHORTEST_DEADLINE = 800

export class JobLot {
  readonly #world: World
  readonly #schedule: Schedule
  readonly #jobs: Job[] = []
  readonly #lodged = new Map<string, Job>()
  #trapJobs = 0

  constructor (world: World, schedule: Schedule) {
    this.#world = world
    this.#schedule = schedule
    for (let number = 1; number <= JOBS; number++) this.#jobs.push(this.newJob(`job-${number}`))
  }

  job (number: number): Job {
    return this.#jobs[number % JOBS] as Job
  }

  lodgedJob (number: number): Job | undefined {
    return pick([...this.#lodged.values()], number)
  }

  /** The same job id with other content. */
  other (job: Job | undefined): Job | undefined {
    if (job === undefined) return undefined
    return { ...job, digest: `${job.digest} otherwise` }
  }

  /** A job of its own for a trap, so that no earlier step has spoilt it. */
  trapJob (): Job {
    this.#trapJobs += 1
    return this.newJob(`trap-${this.#trapJobs}`)
  }

  newJob (name: string): Job {
    const { chance } = this.#world
    const tasks = Array.from({ length: chance.whole(1, 3) }, () => ({
      payload: new Uint8Array(),
      runMilliseconds: Math.round(chance.between(10, LONGEST_TASK)),
      needs: { accelerators: 0, memoryMegabytes: 0 }
    }))
    return {
      key: `${TENANT}/${name}`,
      tenant: TENANT,
      service: SERVICE,
      digest: `digest of ${name}`,
      repeatable: chance.happens(0.25),
      remainingMilliseconds: Math.round(chance.between(SHORTEST_DEADLINE, LONGEST_DEADLINE)),
      lodgedAt: 0,
      tasks
    }
  }

  /** The first submission states when, if this caller states anything; later ones say the same. */
  lodge (job: Job): Job {
    const known = this.#lodged.get(job.key)
    if (known !== undefined) return { ...known, digest: job.digest }
    const states = this.#schedule.shortRetention || this.#world.chance.happens(0.5)
    const lodged = { ...job, lodgedAt: states ? this.#world.wallNow() : 0, repeatable: job.repeatable && !this.#schedule.shortRetention }
    this.#lodged.set(job.key, lodged)
    return lodged
  }

  /** The job as it was lodged, if it was. */
  asLodged (job: Job): Job {
    return this.#lodged.get(job.key) ?? job
  }
}
