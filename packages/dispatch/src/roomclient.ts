/** What this entry asks of those that give out the room: which job's tasks, of whom, and what became of it. */
import type { Fleet } from './fleet.ts'
import type { Job, Step, Task } from './job.ts'
import type { JobQueue } from './jobqueue.ts'
import type { RoomMessage, RoomStep } from './roommessages.ts'
import {
  ALLOCATOR_SILENCE_MILLISECONDS, ANSWER_PROBE_MILLISECONDS, ANSWER_TIME_RATE, FAR_ROOM_FACTOR,
  QUICK_ANSWER_MILLISECONDS, SLOW_ANSWER_MILLISECONDS
} from './defaults.ts'
import { HOLDER_SILENCE_MILLISECONDS, UNANSWERED_MILLISECONDS } from './partitiondefaults.ts'
import { latestEndOfStep, JobState } from './job.ts'
import { Isolation } from './messages.ts'
import { choosePartition, UNKNOWN_ROOM } from './partitionchoice.ts'

export interface RoomClientParts {
  fleet: Fleet
  /** Own jobs with tasks to place, by service. */
  queues: ReadonlyMap<string, JobQueue>
  /** The group that serves this entry first. */
  home: () => string
  /** The other entry that gives out the room of a group; undefined when none does, or this one. */
  allocatorOf: (group: string) => string | undefined
  linked: (peer: string) => boolean
  /** Whether an entry is in the data centre of this one. */
  near: (peer: string) => boolean
  /** Whether it answers requests, as far as known. */
  answers: (peer: string, now: number) => boolean
  /** Entries that hold a partition. */
  holders: () => readonly string[]
  tell: (peer: string, message: RoomMessage) => void
  note: (what: string, fields: Record<string, unknown>) => void
}

/** A request that has not been met in full. */
interface Asked {
  peer: string
  group: string
  /** Tasks that it asks for and that have no grant yet. */
  left: number
  /** It stays there until it is met. */
  waits: boolean
  at: number
  /** When the other entry last said that it stands there. */
  heardAt: number
  /** The other entry has said that it waits for room that others want as well. */
  crowded: boolean
}

const NOTHING_TRIED: ReadonlySet<string> = new Set()

export class RoomClient {
  readonly #parts: RoomClientParts
  /** Jobs to be asked for, some of them perhaps anew. */
  readonly #toAsk = new Set<Job>()
  readonly #asked = new Map<Job, Asked>()
  /** Groups that had no room for a job. */
  readonly #tried = new Map<Job, Set<string>>()
  /** Free processors of groups, as their allocators tell and less what was asked for since. */
  readonly #rooms = new Map<string, number>()
  readonly #roomsToldAt = new Map<string, number>()
  /** Jobs whose requests were not answered: they go where this entry itself sees room. */
  readonly #unansweredJobs = new Set<Job>()
  /** Mean time of answers, in milliseconds. */
  #answerTime = 0
  #slow = false
  /** The last request was not answered at all. */
  #unanswered = false
  #probedAt = Number.NEGATIVE_INFINITY

  constructor (parts: RoomClientParts) {
    this.#parts = parts
  }

  /** Answers take so long that this entry does better to choose by itself. */
  get slow (): boolean {
    return this.#slow
  }

  /** Whether the other entry has said that the job waits for room that others want as well. */
  isCrowded (job: Job): boolean {
    return this.#asked.get(job)?.crowded === true
  }

  noteQueued (job: Job): void {
    this.#toAsk.add(job)
  }

  forget (job: Job): void {
    this.#toAsk.delete(job)
    this.#tried.delete(job)
    this.#unansweredJobs.delete(job)
    this.#withdraw(job)
  }

  /** Whether a request for the job was not answered. */
  isUnanswered (job: Job): boolean {
    return this.#unansweredJobs.has(job)
  }

  /** Whether a request for the job is under way that is answered at once. */
  isUnderWay (job: Job): boolean {
    return this.#asked.get(job)?.waits === false
  }

  /** While answers are slow, now and then a request measures whether they still are. */
  probes (now: number): boolean {
    if (this.#toAsk.size === 0 || now - this.#probedAt < ANSWER_PROBE_MILLISECONDS) return false
    this.#probedAt = now
    return true
  }

  /** Asks for all that is to be asked for. */
  askAll (now: number): void {
    for (const job of this.#toAsk) this.#ask(job, now)
    this.#toAsk.clear()
  }

  /** For an entry that chooses at home by itself: what has found no room there is asked for in another group. */
  askElsewhere (now: number): void {
    for (const job of this.#toAsk) {
      const tasks = job.queued()
      if (job.state !== JobState.Open || tasks.length === 0 || this.#asked.has(job)) continue
      const group = this.#groupWithRoom(cpuOf(job, tasks), this.#tried.get(job) ?? NOTHING_TRIED)
      if (group !== undefined) this.#send(job, tasks, group, false, now)
    }
    this.#toAsk.clear()
  }

  /** For an entry with a partition of its own: what has found no room there is asked for at another holder. */
  askPartitions (now: number): void {
    for (const job of this.#toAsk) {
      const tasks = job.queued()
      if (job.state === JobState.Open && tasks.length > 0 && this.#asked.get(job)?.waits !== false) this.#askPartition(job, tasks, now)
    }
    this.#toAsk.clear()
  }

  #askPartition (job: Job, tasks: readonly Task[], now: number): void {
    const { id, steps } = job.request
    const tried = this.#tried.get(job) ?? NOTHING_TRIED
    const holders = this.#parts.holders().filter(name => this.#parts.allocatorOf(name) !== undefined && this.#parts.answers(name, now))
    const rooms = holders.filter(name => !tried.has(name)).map(name => ({ name, free: this.#recentRoom(name, now) ?? UNKNOWN_ROOM, near: this.#parts.near(name) }))
    const least = Math.min(...tasks.map(({ step }) => (steps[step] as Step).needs.cpu))
    const holder = choosePartition(id, cpuOf(job, tasks), least, rooms)
    if (holder !== undefined) return this.#send(job, tasks, holder, false, now)
    if (this.#asked.has(job)) return
    const waitsAt = choosePartition(id, 0, 0, holders.map(name => ({ name, free: 1, near: this.#parts.near(name) })))
    if (waitsAt !== undefined) this.#send(job, tasks, waitsAt, true, now)
  }

  /** Everything that waits is asked for again wherever there is room by now. */
  lookAgain (): void {
    this.#tried.clear()
    for (const [job, { waits }] of this.#asked) if (waits) this.#toAsk.add(job)
    for (const queue of this.#parts.queues.values()) for (const job of queue.jobs()) if (!this.#asked.has(job)) this.#toAsk.add(job)
  }

  /** Room of a partition; undefined when its holder has told nothing for long. */
  #recentRoom (holder: string, now: number): number | undefined {
    return now - (this.#roomsToldAt.get(holder) ?? Number.NEGATIVE_INFINITY) < HOLDER_SILENCE_MILLISECONDS ? this.#rooms.get(holder) : undefined
  }

  /** Ends a request of which every task has a grant; the job may have others by now, or have given some back. */
  noteGrants (peer: string, job: Job, grants: number): void {
    const asked = this.#asked.get(job)
    if (asked?.peer !== peer) return
    asked.left -= grants
    if (asked.left > 0) return
    this.#asked.delete(job)
    this.#toAsk.add(job)
  }

  /** Requests that stand elsewhere for jobs that have found all their room here are withdrawn. */
  withdrawMet (): void {
    for (const [job, { waits }] of this.#asked) if (waits && job.queued().length === 0) this.#withdraw(job)
  }

  /**
   * Gives up requests without an answer; their jobs go where this entry itself sees room.
   *
   * @param since earliest time from which an answer may be expected
   * @param patience added to the time that an answer may take, in milliseconds
   * @returns the entries that have not answered, and how long they were waited for
   */
  giveUpUnanswered (since: number, patience: number, now: number): Array<{ peer: string, asked: number }> {
    const unanswered: Array<{ peer: string, asked: number }> = []
    for (const [job, { peer, waits, heardAt }] of this.#asked) {
      const asked = now - Math.max(heardAt, since)
      if (asked < patience + (waits ? ALLOCATOR_SILENCE_MILLISECONDS : UNANSWERED_MILLISECONDS)) continue
      this.#withdraw(job)
      this.#unansweredJobs.add(job)
      this.#toAsk.add(job)
      unanswered.push({ peer, asked })
    }
    return unanswered
  }

  /** Free room of a group, as last told and less what was asked for since; in thousandths of a core. */
  roomOf (group: string): number | undefined {
    return this.#rooms.get(group)
  }

  /** Figures for status pages. */
  status (): { asked: number, waiting: number, answerMilliseconds: number } {
    const waiting = [...this.#asked.values()].filter(({ waits }) => waits).length
    return { asked: this.#asked.size, waiting, answerMilliseconds: Math.round(this.#answerTime) }
  }

  /** Other entries give out the room now: requests that stand elsewhere are withdrawn, and asked anew. */
  allocatorsChanged (asks: boolean): void {
    for (const [job, { peer, group }] of this.#asked) {
      if (!this.#slow && this.#parts.allocatorOf(group) === peer && this.#parts.linked(peer)) continue
      this.#withdraw(job)
      this.#toAsk.add(job)
    }
    if (!asks) return
    for (const queue of this.#parts.queues.values()) for (const job of queue.jobs()) if (!this.#asked.has(job)) this.#toAsk.add(job)
  }

  /** Requests that wait at home are taken elsewhere when there is room by now. */
  lookFurther (asks: boolean): void {
    for (const [job, { waits }] of this.#asked) {
      if (!waits || this.#groupWithRoom(cpuOf(job, job.queued()), NOTHING_TRIED) === undefined) continue
      this.#tried.set(job, new Set([this.#parts.home()]))
      this.#toAsk.add(job)
    }
    if (asks) return
    for (const queue of this.#parts.queues.values()) {
      for (const job of queue.jobs()) {
        if (this.#asked.has(job)) continue
        this.#tried.delete(job)
        this.#toAsk.add(job)
      }
    }
  }

  /** Entries that owe an answer, and since when. */
  * owing (): Generator<{ peer: string, at: number }> {
    yield * this.#asked.values()
  }

  noteRoom (group: string, free: number, now: number): void {
    this.#rooms.set(group, free)
    this.#roomsToldAt.set(group, now)
  }

  /** The group is gone for good, as far as known. */
  forgetRoom (group: string): void {
    this.#rooms.delete(group)
    this.#roomsToldAt.delete(group)
  }

  noteWaiting (peer: string, job: Job, crowded: boolean, now: number): void {
    const asked = this.#asked.get(job)
    if (asked?.peer !== peer) return
    asked.crowded = crowded
    asked.heardAt = now
  }

  /**
   * Room was granted; tells whether the time that it took has changed how this entry goes on. Time for which the request
   * waited for room does not count: it would have waited as long for an entry that chooses by itself.
   */
  noteGranted (peer: string, job: Job, waited: number, now: number): boolean {
    const asked = this.#asked.get(job)
    if (asked?.peer !== peer) return false
    const took = Math.max(0, now - asked.at - waited)
    this.#answerTime = this.#unanswered ? took : this.#answerTime + (took - this.#answerTime) * ANSWER_TIME_RATE
    this.#unanswered = false
    const slow = this.#answerTime > (this.#slow ? QUICK_ANSWER_MILLISECONDS : SLOW_ANSWER_MILLISECONDS)
    if (slow === this.#slow) return false
    this.#slow = slow
    this.#parts.note(slow ? 'answers on room are slow' : 'answers on room are quick again', { milliseconds: Math.round(this.#answerTime) })
    return true
  }

  /**
   * An entry owes an answer and is silent: this one chooses by itself until another has answered a request. Cut off, it would
   * else wait in vain for each of the others in turn.
   */
  noteSilent (): void {
    this.#unanswered = true
    this.#slow = true
  }

  /** All tasks of the job have room: a request that stands at another entry than the one that gave it is withdrawn. */
  noteMet (peer: string, job: Job): void {
    if (this.#asked.get(job)?.peer === peer) this.#asked.delete(job)
    this.forget(job)
  }

  noteDeclined (peer: string, job: Job, group: string): void {
    const tried = this.#tried.get(job)
    if (tried === undefined) this.#tried.set(job, new Set([group]))
    else tried.add(group)
    if (this.#asked.get(job)?.peer !== peer) return
    this.#asked.delete(job)
    this.#toAsk.add(job)
  }

  #ask (job: Job, now: number): void {
    const tasks = job.queued()
    if (job.state !== JobState.Open || tasks.length === 0) return this.#withdraw(job)
    const home = this.#parts.home()
    const need = cpuOf(job, tasks)
    const tried = this.#tried.get(job) ?? NOTHING_TRIED
    const elsewhere = this.#groupWithRoom(need, tried)
    const homeHasRoom = (this.#rooms.get(home) ?? Infinity) >= need && !tried.has(home)
    if (homeHasRoom || elsewhere === undefined) this.#send(job, tasks, home, elsewhere === undefined, now)
    else this.#send(job, tasks, elsewhere, false, now)
  }

  /** The group with the most free room among those that other entries give out, if it is enough. */
  #groupWithRoom (need: number, tried: ReadonlySet<string>): string | undefined {
    let best: string | undefined
    let most = need * FAR_ROOM_FACTOR
    for (const [group, free] of this.#rooms) {
      if (group === this.#parts.home() || tried.has(group) || free < most || this.#parts.allocatorOf(group) === undefined) continue
      best = group
      most = free
    }
    return best
  }

  #send (job: Job, tasks: readonly Task[], group: string, waits: boolean, now: number): void {
    const peer = this.#parts.allocatorOf(group)
    if (peer === undefined) return
    if (this.#asked.get(job)?.peer !== peer) this.#withdraw(job)
    const { service } = job.request.queue
    const free = this.#rooms.get(group)
    if (free !== undefined) this.#rooms.set(group, free - cpuOf(job, tasks))
    this.#asked.set(job, { peer, group, left: tasks.length, waits, at: now, heardAt: now, crowded: false })
    this.#parts.tell(peer, {
      type: 'ask',
      group,
      service,
      job: job.request.id,
      within: Math.round((this.#parts.queues.get(service)?.orderOf(job) ?? now) - now),
      waits,
      steps: stepsOf(job, tasks, this.#parts.fleet, now),
      except: this.#parts.fleet.unusable(service, now).map(({ name }) => name)
    })
  }

  /** Takes a request back that stands at another entry. */
  #withdraw (job: Job): void {
    const asked = this.#asked.get(job)
    if (asked === undefined) return
    this.#asked.delete(job)
    if (this.#parts.linked(asked.peer)) this.#parts.tell(asked.peer, { type: 'unask', job: job.request.id })
  }
}

function cpuOf (job: Job, tasks: readonly Task[]): number {
  return tasks.reduce((sum, task) => sum + (job.request.steps[task.step] as Step).needs.cpu, 0)
}

/** The tasks as an entry that gives out room is told of them. */
function stepsOf (job: Job, tasks: readonly Task[], fleet: Fleet, now: number): RoomStep[] {
  return [...new Set(tasks.map(({ step }) => step))].map(index => {
    const { needs, label, rack, perTarget } = job.request.steps[index] as Step
    const queued = tasks.filter(({ step }) => step === index).map(({ name, avoid, isolation }) => ({ name, avoid, ...(isolation === Isolation.None ? {} : { isolation }) }))
    return { index, needs, label, rack, perTarget, expected: Math.round(job.expected[index] ?? 0), endBy: Math.round(latestEndOfStep(job, index) - now), tasks: queued, placed: fleet.agentsOf(job, index) }
  })
}
