/** Tests of the lines that describe the changes between two files. */
import { test } from 'node:test'
import { expect } from 'earl'
import type { ConfigurationFile } from '../src/configurationfile.ts'
import { diffConfigurations, formatChanges } from '../src/difference.ts'

const BASE: ConfigurationFile = {
  editedFrom: 1,
  services: { 'label-check': { shares: { 'provider-a': 60, 'provider-b': 40 } } },
  providers: { 'provider-a': { expectedTargets: 3 }, 'provider-b': { expectedTargets: 2 } },
  tenants: { magnolia: { tasksPerSecond: 0, burst: 0, slots: 40, weight: 1 } },
  draining: { targets: [], racks: ['r1'], dataCentres: [], providers: [] }
}

const CASES: Array<{ name: string, after: Partial<ConfigurationFile>, lines: string[] }> = [
  { name: 'only the base version', after: { editedFrom: 9 }, lines: [] },
  {
    name: 'a share that moves to another provider',
    after: { services: { 'label-check': { shares: { 'provider-a': 20, 'provider-c': 80 } } } },
    lines: ['~ service label-check: share of provider-a 60 % -> 20 %', '~ service label-check: share of provider-b 40 % -> 0 %', '~ service label-check: share of provider-c 0 % -> 80 %']
  },
  {
    name: 'one service in place of another',
    after: { services: { certificate: { shares: { 'provider-a': 100 } } } },
    lines: ['+ service certificate: provider-a 100 %', '- service label-check: new jobs for it are refused']
  },
  {
    name: 'providers',
    after: { providers: { 'provider-a': { expectedTargets: 4 }, 'provider-c': { expectedTargets: 1 } } },
    lines: ['~ provider provider-a: expected targets 3 -> 4', '- provider provider-b: its targets receive no new work', '+ provider provider-c: 1 target expected']
  },
  {
    name: 'quotas',
    after: { tenants: { magnolia: { tasksPerSecond: 500, burst: 140, slots: 0, weight: 2 } } },
    lines: ['~ tenant magnolia: no limit of tasks per second -> 500 tasks per second', '~ tenant magnolia: burst 0 -> burst 140', '~ tenant magnolia: 40 slots -> no limit of slots', '~ tenant magnolia: weight 1 -> weight 2']
  },
  {
    name: 'one tenant in place of another',
    after: { tenants: { vaalrand: { tasksPerSecond: 0, burst: 0, slots: 0, weight: 1 } } },
    lines: ['- tenant magnolia: its new jobs are refused', '+ tenant vaalrand: no limit of tasks per second, burst 0, no limit of slots, weight 1']
  },
  {
    name: 'drains',
    after: { draining: { targets: ['agent-3'], racks: [], dataCentres: ['gulf-1'], providers: ['provider-a'] } },
    lines: ['! drain target agent-3: no new work, what runs is finished', '! end the drain of rack r1: it receives work again', '! drain data-centre gulf-1: no new work, what runs is finished', '! drain provider provider-a: no new work, what runs is finished']
  }
]

for (const { name, after, lines } of CASES) {
  test(`difference: ${name}`, () => {
    expect(formatChanges(diffConfigurations(BASE, { ...BASE, ...after }))).toEqual(lines)
  })
}

test('in the first file everything is new', () => {
  const types = diffConfigurations(undefined, BASE).map(({ type }) => type)
  expect(types).toEqual(['serviceAdded', 'providerAdded', 'providerAdded', 'tenantAdded', 'drainStarted'])
})
