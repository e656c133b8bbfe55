/** Formats text tables: columns are as wide as their widest cell, numeric columns are right-aligned. */

const COLUMN_GAP = '  '
const NUMBER = /^-?[\d.,]+( ?(%|ms|s))?$/

/** Formats the headings and rows, one line each; returns no lines if there are no rows. */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
  if (rows.length === 0) return []
  const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map((row) => cell(row, column).length)))
  const rightAligned = headings.map((_, column) => rows.every((row) => isNumber(cell(row, column))))
  return [headings, ...rows].map((row) =>
    widths.map((width, column) => pad(cell(row, column), width, rightAligned[column] === true)).join(COLUMN_GAP).trimEnd())
}

function cell (row: readonly string[], column: number): string {
  return row[column] ?? ''
}

function isNumber (text: string): boolean {
  return text === '' || text === '-' || NUMBER.test(text)
}

function pad (text: string, width: number, isRightAligned: boolean): string {
  return isRightAligned ? text.padStart(width) : text.padEnd(width)
}

/** Formats a count with its noun, such as `1 entry` or `2 entries`. */
export function formatCount (count: number, noun: string, plural = `${noun}s`): string {
  return `${count} ${count === 1 ? noun : plural}`
}
