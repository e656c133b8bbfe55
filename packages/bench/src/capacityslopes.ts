/** Least squares: what one unit of a cause costs. */

/** One observation: the values of the causes and of the effect. */
export interface Observation {
  causes: readonly number[]
  effect: number
}

/** Effect as a constant and a sum over causes. */
export interface Fit {
  constant: number
  /** Effect of one unit of each cause, in the order of the causes. */
  slopes: number[]
  /** Part of the variance of the effect that the fit explains: 1 is all. */
  explained: number
}

/** Fits a constant and one slope for each cause. Needs more observations than causes. */
export function fit (observations: readonly Observation[]): Fit {
  const rows = observations.map(({ causes }) => [1, ...causes])
  const size = rows[0]?.length ?? 1
  const matrix = Array.from({ length: size }, (_row, i) => Array.from({ length: size + 1 }, (_column, j) => {
    return rows.reduce((sum, row, index) => sum + at(row, i) * (j < size ? at(row, j) : at(observations, index).effect), 0)
  }))
  const [constant = 0, ...slopes] = solve(matrix)
  const estimate = ({ causes }: Observation): number => causes.reduce((sum, cause, index) => sum + cause * at(slopes, index), constant)
  return { constant, slopes, explained: explainedPart(observations, estimate) }
}

/** Solves linear equations by elimination; each row ends with its right side. */
function solve (matrix: number[][]): number[] {
  const size = matrix.length
  for (let column = 0; column < size; column++) {
    pivot(matrix, column)
    for (let row = 0; row < size; row++) {
      if (row !== column) eliminate(at(matrix, row), at(matrix, column), column)
    }
  }
  return matrix.map((row, index) => at(row, size) / at(row, index))
}

function pivot (matrix: number[][], column: number): void {
  let best = column
  for (let row = column + 1; row < matrix.length; row++) {
    if (Math.abs(at(at(matrix, row), column)) > Math.abs(at(at(matrix, best), column))) best = row
  }
  const chosen = at(matrix, best)
  matrix[best] = at(matrix, column)
  matrix[column] = chosen
}

function eliminate (row: number[], by: readonly number[], column: number): void {
  const factor = at(row, column) / at(by, column)
  for (let index = column; index < row.length; index++) row[index] = at(row, index) - factor * at(by, index)
}

function explainedPart (observations: readonly Observation[], estimate: (observation: Observation) => number): number {
  const mean = observations.reduce((sum, { effect }) => sum + effect, 0) / observations.length
  const variance = observations.reduce((sum, { effect }) => sum + (effect - mean) ** 2, 0)
  const rest = observations.reduce((sum, observation) => sum + (observation.effect - estimate(observation)) ** 2, 0)
  return variance === 0 ? 1 : 1 - rest / variance
}

function at<Item> (items: readonly Item[], index: number): Item {
  const item = items[index]
  if (item === undefined) throw new RangeError(`nothing at ${index}`)
  return item
}
