/** Reads the start records of target stand-ins. */
import { request } from 'undici'

import { POLL_INTERVAL, SETTLE_TIMEOUT } from './defaults.ts'
import type { TargetRecords } from './records.ts'
import { waitFor } from './wait.ts'

/** Fetches the records of every target. Rejects when one cannot be reached. */
export async function fetchRecords (targets: readonly string[]): Promise<TargetRecords[]> {
  return await Promise.all(targets.map(fetchTarget))
}

/** Fetches the records once no target has a task running, so that every start has ended. */
export async function fetchSettledRecords (targets: readonly string[]): Promise<TargetRecords[]> {
  let records: TargetRecords[] = []
  await waitFor('all targets to finish their runs', SETTLE_TIMEOUT, POLL_INTERVAL, async () => {
    records = await fetchRecords(targets)
    return records.every(target => target.running === 0)
  })
  return records
}

async function fetchTarget (target: string): Promise<TargetRecords> {
  const response = await request(`${target}/records`)
  return await response.body.json() as TargetRecords
}
