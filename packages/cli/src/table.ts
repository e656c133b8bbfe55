/** Tables for a person: columns as wide as their widest cell, numbers to the right. */

const COLUMN_GAP = '  '
const NUMBER = /^-?[\d.,]+( ?(%|ms|s))?$/

/** The rows under their headings, one line each. No rows give no lines. */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
  if (rows.length === 0) return []
  const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map((row) => cell(row, column).length)))
  const right = headings.map((_, column) => rows.every((row) => isNumber(cell(row, column))))
  return [headings, ...rows].map((row) =>
    widths.map((width, column) => pad(cell(row, column), width, right[column] === true)).join(COLUMN_GAP).trimEnd())
}

function cell (row: readonly string[], column: number): string {
  return row[column] ?? ''
}

function isNumber (text: string): boolean {
  return text === '' || text === '-' || NUMBER.test(text)
}

function pad (text: string, width: number, right: boolean): string {
  return right ? text.padStart(width) : text.padEnd(width)
}

/** `1 entry`, `2 entries`. */
export function counted (count: number, noun: string, plural = `${noun}s`): string {
  return `${count} ${count === 1 ? noun : plural}`
}
