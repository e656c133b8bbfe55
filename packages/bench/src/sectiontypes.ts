/** What the sections of the bench share. */

/** What every section is given. */
export interface SectionOptions {
  seed: number
  /** Virtual time that a run covers. */
  seconds: number
}

/** Figures for one row of a table. */
export type Row = Record<string, string | number>

/** One section: measures, and returns the rows of its table. */
export type Section = (options: SectionOptions) => Row[] | Promise<Row[]>
