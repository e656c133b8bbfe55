/** What a running process has used so far, from the files that Linux keeps about it. */
import { readdirSync, readFileSync } from 'node:fs'

/** Use of a process, from its start to one instant. */
export interface Usage {
  /** Clock of this process in milliseconds. */
  at: number
  /** Processor time of all threads, in milliseconds. */
  processorMilliseconds: number
  /** Resident set, in MiB. */
  residentMebibytes: number
  /** Part of the resident set that no file backs: no other process shares it. */
  anonymousMebibytes: number
  /** Bytes of all reads, those from sockets included. */
  bytesRead: number
  /** Bytes of all writes, those to sockets included. */
  bytesWritten: number
}

/** What a process used per second between two instants, and what it holds at the second. */
export interface Rates {
  /** Milliseconds of processor time a second: 10 are 1% of a core. */
  processorMilliseconds: number
  residentMebibytes: number
  anonymousMebibytes: number
  bytesRead: number
  bytesWritten: number
}

const NANOSECONDS_PER_MILLISECOND = 1_000_000
const KIBIBYTES_PER_MEBIBYTE = 1024
const MILLISECONDS_PER_SECOND = 1000

/** Reads the use of a process. Throws when it has ended. */
export function readUsage (pid: number): Usage {
  const memory = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  const transfer = readFileSync(`/proc/${pid}/io`, 'utf8')
  return {
    at: performance.now(),
    processorMilliseconds: processorTime(pid),
    residentMebibytes: field(memory, 'Rss') / KIBIBYTES_PER_MEBIBYTE,
    anonymousMebibytes: field(memory, 'Anonymous') / KIBIBYTES_PER_MEBIBYTE,
    bytesRead: field(transfer, 'rchar'),
    bytesWritten: field(transfer, 'wchar')
  }
}

/** Use per second between two readings; the memory is that of the later one. */
export function ratesBetween (earlier: Usage, later: Usage): Rates {
  const seconds = (later.at - earlier.at) / MILLISECONDS_PER_SECOND
  return {
    processorMilliseconds: (later.processorMilliseconds - earlier.processorMilliseconds) / seconds,
    residentMebibytes: later.residentMebibytes,
    anonymousMebibytes: later.anonymousMebibytes,
    bytesRead: (later.bytesRead - earlier.bytesRead) / seconds,
    bytesWritten: (later.bytesWritten - earlier.bytesWritten) / seconds
  }
}

/** The scheduler counts in nanoseconds per thread; the usual counters advance in steps of 10 ms. */
function processorTime (pid: number): number {
  let nanoseconds = 0
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    nanoseconds += threadTime(pid, thread)
  }
  return nanoseconds / NANOSECONDS_PER_MILLISECOND
}

function threadTime (pid: number, thread: string): number {
  try {
    return Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0])
  } catch {
    // The thread ended between the listing and the reading.
    return 0
  }
}

function field (text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0)
}
