/** Reads log files line by line, since the logs of a fleet may be larger than memory. */
import type { LogLine } from '@amaranthmast/logs/logline'
import { parseLogLine } from '@amaranthmast/logs/logline'
import { ResultAsync } from 'neverthrow'
import type { Context } from './command.ts'
import { LogUnreadable } from './errors.ts'

/** Number of lines that could not be parsed, by file. */
export type UnreadableCounts = Record<string, number>

/** Passes every log line of every file to `handleLine`, in the order of the files. */
export function readLogs (context: Context, paths: readonly string[], handleLine: (line: LogLine) => void): ResultAsync<UnreadableCounts, LogUnreadable> {
  return ResultAsync.fromPromise(readAll(context, paths, handleLine), error => error as LogUnreadable)
}

async function readAll (context: Context, paths: readonly string[], handleLine: (line: LogLine) => void): Promise<UnreadableCounts> {
  const unreadable: UnreadableCounts = {}
  for (const path of paths) {
    try {
      for await (const text of context.readLines(path)) {
        if (text.trim() === '') continue
        const line = parseLogLine(text)
        if (line === undefined) unreadable[path] = (unreadable[path] ?? 0) + 1
        else handleLine(line)
      }
    } catch (error) {
      throw new LogUnreadable(path, error as Error)
    }
  }
  return unreadable
}

/** Describes each file that has lines that are not log lines of amaranthmast. */
export function describeUnreadable (unreadable: UnreadableCounts): string[] {
  return Object.entries(unreadable).map(([path, count]) => `${path}: ${count} lines that are not log lines of amaranthmast`)
}
