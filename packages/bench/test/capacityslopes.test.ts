/** Tests the linear fit of the capacity measurement. */
import { test } from 'node:test'

import { expect } from 'earl'

import { fit } from '../src/capacityslopes.ts'

test('a fit finds the constant and the slope of each cause', () => {
  const causes = [[1, 0], [2, 5], [3, 1], [10, 7]]
  const { constant, slopes, explained } = fit(causes.map(([first = 0, second = 0]) => ({ causes: [first, second], effect: 4 + 3 * first - 2 * second })))
  expect(constant).toBeCloseTo(4, 1e-9)
  expect(slopes[0] ?? NaN).toBeCloseTo(3, 1e-9)
  expect(slopes[1] ?? NaN).toBeCloseTo(-2, 1e-9)
  expect(explained).toBeCloseTo(1, 1e-9)
})

test('a fit through scattered values explains a fraction of their variance', () => {
  const effects = [1, 5, 2, 8]
  const { constant, slopes, explained } = fit(effects.map((effect, index) => ({ causes: [index], effect })))
  expect(constant).toBeCloseTo(1.3, 1e-9)
  expect(slopes[0] ?? NaN).toBeCloseTo(1.8, 1e-9)
  expect(explained).toBeCloseTo(0.54, 1e-9)
})
