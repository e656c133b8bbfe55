import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import { experimentSchemaText, readExperiment } from '../src/experiment.ts'
import { shortExperiment } from './experiments.ts'

const EXAMPLES = ['overload', 'lostorders', 'mixed', 'waves', 'notices', 'crashes', 'partitions', 'admission', 'placement', 'targetkinds', 'peaks']

for (const name of EXAMPLES) {
  test(`the example ${name} is a valid experiment`, () => {
    const text = readFileSync(new URL(`../../../examples/experiments/${name}.json`, import.meta.url), 'utf8')
    expect(readExperiment(text).isOk()).toEqual(true)
  })
}

test('the published schema matches the code', () => {
  const published = readFileSync(new URL('../schema/experiment.json', import.meta.url), 'utf8')
  expect(published).toEqual(experimentSchemaText())
})

test('an experiment without kinds of job is refused with the path of the field', () => {
  const read = readExperiment(JSON.stringify({ ...shortExperiment(), kinds: [] }))
  expect(read._unsafeUnwrapErr().message.includes('kinds')).toEqual(true)
})

test('an unknown policy setting is refused', () => {
  const read = readExperiment(JSON.stringify({ ...shortExperiment(), variants: { today: { guesses: true } } }))
  expect(read._unsafeUnwrapErr().message.includes('guesses')).toEqual(true)
})

test('a text that is not JSON is refused', () => {
  expect(readExperiment('{').isErr()).toEqual(true)
})
