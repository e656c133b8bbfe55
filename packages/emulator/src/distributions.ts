/** Random figures of a day: every one of them comes from the one seeded generator. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import { randomExponential, randomLogNormal, randomNormal } from 'd3-random'

/** A figure, or the range from which each seed draws one. */
export type Figure = number | readonly [low: number, high: number]

/** A figure that differs from job to job. */
export interface Spread {
  mean: Figure
  /** Standard deviation over the mean. */
  spread: Figure
  most: Figure
}

/** Draws the figure of one day. */
export function drawFigure (figure: Figure, random: SeededRandom): number {
  if (typeof figure === 'number') return figure
  const [low, high] = figure
  return low + random.next() * (high - low)
}

/** A drawn distribution. */
export type Draw = () => number

/** Log-normal by mean and relative deviation, never above the most. */
export function logNormalDraw ({ mean, spread, most }: Spread, random: SeededRandom): Draw {
  const drawnMean = drawFigure(mean, random)
  const drawnSpread = drawFigure(spread, random)
  const limit = drawFigure(most, random)
  if (drawnSpread === 0) return () => drawnMean
  const variance = Math.log(1 + drawnSpread ** 2)
  const draw = randomLogNormal.source(() => random.next())(Math.log(drawnMean) - variance / 2, Math.sqrt(variance))
  return () => Math.min(limit, draw())
}

/** A factor around 1 whose logarithm is normal. */
export function logNormalFactorDraw (deviation: number, random: SeededRandom): Draw {
  const draw = randomNormal.source(() => random.next())(0, deviation)
  return () => Math.exp(draw())
}

/** Times between arrivals of a Poisson process. */
export function interarrivalDraw (perMillisecond: () => number, random: SeededRandom): Draw {
  const exponential = randomExponential.source(() => random.next())(1)
  return () => exponential() / perMillisecond()
}
