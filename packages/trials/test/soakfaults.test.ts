import { after, test } from 'node:test'
import { ProcessGroup } from '@amaranthmast/standins/processes'
import { expect } from 'earl'
import { handlesSighup } from '../src/soakfaults.ts'

const PROGRAM = "process.on('SIGHUP', () => {}); console.log('up'); setInterval(() => {}, 1000)"

const processes = new ProcessGroup()
after(() => processes.stop())

// In seed 412 on a busy machine, an agent receives SIGHUP 400 ms after its start, before Node has started. No
// program can handle the signal then, so without this check the soak test reports an agent that exited by itself,
// without a log line.
test('a process is reported to handle SIGHUP only once its handler is installed', async () => {
  const justStarted = processes.start({ name: 'just-started', script: 'none', nodeArguments: ['--eval', PROGRAM] })
  expect(handlesSighup(justStarted.pid)).toEqual(false)
  const initialized = await processes.launch({ name: 'initialized', script: 'none', nodeArguments: ['--eval', PROGRAM], readyLine: line => line === 'up' })
  expect(handlesSighup(initialized.pid)).toEqual(true)
})
