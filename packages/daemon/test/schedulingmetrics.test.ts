import type { SchedulingStatus } from '@amaranthmast/dispatch/schedulingstatus'
import { test } from 'node:test'
import { expect } from 'earl'
import { Exposition } from '../src/exposition.ts'
import { exposeScheduling } from '../src/schedulingmetrics.ts'

const STATUS: SchedulingStatus = {
  room: { groups: [{ group: 'one', entry: 'self', free: 4500 }, { group: 'two', entry: 'other', free: 9000 }], lag: 3, lagging: false, asked: 2, waiting: 1, answerMilliseconds: 4, requests: 0 },
  admission: [{
    name: 'check',
    service: 'checks',
    priority: 0,
    offered: 40,
    running: 20,
    waiting: 3,
    share: 30,
    borrowed: 5,
    threshold: 0.75,
    counts: { offered: 12, admitted: 9, refused: { overload: 3 }, inTime: 8, late: 1 },
    dataCentres: { north: { offered: 40, running: 20, waiting: 3 } }
  }],
  speeds: { classes: [{ speed: 1.3, targets: 5, certain: 4 }], kinds: { b: 1.3 }, mean: 1 },
  capacity: [{ service: 'checks', total: 64_000, free: 8000, targets: 2, leaving: 1, evacuated: 0, away: 0, awayWhenLost: 0, awayWhenLeft: 0, ahead: { 1000: 32_000 } }]
}

function lines (): string[] {
  const exposition = new Exposition()
  exposeScheduling(exposition, 'self', STATUS)
  return exposition.text().split('\n').filter(line => !line.startsWith('#'))
}

test('an entry exposes the free capacity of its own groups, not that reported by other entries', () => {
  expect(lines().filter(line => line.startsWith('amaranthmast_room_cores'))).toEqual(['amaranthmast_room_cores{group="one",entry="self",figure="free"} 4.5'])
})

test('the share that explains a refusal is exposed by queue', () => {
  const shown = lines()
  expect(shown.includes('amaranthmast_share_cores{queue="check",figure="threshold"} 0.75')).toEqual(true)
  expect(shown.includes('amaranthmast_admission_refused_total{queue="check",cause="overload",figure="refused"} 3')).toEqual(true)
})

test('capacity is exposed in cores, both current and forecast', () => {
  const shown = lines().filter(line => line.startsWith('amaranthmast_capacity_cores') && line.includes('figure="total"'))
  expect(shown).toEqual(['amaranthmast_capacity_cores{service="checks",ahead="0",figure="total"} 64', 'amaranthmast_capacity_cores{service="checks",ahead="1000",figure="total"} 32'])
})
