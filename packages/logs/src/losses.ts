/** Which jobs were late, refused or failed, when, and for which cause, from the logs of the entries. */
import type { LogLine } from './logline.ts'
import { jobOf, processOf } from './logline.ts'

/** How a job was lost to its caller. */
export enum Loss {
  Late = 'late',
  Refused = 'refused',
  Failed = 'failed',
  /** Its entry ended, or its end is not in the logs. */
  Unfinished = 'unfinished'
}

/** What stands against a job that was not late for any other cause. */
export enum LossCause {
  /** It waited for room before its first task was placed. */
  WaitedForCapacity = 'waitedForRoom',
  /** Some of its tasks had no room when the first were placed. */
  TasksUnplaced = 'tasksLeftOver',
  /** Nothing went wrong: it ran longer than was expected of it. */
  RanLong = 'ranLong'
}

export interface LostJob {
  job: string
  queue: string
  loss: Loss
  /** A cause of the entry's log, or of `LossCause`. */
  cause: string
  /** Milliseconds since 1970 at which it was taken. */
  at: number
  entry: string
  /** Agents at which its tasks came to nothing. */
  agents: string[]
}

/** What is kept of a job until it ends. */
interface OpenJob {
  at: number
  queue: string
  entry: string
  hadUnplacedTasks: boolean
  /** Starts that came to nothing, by cause. */
  troubles: Map<string, number>
  agents: Set<string>
}

/** Jobs kept at one time; the oldest are counted as unfinished beyond it, so that memory is bounded whatever the logs hold. */
const MAX_OPEN_JOBS = 100_000

/** A wait for room below this is not what made a job late, in milliseconds. */
const MAX_HARMLESS_WAIT_MILLISECONDS = 20

type Handler = (line: LogLine, job: string) => void

export class Losses {
  readonly #open = new Map<string, OpenJob>()
  readonly #onLoss: (lost: LostJob) => void
  /** Jobs that ended in time. */
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

  /** @param onLoss is told of each job that was lost */
  constructor (onLoss: (lost: LostJob) => void) {
    this.#onLoss = onLoss
  }

  add (line: LogLine): void {
    const job = jobOf(line)
    if (job !== '') this.#handlers[line.what]?.(line, job)
  }

  /** After the last line: what has not ended by then is unfinished. */
  finish (): void {
    for (const [job, open] of this.#open) this.#unfinished(job, open)
    this.#open.clear()
  }

  #taken (line: LogLine, job: string): void {
    const before = this.#open.get(job)
    if (before !== undefined) this.#unfinished(job, before)
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
    if (kind === 'failed' || kind === 'timedOut') return this.#report(line, job, open, Loss.Failed, mostFrequentFailure(open) ?? String(reason))
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

/** A target that was full costs a few milliseconds only, so any other trouble goes before it. */
function mostFrequentFailure (open: OpenJob | undefined): string | undefined {
  const troubles = [...open?.troubles ?? []].filter(([cause]) => cause !== 'full').sort((one, other) => other[1] - one[1])
  return troubles[0]?.[0]
}

function lateCause (open: OpenJob | undefined, waited: number): LossCause {
  if (waited > MAX_HARMLESS_WAIT_MILLISECONDS) return LossCause.WaitedForCapacity
  return open?.hadUnplacedTasks === true ? LossCause.TasksUnplaced : LossCause.RanLong
}
