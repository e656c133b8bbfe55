/** Metrics of how current an entry's configuration is, and of the traffic that keeps it current. */
import type { ExchangeStatus } from '@amaranthmast/configuration/exchange'
import type { Exposition } from './exposition.ts'
import type { CallCount } from './ports.ts'

const MILLISECONDS_PER_SECOND = 1000

/** @param age time since the last confirmation, in milliseconds; undefined before the first */
export function exposeConfiguration (exposition: Exposition, status: Readonly<ExchangeStatus>, age: number | undefined): void {
  const { version, newest, documentsSent, documentsReceived, documentsUseless, charactersSent, charactersReceived } = status
  exposition.gauge('amaranthmast_configuration_version', 'Version in force, and the newest that another entry has told of', [
    { labels: { figure: 'in_force' }, value: version },
    { labels: { figure: 'newest_heard' }, value: newest }
  ])
  const seconds = age === undefined ? [] : [{ labels: {}, value: age / MILLISECONDS_PER_SECOND }]
  exposition.gauge('amaranthmast_configuration_age_seconds', 'Since the last confirmation that there is no newer configuration began', seconds)
  exposition.counter('amaranthmast_configuration_documents_total', 'Documents exchanged with other entries', [
    { labels: { direction: 'sent' }, value: documentsSent },
    { labels: { direction: 'received' }, value: documentsReceived },
    { labels: { direction: 'received_useless' }, value: documentsUseless }
  ])
  exposition.counter('amaranthmast_configuration_characters_total', 'Characters of these documents', [
    { labels: { direction: 'sent' }, value: charactersSent },
    { labels: { direction: 'received' }, value: charactersReceived }
  ])
}

export function exposeStoreCalls (exposition: Exposition, calls: Readonly<Record<string, number>>, ends: readonly CallCount[]): void {
  exposition.counter('amaranthmast_store_calls_total', 'Calls to the store', Object.entries(calls).map(([kind, value]) => ({ labels: { kind }, value })))
  exposition.counter('amaranthmast_store_answers_total', 'Ended calls to the store, by how they ended', ends.map(({ kind, end, count }) => ({ labels: { kind, end }, value: count })))
}
