/** Resource usage of a running process, read from Linux's /proc file system. */
import { readdirSync, readFileSync } from 'node:fs'

/** Cumulative usage of a process since its start, and its current memory. */
export interface Usage {
  /** Instant of the reading, by the clock of the measuring process, in milliseconds. */
  at: number
  /** Processor time of all threads, in milliseconds. */
  processorMilliseconds: number
  /** Resident set, in MiB. */
  residentMebibytes: number
  /** Anonymous part of the resident set, in MiB. It has no backing file and is not shared with other processes. */
  anonymousMebibytes: number
  /** Bytes of all reads, including those from sockets. */
  bytesRead: number
  /** Bytes of all writes, including those to sockets. */
  bytesWritten: number
}

/** Usage of a process per second between two readings, and its memory at the later one. */
export interface Rates {
  /** Milliseconds of processor time per second: 10 are 1% of a core. */
  processorMilliseconds: number
  residentMebibytes: number
  anonymousMebibytes: number
  bytesRead: number
  bytesWritten: number
}

const NANOSECONDS_PER_MILLISECOND = 1_000_000
const KIBIBYTES_PER_MEBIBYTE = 1024
const MILLISECONDS_PER_SECOND = 1000

/** Reads the usage of a process. Throws when the process has ended. */
export function readUsage (pid: number): Usage {
  const memory = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')
  const transfer = readFileSync(`/proc/${pid}/io`, 'utf8')
  return {
    at: performance.now(),
    processorMilliseconds: readProcessorTime(pid),
    residentMebibytes: readField(memory, 'Rss') / KIBIBYTES_PER_MEBIBYTE,
    anonymousMebibytes: readField(memory, 'Anonymous') / KIBIBYTES_PER_MEBIBYTE,
    bytesRead: readField(transfer, 'rchar'),
    bytesWritten: readField(transfer, 'wchar')
  }
}

/** Returns the usage per second between two readings, with the memory of the later one. */
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

/** Reads schedstat, which counts nanoseconds per thread, because the counters in stat advance in steps of 10 ms. */
function readProcessorTime (pid: number): number {
  let nanoseconds = 0
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    nanoseconds += readThreadTime(pid, thread)
  }
  return nanoseconds / NANOSECONDS_PER_MILLISECOND
}

function readThreadTime (pid: number, thread: string): number {
  try {
    return Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0])
  } catch {
    // The thread ended after the directory was listed.
    return 0
  }
}

function readField (text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0)
}
