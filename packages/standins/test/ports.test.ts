/** Ports for daemons of test files that run side by side. */
import { expect } from 'earl'
import { test } from 'node:test'

import { PORT_BLOCK } from '../src/defaults.ts'
import { PortPicker } from '../src/ports.ts'

// A fleet fails to start: "cannot listen, EADDRINUSE". Two test files picked the same port while it
// was free for both, and the daemon of the first had taken it when that of the second came to listen.
test('two pickers never hand out the same port', async () => {
  const pickers = [new PortPicker(), new PortPicker()]
  const ports: number[] = []
  for (let round = 0; round < PORT_BLOCK; round++) {
    for (const picker of pickers) ports.push(await picker.pick())
  }
  expect(new Set(ports).size).toEqual(ports.length)
})
