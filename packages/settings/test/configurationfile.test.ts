/** Tests of the operators' configuration file: faults of invalid files, and the configuration that the decision logic receives. */
import { test } from 'node:test'
import { expect } from 'earl'
import type { Result } from 'neverthrow'
import {
  checkConfigurationFile, parseConfiguration, parseConfigurationFile, readStoredConfiguration, findWarnings
} from '../src/configurationfile.ts'
import type { DocumentRefused } from '../src/errors.ts'

const FILE = {
  editedFrom: 7,
  services: { 'label-check': { shares: { 'provider-a': 60, 'provider-b': 40 } } },
  providers: { 'provider-a': { expectedTargets: 3 }, 'provider-b': { expectedTargets: 2 } },
  tenants: { magnolia: {} },
  draining: { providers: ['provider-b'] }
}

function linesOf (result: Result<unknown, DocumentRefused>): string[] {
  return result.isOk() ? [] : result.error.message.split('\n')
}

function withShares (shares: object): object {
  return { ...FILE, services: { 'label-check': { shares } } }
}

test('a file gets all defaults', () => {
  expect(checkConfigurationFile(FILE)._unsafeUnwrap()).toLooseEqual({
    ...FILE,
    tenants: { magnolia: { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1 } },
    draining: { targets: [], racks: [], dataCentres: [], providers: ['provider-b'] }
  })
})

const NAME_FORM = 'the name must be 1 to 64 letters, digits, dots, underscores and hyphens, the first a letter or digit'
const SHARES_EXAMPLE = 'example: {"provider-a":60,"provider-b":40}'

const FAULTS: Array<{ name: string, file: unknown, lines: string[] }> = [
  { name: 'shares below 100', file: withShares({ 'provider-a': 60, 'provider-b': 39 }), lines: [`services.label-check.shares: shares sum to 99, not to 100; ${SHARES_EXAMPLE}`] },
  { name: 'shares above 100', file: withShares({ 'provider-a': 60, 'provider-b': 40.5 }), lines: [`services.label-check.shares: shares sum to 100.5, not to 100; ${SHARES_EXAMPLE}`] },
  { name: 'no shares', file: withShares({}), lines: [`services.label-check.shares: shares sum to 0, not to 100; ${SHARES_EXAMPLE}`] },
  { name: 'a negative share', file: withShares({ 'provider-a': 110, 'provider-b': -10 }), lines: ['services.label-check.shares.provider-a: must be at most 100; example: 60', 'services.label-check.shares.provider-b: must be at least 0; example: 60'] },
  {
    name: 'a provider that is not declared',
    file: withShares({ 'provider-c': 100 }),
    lines: ['services.label-check.shares.provider-c: provider provider-c is not declared under providers; example: "providers":{"provider-c":{"expectedTargets":3}}']
  },
  {
    name: 'a provider named like an inherited property',
    file: withShares({ constructor: 100 }),
    lines: ['services.label-check.shares.constructor: provider constructor is not declared under providers; example: "providers":{"constructor":{"expectedTargets":3}}']
  },
  {
    name: 'a share for a provider without targets',
    file: { ...FILE, providers: { ...FILE.providers, 'provider-b': { expectedTargets: 0 } } },
    lines: ['services.label-check.shares.provider-b: provider provider-b has no target: its expectedTargets is 0; example: 0, or an expectedTargets of 1 or more']
  },
  { name: 'a negative number of expected targets', file: { ...FILE, providers: { ...FILE.providers, 'provider-b': { expectedTargets: -1 } } }, lines: ['providers.provider-b.expectedTargets: must be at least 0; example: 3'] },
  { name: 'a negative rate', file: { ...FILE, tenants: { magnolia: { tasksPerSecond: -1 } } }, lines: ['tenants.magnolia.tasksPerSecond: must be at least 0; example: 500'] },
  { name: 'a negative quota of slots', file: { ...FILE, tenants: { magnolia: { slots: -1 } } }, lines: ['tenants.magnolia.slots: must be at least 0; example: 40'] },
  { name: 'a weight of 0', file: { ...FILE, tenants: { magnolia: { weight: 0 } } }, lines: ['tenants.magnolia.weight: must be above 0; example: 1'] },
  { name: 'an unknown field of the file', file: { ...FILE, shares: {} }, lines: ['shares: is an unknown field; example: one of the known fields editedFrom, services, providers, tenants, draining'] },
  { name: 'an unknown field of a tenant', file: { ...FILE, tenants: { magnolia: { quota: 1 } } }, lines: ['tenants.magnolia.quota: is an unknown field; example: one of the known fields tasksPerSecond, burst, slots, weight'] },
  { name: 'a name with a space', file: { ...FILE, tenants: { 'a b': {} } }, lines: [`tenants["a b"]: ${NAME_FORM}; example: label-check`] },
  { name: 'a drain of a provider that is not declared', file: { ...FILE, draining: { providers: ['provider-z'] } }, lines: ['draining.providers[0]: provider provider-z is not declared under providers; example: provider-a, provider-b'] },
  { name: 'no services', file: { ...FILE, services: undefined }, lines: ['services: is missing; example: {"label-check":{"shares":{"provider-a":60,"provider-b":40}}}'] }
]

for (const { name, file, lines } of FAULTS) {
  test(`file refused: ${name}`, () => {
    expect(linesOf(checkConfigurationFile(file))).toEqual(lines)
  })
}

test('shares in thirds are accepted despite rounding', () => {
  const shares = { 'provider-a': 100 / 3, 'provider-b': 200 / 3 }
  expect(checkConfigurationFile(withShares(shares)).isOk()).toEqual(true)
})

test('a share of 0 is accepted for a provider without targets', () => {
  const file = { ...FILE, services: { 'label-check': { shares: { 'provider-a': 100, 'provider-b': 0 } } }, providers: { ...FILE.providers, 'provider-b': { expectedTargets: 0 } } }
  expect(checkConfigurationFile(file).isOk()).toEqual(true)
})

test('file rejected: not JSON', () => {
  expect(linesOf(parseConfigurationFile('{"services":'))).toEqual(['(document): is not JSON: Unexpected end of JSON input; example: {"name":"value"}'])
})

// Record schemas silently drop a service named __proto__. If the file were accepted, every job of that
// service would be rejected as one for an unknown service.
test('a reserved name is rejected instead of dropped', () => {
  expect(linesOf(parseConfigurationFile('{"services":{"__proto__":{}}}'))).toEqual(['(document): is not JSON: the name __proto__ is reserved; example: {"name":"value"}'])
})

test('file rejected: larger than the value limit of the store', () => {
  const lines = linesOf(parseConfigurationFile(' '.repeat(1_048_577)))
  expect(lines).toEqual(['(document): has 1048577 bytes, and the key-value service holds 1048576 at most; example: fewer services or tenants'])
})

// Every ordinary object inherits a property named "constructor". A job for a service of that name would
// be accepted as one for a known service and fail later with a misleading error.
test('a configuration has no inherited names', () => {
  const configuration = parseConfiguration(Buffer.from(JSON.stringify(FILE)), 8)._unsafeUnwrap()
  expect(configuration.version).toEqual(8)
  expect(configuration.services['constructor']).toEqual(undefined)
  expect(configuration.draining.providers).toEqual(['provider-b'])
})

test('a stored record yields the configuration and the document for other instances', () => {
  const record = { version: 8, applyId: 'a', appliedAt: '2026-01-01T00:00:00.000Z', document: FILE }
  const { configuration, document } = readStoredConfiguration(Buffer.from(JSON.stringify(record)))._unsafeUnwrap()
  expect(parseConfiguration(document, 8)._unsafeUnwrap()).toLooseEqual(configuration)
})

test('a service whose providers are all draining causes a warning', () => {
  const file = checkConfigurationFile({ ...FILE, draining: { providers: ['provider-a', 'provider-b'] } })._unsafeUnwrap()
  expect(findWarnings(file)).toEqual(['services.label-check: every provider with a share is draining, so its jobs will be refused'])
})
