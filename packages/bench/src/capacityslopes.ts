/** Linear least squares, which gives the cost of one unit of each cause. */

/** Measured values of the causes and of the effect. */
export interface Observation {
  causes: readonly number[]
  effect: number
}

/** The effect as a linear function of the causes. */
export interface Fit {
  constant: number
  /** Effect of one unit of each cause, in the order of the causes. */
  slopes: number[]
  /** Coefficient of determination: the fraction of the variance of the effect that the fit explains. */
  explained: number
}

/** Fits a constant and one slope per cause. Requires more observations than causes. */
export function fit (observations: readonly Observation[]): Fit {
  const rows = observations.map(({ causes }) => [1, ...causes])
  const size = rows[0]?.length ?? 1
  const matrix = Array.from({ length: size }, (_row, i) => Array.from({ length: size + 1 }, (_column, j) => {
    return rows.reduce((sum, row, index) => sum + elementAt(row, i) * (j < size ? elementAt(row, j) : elementAt(observations, index).effect), 0)
  }))
  const [constant = 0, ...slopes] = solve(matrix)
  const estimate = ({ causes }: Observation): number => causes.reduce((sum, cause, index) => sum + cause * elementAt(slopes, index), constant)
  return { constant, slopes, explained: explainedFraction(observations, estimate) }
}

/** Solves linear equations by Gaussian elimination. Each row ends with its right-hand side. */
function solve (matrix: number[][]): number[] {
  const size = matrix.length
  for (let column = 0; column < size; column++) {
    swapInPivot(matrix, column)
    for (let row = 0; row < size; row++) {
      if (row !== column) subtractMultiple(elementAt(matrix, row), elementAt(matrix, column), column)
    }
  }
  return matrix.map((row, index) => elementAt(row, size) / elementAt(row, index))
}

/** Swaps the row with the largest absolute value in the column into the diagonal, for numerical stability. */
function swapInPivot (matrix: number[][], column: number): void {
  let pivotRow = column
  for (let row = column + 1; row < matrix.length; row++) {
    if (Math.abs(elementAt(elementAt(matrix, row), column)) > Math.abs(elementAt(elementAt(matrix, pivotRow), column))) pivotRow = row
  }
  const pivot = elementAt(matrix, pivotRow)
  matrix[pivotRow] = elementAt(matrix, column)
  matrix[column] = pivot
}

function subtractMultiple (row: number[], pivot: readonly number[], column: number): void {
  const factor = elementAt(row, column) / elementAt(pivot, column)
  for (let index = column; index < row.length; index++) row[index] = elementAt(row, index) - factor * elementAt(pivot, index)
}

function explainedFraction (observations: readonly Observation[], estimate: (observation: Observation) => number): number {
  const mean = observations.reduce((sum, { effect }) => sum + effect, 0) / observations.length
  const variance = observations.reduce((sum, { effect }) => sum + (effect - mean) ** 2, 0)
  const residual = observations.reduce((sum, observation) => sum + (observation.effect - estimate(observation)) ** 2, 0)
  return variance === 0 ? 1 : 1 - residual / variance
}

function elementAt<Item> (items: readonly Item[], index: number): Item {
  const item = items[index]
  if (item === undefined) throw new RangeError(`no element at index ${index}`)
  return item
}
