import { after, test } from 'node:test'
import { ProcessGroup } from '@amaranthmast/standins/processes'
import { expect } from 'earl'
import { handlesSighup } from '../src/soakfaults.ts'

const PROGRAM = "process.on('SIGHUP', () => {}); console.log('up'); setInterval(() => {}, 1000)"

const processes = new ProcessGroup()
after(() => processes.stop())

// Seed 412 on a busy machine: SIGHUP struck an agent 400 ms after its start, before Node had come up. No
// program can handle it then. The soak reported an agent that had ended by itself, without a log line.
test('a process counts as hung up only once it handles the signal', async () => {
  const young = processes.start({ name: 'young', script: 'none', nodeArguments: ['--eval', PROGRAM] })
  expect(handlesSighup(young.pid)).toEqual(false)
  const grown = await processes.launch({ name: 'grown', script: 'none', nodeArguments: ['--eval', PROGRAM], readyLine: line => line === 'up' })
  expect(handlesSighup(grown.pid)).toEqual(true)
})
