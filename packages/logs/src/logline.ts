/** Parses the lines of a process's decision log. */

export interface LogLine {
  /** Milliseconds since 1970, by the clock of the machine that wrote it. */
  at: number
  /** The process and its incarnation, `name#incarnation`. */
  instance: string
  what: string
  /** All other fields of the line. */
  fields: Readonly<Record<string, unknown>>
}

/** Fields that every line has and that do not describe the decision. */
const COMMON = new Set(['level', 'time', 'instance', 'role', 'msg'])

/**
 * Parses a line; undefined when it is not a line of the decision log. Text that a log collector has put before the object is skipped.
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  const value = parseObject(text.slice(start))
  if (value === undefined) return undefined
  const { time, instance, msg } = value
  const at = typeof time === 'string' ? Date.parse(time) : Number.NaN
  if (Number.isNaN(at) || typeof instance !== 'string' || typeof msg !== 'string') return undefined
  return { at, instance, what: msg, fields: Object.fromEntries(Object.entries(value).filter(([name]) => !COMMON.has(name))) }
}

/** Returns the job that a line is about; empty when it is about none. */
export function jobOf ({ fields }: LogLine): string {
  if (typeof fields['job'] === 'string') return fields['job']
  const { task } = fields
  return typeof task === 'string' ? task.split('.', 1)[0] as string : ''
}

/** Returns the name of the process without its incarnation. */
export function processOf ({ instance }: LogLine): string {
  return instance.split('#', 1)[0] as string
}

function parseObject (text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}
