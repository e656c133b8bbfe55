/** Faults of the key-value stand-in and the counts of its calls. */

/** Outage of the stand-in. */
export enum Outage {
  None = 'none',
  /** The port is closed: new connections are refused and open ones are closed. */
  Refuse = 'refuse',
  /** Calls are accepted, never answered, and have no effect. */
  Hang = 'hang',
  /** Calls are answered with status 503 and have no effect. */
  NoLeader = 'noLeader'
}

/** How the answer of a write that took effect is lost. */
export enum LostAnswerMode {
  /** The connection is closed. */
  Cut = 'cut',
  /** The connection stays open and carries no answer. */
  Hang = 'hang'
}

/** Faults in force. */
export interface KeyValueFaults {
  outage: Outage
  readDelayMilliseconds: number
  writeDelayMilliseconds: number
  /** Delay of each event of a watch. */
  watchDelayMilliseconds: number
  /** Number of coming writes whose answers are lost after they took effect. */
  loseAnswers: number
  loseAnswersBy: LostAnswerMode
  /** Reads return the state as of this many revisions ago. */
  staleRevisions: number
  /** Watches stay open and report no events. */
  dropWatchEvents: boolean
  /** Writes above this rate are rejected with status 429; 0 for no limit. */
  maximumWritesPerSecond: number
}

/** Kinds of call that are counted. A watch counts once, when it opens. */
export enum CallKind {
  Read = 'reads',
  Write = 'writes',
  Lease = 'leases',
  Watch = 'watchesOpened'
}

/** Call counts of one second or of the whole run. */
export interface CallTotals {
  reads: number
  writes: number
  leases: number
  watchesOpened: number
}

/** Call counts of one second. */
export interface CallSecond extends CallTotals {
  /** Unix time in seconds. */
  second: number
  watchesOpen: number
}

/** Answer to `GET /standin/calls`. */
export interface CallReport extends CallTotals {
  watchesOpen: number
  /** Writes rejected because of their rate. */
  refusedWrites: number
  /** Bytes of the values in the answers to reads and transactions; watches are not counted. */
  valueBytesRead: number
  /** The latest seconds with at least one call, oldest first. */
  perSecond: CallSecond[]
}

const KEPT_SECONDS = 300
const MILLISECONDS_PER_SECOND = 1000

/** All faults switched off. */
export function noFaults (): KeyValueFaults {
  return {
    outage: Outage.None,
    readDelayMilliseconds: 0,
    writeDelayMilliseconds: 0,
    watchDelayMilliseconds: 0,
    loseAnswers: 0,
    loseAnswersBy: LostAnswerMode.Cut,
    staleRevisions: 0,
    dropWatchEvents: false,
    maximumWritesPerSecond: 0
  }
}

/** Validates faults received as JSON. Throws a `TypeError` that names the invalid fault. */
export function parseFaults (input: unknown): Partial<KeyValueFaults> {
  if (typeof input !== 'object' || input === null || Array.isArray(input)) {
    throw new TypeError('faults must be a JSON object')
  }
  const known = noFaults()
  for (const [name, value] of Object.entries(input)) {
    if (!(name in known)) {
      throw new TypeError(`unknown fault ${name}; known are ${Object.keys(known).join(', ')}`)
    }
    checkFault(name as keyof KeyValueFaults, value, known)
  }
  return input as Partial<KeyValueFaults>
}

function checkFault (name: keyof KeyValueFaults, value: unknown, known: KeyValueFaults): void {
  if (typeof value !== typeof known[name]) {
    throw new TypeError(`fault ${name} must be a ${typeof known[name]}`)
  }
  if (typeof value === 'number' && !(value >= 0)) {
    throw new TypeError(`fault ${name} must be 0 or more`)
  }
  const choices: Partial<Record<keyof KeyValueFaults, string[]>> = {
    outage: Object.values(Outage),
    loseAnswersBy: Object.values(LostAnswerMode)
  }
  if (choices[name]?.includes(String(value)) === false) {
    throw new TypeError(`fault ${name} must be one of ${choices[name].join(', ')}`)
  }
}

/** Counts calls by kind, in total and for each of the latest seconds. */
export class CallCounter {
  readonly #now: () => number
  readonly #totals: CallTotals = { reads: 0, writes: 0, leases: 0, watchesOpened: 0 }
  #seconds: CallSecond[] = []
  #watchesOpen = 0
  #refusedWrites = 0
  #valueBytesRead = 0

  /** @param now clock in Unix milliseconds */
  constructor (now: () => number) {
    this.#now = now
  }

  /** Counts one call. */
  count (kind: CallKind): void {
    this.#totals[kind] += 1
    this.#current()[kind] += 1
  }

  /** Counts a watch that opened (1) or closed (-1). */
  changeOpenWatches (change: 1 | -1): void {
    this.#watchesOpen += change
    this.#current().watchesOpen = this.#watchesOpen
  }

  /** Counts a write rejected because of its rate. */
  countRefusedWrite (): void {
    this.#refusedWrites += 1
  }

  /** Counts the bytes of a value that was sent. */
  countValueBytes (bytes: number): void {
    this.#valueBytesRead += bytes
  }

  /** Writes in the current second so far. */
  get writesThisSecond (): number {
    return this.#current().writes
  }

  /** All counts. */
  report (): CallReport {
    return {
      ...this.#totals,
      watchesOpen: this.#watchesOpen,
      refusedWrites: this.#refusedWrites,
      valueBytesRead: this.#valueBytesRead,
      perSecond: this.#seconds.map((second) => ({ ...second }))
    }
  }

  #current (): CallSecond {
    const second = Math.floor(this.#now() / MILLISECONDS_PER_SECOND)
    const last = this.#seconds.at(-1)
    if (last?.second === second) {
      return last
    }
    const added = { second, reads: 0, writes: 0, leases: 0, watchesOpened: 0, watchesOpen: this.#watchesOpen }
    this.#seconds = [...this.#seconds.slice(1 - KEPT_SECONDS), added]
    return added
  }
}
