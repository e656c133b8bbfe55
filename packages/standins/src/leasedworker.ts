/**
 * Stand-in of a worker that guards itself by fencing tokens, run numbers and one lease for all that
 * it runs. Pure: it is handed its own clock, and orders may reach it late or twice.
 */

/** What the worker does with a run once it has begun. */
export interface RunPlan {
  /** Work in milliseconds at the rate 1, at which a sound worker works. */
  duration: number
  fails: boolean
}

export interface StartOrder {
  task: string
  run: number
  token: number
  /** On the worker's clock. */
  deadline: number
  cpu: number
}

export type StartResult = 'started' | 'fence' | 'old' | 'late' | 'room'

export interface WorkerRun {
  task: string
  run: number
  cpu: number
  startedAt: number
  plan: RunPlan
  /** Work done until `workedAt`; from then on it goes on at the present rate. */
  worked: number
  workedAt: number
}

export interface WorkerEnd {
  number: number
  task: string
  run: number
  how: 'done' | 'failed' | 'stopped' | 'lapsed'
}

export interface PollResult {
  fenced: boolean
  running: Array<{ task: string, run: number, percent: number }>
  ended: WorkerEnd[]
}

export interface LeasedWorkerOptions {
  cpu: number
  /** Longest lease that it grants, in milliseconds. */
  longestLease: number
  /** Whether it refuses what does not fit; else it starts whatever it is told to. @default true */
  rejectsOverload?: boolean
  plan: (task: string) => RunPlan
  /** Hears of each end, with the reading of the worker's clock at which the run ended. */
  ended?: (run: WorkerRun, how: WorkerEnd['how'], at: number) => void
}

const WHOLE_PERCENT = 100

export class LeasedWorker {
  readonly #options: LeasedWorkerOptions
  readonly #running = new Map<string, WorkerRun>()
  /** Highest run of each task that ended or was stopped here. */
  readonly #closed = new Map<string, number>()
  #ends: WorkerEnd[] = []
  #number = 0
  #token = 0
  #deadline = 0
  #rate = 1
  #cpu: number

  constructor (options: LeasedWorkerOptions) {
    this.#options = options
    this.#cpu = options.cpu
  }

  get running (): readonly WorkerRun[] {
    return [...this.#running.values()]
  }

  /** @param clock the worker's own clock in milliseconds, here and below */
  start (order: StartOrder, clock: number): StartResult {
    this.advance(clock)
    if (order.token < this.#token) return 'fence'
    this.#token = order.token
    if (order.deadline <= clock) return 'late'
    this.#extend(order.deadline, clock)
    const present = this.#running.get(order.task)
    if (present?.run === order.run) return 'started'
    if (present !== undefined || order.run <= (this.#closed.get(order.task) ?? 0)) return 'old'
    if (this.#options.rejectsOverload !== false && this.used + order.cpu > this.#cpu) return 'room'
    this.#running.set(order.task, { task: order.task, run: order.run, cpu: order.cpu, startedAt: clock, plan: this.#options.plan(order.task), worked: 0, workedAt: clock })
    return 'started'
  }

  /** What runs goes on, however little is left. */
  setCapacity (cpu: number): void {
    this.#cpu = cpu
  }

  /** Thousandths of a core that all its runs hold. */
  get used (): number {
    return this.running.reduce((sum, { cpu }) => sum + cpu, 0)
  }

  /** Tells whether the token was accepted. */
  stop (task: string, run: number, token: number, clock: number): boolean {
    this.advance(clock)
    if (token < this.#token) return false
    this.#token = token
    const present = this.#running.get(task)
    if (present !== undefined && present.run <= run) this.#end(present, 'stopped', clock)
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0))
    return true
  }

  poll (token: number, deadline: number | undefined, acknowledged: number, clock: number): PollResult {
    this.advance(clock)
    if (token < this.#token) return { fenced: true, running: [], ended: [] }
    this.#token = token
    if (deadline !== undefined) this.#extend(deadline, clock)
    this.#ends = this.#ends.filter(({ number }) => number > acknowledged)
    const running = this.running.map(run => {
      const percent = Math.min(WHOLE_PERCENT - 1, Math.floor(this.#workedBy(run, clock) * WHOLE_PERCENT / run.plan.duration))
      return { task: run.task, run: run.run, percent }
    })
    return { fenced: false, running, ended: [...this.#ends] }
  }

  /** Ends what has ended by the given time, and everything when the lease has lapsed. */
  advance (clock: number): void {
    for (const run of this.running) {
      const end = this.#endOf(run)
      if (end <= Math.min(clock, this.#deadline)) this.#end(run, run.plan.fails ? 'failed' : 'done', end)
    }
    if (clock >= this.#deadline) for (const run of this.running) this.#end(run, 'lapsed', this.#deadline)
  }

  /** From now on everything works at this rate: 1 is sound, 0 stands still. */
  setRate (rate: number, clock: number): void {
    this.advance(clock)
    for (const run of this.running) {
      run.worked = this.#workedBy(run, clock)
      run.workedAt = clock
    }
    this.#rate = rate
  }

  /** When the next run ends if nothing changes, on the worker's clock; infinite while nothing runs. */
  nextEnd (): number {
    const running = this.running
    return running.length === 0 ? Infinity : Math.min(this.#deadline, ...running.map(run => this.#endOf(run)))
  }

  /** Whether ends wait to be acknowledged. */
  hasEnds (acknowledged: number): boolean {
    return this.#ends.some(({ number }) => number > acknowledged)
  }

  #endOf ({ worked, workedAt, plan }: WorkerRun): number {
    return this.#rate === 0 ? Infinity : workedAt + (plan.duration - worked) / this.#rate
  }

  #workedBy ({ worked, workedAt }: WorkerRun, clock: number): number {
    return worked + (clock - workedAt) * this.#rate
  }

  #extend (deadline: number, clock: number): void {
    this.#deadline = Math.max(this.#deadline, Math.min(deadline, clock + this.#options.longestLease))
  }

  #end (run: WorkerRun, how: WorkerEnd['how'], at: number): void {
    this.#running.delete(run.task)
    this.#closed.set(run.task, Math.max(run.run, this.#closed.get(run.task) ?? 0))
    this.#number += 1
    this.#ends.push({ number: this.#number, task: run.task, run: run.run, how })
    this.#options.ended?.(run, how, at)
  }
}
