/** Ports for daemons of test files that run in parallel. */
import { expect } from 'earl'
import { test } from 'node:test'

import { PORT_BLOCK } from '../src/defaults.ts'
import { PortPicker } from '../src/ports.ts'

// Guards against a fleet that fails to start with "cannot listen, EADDRINUSE": two test files pick the
// same port while it is free, and the daemon of one listens on it before the daemon of the other.
test('two pickers never hand out the same port', async () => {
  const pickers = [new PortPicker(), new PortPicker()]
  const ports: number[] = []
  for (let round = 0; round < PORT_BLOCK; round++) {
    for (const picker of pickers) ports.push(await picker.pick())
  }
  expect(new Set(ports).size).toEqual(ports.length)
})
