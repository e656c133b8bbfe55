/**
 * Worker stand-in that checks fencing tokens and run numbers and holds one lease for all of its
 * runs. It performs no I/O and reads no clock: the caller passes the time of the worker's clock.
 * Orders may arrive late or twice.
 */

/** How a run behaves once it has started. */
export interface RunPlan {
  /** Run time in milliseconds at rate 1, the rate of a healthy worker. */
  duration: number
  fails: boolean
}

/** Order to start a run. */
export interface StartOrder {
  task: string
  run: number
  token: number
  /** Until when the lease is extended, in milliseconds of the worker's clock. */
  deadline: number
  /** CPU that the run occupies, in thousandths of a core. */
  cpu: number
}

/**
 * `started`, or why the start is rejected: `fence` for an outdated fencing token, `late` for a
 * deadline that has passed, `old` for a run number that is not above the latest one or a task that
 * is running, `room` for too little free capacity.
 */
export type StartResult = 'started' | 'fence' | 'old' | 'late' | 'room'

/** A run in progress. Times are in milliseconds of the worker's clock. */
export interface WorkerRun {
  task: string
  run: number
  cpu: number
  startedAt: number
  plan: RunPlan
  /** Work done up to `workDoneAt`, in milliseconds at rate 1. After that the current rate applies. */
  workDone: number
  workDoneAt: number
}

/** The end of a run, reported on each poll until it is acknowledged. */
export interface RunEnd {
  /** Sequence number, which polls acknowledge. */
  number: number
  task: string
  run: number
  how: 'done' | 'failed' | 'stopped' | 'lapsed'
}

/** Answer to a poll. */
export interface PollResult {
  /** The fencing token is outdated; the lists are then empty. */
  fenced: boolean
  running: Array<{ task: string, run: number, percent: number }>
  ended: RunEnd[]
}

/** Options of a {@link LeasedWorker}. */
export interface LeasedWorkerOptions {
  /** CPU capacity in thousandths of a core. */
  cpu: number
  /** Maximum lease that the worker grants, in milliseconds. */
  longestLease: number
  /** Whether the worker rejects starts above its capacity; otherwise it accepts every start. @default true */
  rejectsOverload?: boolean
  plan: (task: string) => RunPlan
  /** Called at each end of a run, with the time of the worker's clock at which the run ended. */
  ended?: (run: WorkerRun, how: RunEnd['how'], at: number) => void
}

const WHOLE_PERCENT = 100

/** Runs tasks in simulated time under one lease, and ends all of them when the lease expires. */
export class LeasedWorker {
  readonly #options: LeasedWorkerOptions
  readonly #running = new Map<string, WorkerRun>()
  /** Highest run number of each task that ended or was stopped on this worker. */
  readonly #closed = new Map<string, number>()
  /** Ends that no poll has acknowledged yet. */
  #ends: RunEnd[] = []
  /** Sequence number of the latest end. */
  #number = 0
  /** Highest fencing token received. */
  #token = 0
  /** When the lease expires. */
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

  /**
   * Starts a run. An order that repeats the run in progress is confirmed again.
   *
   * @param clock time of the worker's clock in milliseconds, here and in the other methods
   */
  start (order: StartOrder, clock: number): StartResult {
    this.advance(clock)
    if (order.token < this.#token) return 'fence'
    this.#token = order.token
    if (order.deadline <= clock) return 'late'
    this.#extendLease(order.deadline, clock)
    const present = this.#running.get(order.task)
    if (present?.run === order.run) return 'started'
    if (present !== undefined || order.run <= (this.#closed.get(order.task) ?? 0)) return 'old'
    if (this.#options.rejectsOverload !== false && this.used + order.cpu > this.#cpu) return 'room'
    this.#running.set(order.task, { task: order.task, run: order.run, cpu: order.cpu, startedAt: clock, plan: this.#options.plan(order.task), workDone: 0, workDoneAt: clock })
    return 'started'
  }

  /** Changes the CPU capacity. Runs in progress continue even when they exceed it. */
  setCapacity (cpu: number): void {
    this.#cpu = cpu
  }

  /** CPU that all runs occupy together, in thousandths of a core. */
  get used (): number {
    return this.running.reduce((sum, { cpu }) => sum + cpu, 0)
  }

  /** Stops a run and rejects later starts up to its number. Returns whether the fencing token was accepted. */
  stop (task: string, run: number, token: number, clock: number): boolean {
    this.advance(clock)
    if (token < this.#token) return false
    this.#token = token
    const present = this.#running.get(task)
    if (present !== undefined && present.run <= run) this.#end(present, 'stopped', clock)
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0))
    return true
  }

  /** Extends the lease, drops the ends that are acknowledged, and returns the runs and the remaining ends. */
  poll (token: number, deadline: number | undefined, acknowledged: number, clock: number): PollResult {
    this.advance(clock)
    if (token < this.#token) return { fenced: true, running: [], ended: [] }
    this.#token = token
    if (deadline !== undefined) this.#extendLease(deadline, clock)
    this.#ends = this.#ends.filter(({ number }) => number > acknowledged)
    const running = this.running.map(run => {
      const percent = Math.min(WHOLE_PERCENT - 1, Math.floor(this.#workDoneBy(run, clock) * WHOLE_PERCENT / run.plan.duration))
      return { task: run.task, run: run.run, percent }
    })
    return { fenced: false, running, ended: [...this.#ends] }
  }

  /** Ends the runs that finish by the given time, and all runs when the lease has expired. */
  advance (clock: number): void {
    for (const run of this.running) {
      const end = this.#endTime(run)
      if (end <= Math.min(clock, this.#deadline)) this.#end(run, run.plan.fails ? 'failed' : 'done', end)
    }
    if (clock >= this.#deadline) for (const run of this.running) this.#end(run, 'lapsed', this.#deadline)
  }

  /** Sets the rate of all runs from now on: 1 is that of a healthy worker, 0 stops all progress. */
  setRate (rate: number, clock: number): void {
    this.advance(clock)
    for (const run of this.running) {
      run.workDone = this.#workDoneBy(run, clock)
      run.workDoneAt = clock
    }
    this.#rate = rate
  }

  /** When the next run ends if nothing changes, in the worker's clock; `Infinity` when nothing runs. */
  nextEnd (): number {
    const running = this.running
    return running.length === 0 ? Infinity : Math.min(this.#deadline, ...running.map(run => this.#endTime(run)))
  }

  /** Whether there are ends after the given sequence number. */
  hasUnacknowledgedEnds (acknowledged: number): boolean {
    return this.#ends.some(({ number }) => number > acknowledged)
  }

  #endTime ({ workDone, workDoneAt, plan }: WorkerRun): number {
    return this.#rate === 0 ? Infinity : workDoneAt + (plan.duration - workDone) / this.#rate
  }

  #workDoneBy ({ workDone, workDoneAt }: WorkerRun, clock: number): number {
    return workDone + (clock - workDoneAt) * this.#rate
  }

  #extendLease (deadline: number, clock: number): void {
    this.#deadline = Math.max(this.#deadline, Math.min(deadline, clock + this.#options.longestLease))
  }

  #end (run: WorkerRun, how: RunEnd['how'], at: number): void {
    this.#running.delete(run.task)
    this.#closed.set(run.task, Math.max(run.run, this.#closed.get(run.task) ?? 0))
    this.#number += 1
    this.#ends.push({ number: this.#number, task: run.task, run: run.run, how })
    this.#options.ended?.(run, how, at)
  }
}
