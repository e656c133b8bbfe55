import { test } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@amaranthmast/standins/random'
import { compare } from '../src/comparison.ts'
import { logNormalDraw } from '../src/distributions.ts'
import { play, playAll } from '../src/player.ts'
import { pageFor, tableOf } from '../src/report.ts'
import { shortExperiment } from './experiments.ts'

test('variants are compared on the same days', async () => {
  const experiment = { ...shortExperiment({ seconds: 2 }), seeds: { first: 1, count: 2 }, variants: { today: {}, other: { refusesLate: false } } }
  const played = await playAll(experiment, 1)
  const [today, other] = compare(played, ['today', 'other'])
  expect([today?.days, other?.days]).toEqual([2, 2])
  expect(today?.credit.difference).toEqual(0)
  expect(other?.jobs.difference).toEqual(0)
  const table = tableOf(compare(played, ['today', 'other']))
  expect(table.split('\n').length).toEqual(3)
  const page = await pageFor('short', compare(played, ['today', 'other']), played)
  expect(page.includes('<svg')).toEqual(true)
})

test('a day has the same result each time it is played', () => {
  const experiment = shortExperiment({ seconds: 1 })
  expect(play(experiment, { variant: 'today', seed: 9 })).toEqual(play(experiment, { variant: 'today', seed: 9 }))
})

test('a drawn distribution keeps to its mean and its maximum', () => {
  const draw = logNormalDraw({ mean: 100, spread: 0.4, most: 250 }, new SeededRandom(1))
  const draws = Array.from({ length: 5000 }, draw)
  const mean = draws.reduce((sum, value) => sum + value, 0) / draws.length
  expect([Math.abs(mean - 100) < 3, Math.max(...draws) <= 250]).toEqual([true, true])
})
