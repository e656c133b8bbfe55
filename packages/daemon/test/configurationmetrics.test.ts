import { test } from 'node:test'
import { expect } from 'earl'
import { exposeConfiguration, exposeStoreCalls } from '../src/configurationmetrics.ts'
import { Exposition } from '../src/exposition.ts'

const STATUS = { version: 7, newest: 9, documentsSent: 2, documentsReceived: 3, documentsUseless: 1, charactersSent: 80, charactersReceived: 120 }

function linesOf (expose: (exposition: Exposition) => void): string[] {
  const exposition = new Exposition()
  expose(exposition)
  return exposition.text().split('\n').filter(line => line !== '' && !line.startsWith('#'))
}

test('an entry that has received a newer version number exposes both versions and the age of its last confirmation', () => {
  const lines = linesOf(exposition => exposeConfiguration(exposition, STATUS, 1500))
  expect(lines.includes('amaranthmast_configuration_version{figure="in_force"} 7')).toEqual(true)
  expect(lines.includes('amaranthmast_configuration_version{figure="newest_heard"} 9')).toEqual(true)
  expect(lines.includes('amaranthmast_configuration_age_seconds 1.5')).toEqual(true)
  expect(lines.includes('amaranthmast_configuration_documents_total{direction="received_useless"} 1')).toEqual(true)
})

test('an entry without a confirmation exposes no age', () => {
  const lines = linesOf(exposition => exposeConfiguration(exposition, STATUS, undefined))
  expect(lines.some(line => line.startsWith('amaranthmast_configuration_age_seconds'))).toEqual(false)
})

test('store calls without an answer are counted separately', () => {
  const lines = linesOf(exposition => exposeStoreCalls(exposition, { reads: 4 }, [{ kind: 'reads', end: 'done', count: 3 }, { kind: 'reads', end: 'unanswered', count: 1 }]))
  expect(lines).toEqual([
    'amaranthmast_store_calls_total{kind="reads"} 4',
    'amaranthmast_store_answers_total{kind="reads",end="done"} 3',
    'amaranthmast_store_answers_total{kind="reads",end="unanswered"} 1'
  ])
})
