/** Random distributions. All numbers come from the seeded generator that is passed in. */
import type { SeededRandom } from '@amaranthmast/standins/random'
import { randomExponential, randomLogNormal, randomNormal } from 'd3-random'

/** A number, or a range from which each seed draws a number. */
export type Figure = number | readonly [low: number, high: number]

/** A distribution of a figure that varies between jobs. */
export interface Spread {
  mean: Figure
  /** Standard deviation divided by the mean. */
  spread: Figure
  most: Figure
}

/** Draws a figure for one day. */
export function drawFigure (figure: Figure, random: SeededRandom): number {
  if (typeof figure === 'number') return figure
  const [low, high] = figure
  return low + random.next() * (high - low)
}

/** Draws a value from a distribution. */
export type Draw = () => number

/** Log-normal distribution by mean and relative standard deviation. Values over the maximum are reduced to it. */
export function logNormalDraw ({ mean, spread, most }: Spread, random: SeededRandom): Draw {
  const drawnMean = drawFigure(mean, random)
  const drawnSpread = drawFigure(spread, random)
  const limit = drawFigure(most, random)
  if (drawnSpread === 0) return () => drawnMean
  const variance = Math.log(1 + drawnSpread ** 2)
  const draw = randomLogNormal.source(() => random.next())(Math.log(drawnMean) - variance / 2, Math.sqrt(variance))
  return () => Math.min(limit, draw())
}

/** Log-normal distribution of a factor with median 1. */
export function logNormalFactorDraw (deviation: number, random: SeededRandom): Draw {
  const draw = randomNormal.source(() => random.next())(0, deviation)
  return () => Math.exp(draw())
}

/** Times between arrivals of a Poisson process, in milliseconds. */
export function interarrivalDraw (perMillisecond: () => number, random: SeededRandom): Draw {
  const exponential = randomExponential.source(() => random.next())(1)
  return () => exponential() / perMillisecond()
}
