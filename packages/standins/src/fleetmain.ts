/**
 * A small system for trying the software out: the store stand-in, 3 entries, and 4 agents with their
 * targets at 2 providers. It prints the variables that a shell needs and runs until it is interrupted.
 */
import { once } from 'node:events'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Fleet } from './fleet.ts'

const ENTRIES = 3
const AGENTS = 4

async function main (): Promise<void> {
  const fleet = new Fleet({ programs: dirname(fileURLToPath(import.meta.url)), entries: ENTRIES, agents: AGENTS })
  try {
    await fleet.start()
    console.log(`export ENTRY=${fleet.callersUrls[0]}`)
    console.log(`export AMARANTHMAST_STORE=${fleet.storeUrl}`)
    console.log('The fleet is up. Paste the two lines into another terminal. Ctrl-C stops everything.')
    await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')])
  } finally {
    await fleet.stop()
  }
}

await main()
