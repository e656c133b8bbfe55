/** Finds the jobs that were late, refused or failed, with time and cause, in the decision logs of the entries. */
import type { LogLine } from './logline.ts'
import { jobOf, processOf } from './logline.ts'

/** Reason of a job that an entry gives up for crashes under one of its tasks. It says more than how these starts ended. */
const BLOCKED_REASON = 'taskCrashes'

/** How a job was lost for its caller. */
export enum Loss {
  Late = 'late',
  Refused = 'refused',
  Failed = 'failed',
  /** The job's entry ended, or the job's end is not in the logs. */
  Unfinished = 'unfinished'
}

/** Cause of a late job when the entry's log contains no other cause. */
export enum LossCause {
  /** The job waited for free capacity before its first task was placed. */
  WaitedForCapacity = 'waitedForRoom',
  /** There was no capacity for some of its tasks when the first ones were placed. */
  TasksUnplaced = 'tasksLeftOver',
  /** No failure is recorded: the job ran longer than expected. */
  RanLong = 'ranLong'
}

export interface LostJob {
  job: string
  queue: string
  loss: Loss
  /** A cause from the entry's log, or a `LossCause`. */
  cause: string
  /** Time at which the job was accepted, in milliseconds since 1970. */
  at: number
  entry: string
  /** Agents at which starts of its tasks failed. */
  agents: string[]
}

/** State of a job whose end has not been read yet. */
interface OpenJob {
  at: number
  queue: string
  entry: string
  hadUnplacedTasks: boolean
  /** Number of failed starts, by cause. */
  troubles: Map<string, number>
  agents: Set<string>
}

/** Maximum number of open jobs. Beyond it the oldest is counted as unfinished, so that memory is bounded whatever the logs contain. */
const MAX_OPEN_JOBS = 100_000

/** Maximum wait for capacity that is not considered the cause of a late job, in milliseconds. */
const MAX_HARMLESS_WAIT_MILLISECONDS = 20

type Handler = (line: LogLine, job: string) => void

/** Consumes log lines one by one and reports each lost job. */
export class LossCollector {
  readonly #open = new Map<string, OpenJob>()
  readonly #onLoss: (lost: LostJob) => void
  /** Number of jobs that ended in time. */
  inTime = 0

  readonly #handlers: Readonly<Record<string, Handler>> = {
    'job taken': (line, job) => this.#taken(line, job),
    'tasks placed': ({ fields }, job) => {
      const open = this.#open.get(job)
      if (open !== undefined && Number(fields['left']) > 0) open.hadUnplacedTasks = true
    },
    'task to be placed again': ({ fields }, job) => {
      const open = this.#open.get(job)
      if (open === undefined) return
      const cause = String(fields['cause'] || fields['outcome'])
      open.troubles.set(cause, (open.troubles.get(cause) ?? 0) + 1)
      if (typeof fields['agent'] === 'string') open.agents.add(fields['agent'])
    },
    'job refused': (line, job) => this.#report(line, job, undefined, Loss.Refused, String(line.fields['reason'])),
    'job ended': (line, job) => this.#ended(line, job)
  }

  /** @param onLoss called for each lost job */
  constructor (onLoss: (lost: LostJob) => void) {
    this.#onLoss = onLoss
  }

  add (line: LogLine): void {
    const job = jobOf(line)
    if (job !== '') this.#handlers[line.what]?.(line, job)
  }

  /** Must be called after the last line: reports all jobs that have not ended as unfinished. */
  finish (): void {
    for (const [job, open] of this.#open) this.#unfinished(job, open)
    this.#open.clear()
  }

  #taken (line: LogLine, job: string): void {
    const earlier = this.#open.get(job)
    if (earlier !== undefined) this.#unfinished(job, earlier)
    this.#open.delete(job)
    this.#open.set(job, { at: line.at, queue: String(line.fields['queue']), entry: processOf(line), hadUnplacedTasks: false, troubles: new Map(), agents: new Set() })
    if (this.#open.size <= MAX_OPEN_JOBS) return
    const [oldest] = this.#open
    if (oldest === undefined) return
    this.#unfinished(...oldest)
    this.#open.delete(oldest[0])
  }

  #ended (line: LogLine, job: string): void {
    const { kind, reason, age, objective, waited } = line.fields
    const open = this.#open.get(job)
    this.#open.delete(job)
    if (kind === 'refused') return this.#report(line, job, open, Loss.Refused, String(reason))
    if (kind === 'failed' || kind === 'timedOut') return this.#report(line, job, open, Loss.Failed, reason === BLOCKED_REASON ? reason : mostFrequentFailure(open) ?? String(reason))
    if (kind !== 'completed') return
    if (typeof age !== 'number' || typeof objective !== 'number' || age <= objective) {
      this.inTime += 1
      return
    }
    this.#report(line, job, open, Loss.Late, mostFrequentFailure(open) ?? lateCause(open, Number(waited)))
  }

  #unfinished (job: string, { at, queue, entry, agents, troubles }: OpenJob): void {
    this.#onLoss({ job, queue, loss: Loss.Unfinished, cause: [...troubles.keys()][0] ?? 'noEnd', at, entry, agents: [...agents] })
  }

  #report (line: LogLine, job: string, open: OpenJob | undefined, loss: Loss, cause: string): void {
    this.#onLoss({ job, queue: String(line.fields['queue']), loss, cause, at: open?.at ?? line.at, entry: processOf(line), agents: [...open?.agents ?? []] })
  }
}

/** Returns the most frequent cause of failed starts. Full targets are left out, as they cost only a few milliseconds. */
function mostFrequentFailure (open: OpenJob | undefined): string | undefined {
  const troubles = [...open?.troubles ?? []].filter(([cause]) => cause !== 'full').sort((one, other) => other[1] - one[1])
  return troubles[0]?.[0]
}

function lateCause (open: OpenJob | undefined, waited: number): LossCause {
  if (waited > MAX_HARMLESS_WAIT_MILLISECONDS) return LossCause.WaitedForCapacity
  return open?.hadUnplacedTasks === true ? LossCause.TasksUnplaced : LossCause.RanLong
}
