/** Types shared by the sections of the bench. */

/** Options of every section. */
export interface SectionOptions {
  seed: number
  /** Duration of a run in virtual time. */
  seconds: number
}

/** One row of a table, by column. */
export type Row = Record<string, string | number>

/** Runs one section and returns the rows of its table. */
export type Section = (options: SectionOptions) => Row[] | Promise<Row[]>
