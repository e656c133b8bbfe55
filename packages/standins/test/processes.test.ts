import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import type { TestContext } from 'node:test'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

import { expect } from 'earl'

import { LaunchError, ProcessGroup } from '@amaranthmast/standins/processes'
import { waitFor } from '@amaranthmast/standins/wait'

const READY = 'console.log("ready"); setInterval(() => {}, 1000);'

async function scriptOf (context: TestContext, source: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'standins-'))
  context.after(() => rm(folder, { recursive: true }))
  const path = join(folder, 'script.mjs')
  await writeFile(path, source)
  return path
}

function isAlive (pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

const readyLine = (line: string): boolean => line === 'ready'

test('a group stops the processes that it launched', async context => {
  const script = await scriptOf(context, READY)
  const group = new ProcessGroup()
  const first = await group.launch({ name: 'first', script, readyLine })
  const second = await group.launch({ name: 'second', script, readyLine })
  expect(group.running().map(({ name }) => name)).toEqual(['first', 'second'])
  expect(await group.stop()).toEqual([])
  expect([isAlive(first.pid), isAlive(second.pid)]).toEqual([false, false])
})

test('a group kills a process that ignores SIGTERM and reports it', async context => {
  const script = await scriptOf(context, `process.on('SIGTERM', () => {}); ${READY}`)
  const group = new ProcessGroup()
  const stubborn = await group.launch({ name: 'stubborn', script, readyLine })
  expect(await stubborn.stop(100)).toEqual(false)
  expect(isAlive(stubborn.pid)).toEqual(false)
  await group.stop()
})

test('a group stops a process that is paused', async context => {
  const script = await scriptOf(context, READY)
  const group = new ProcessGroup()
  const paused = await group.launch({ name: 'paused', script, readyLine })
  paused.pause()
  expect(await group.stop()).toEqual([])
  expect(isAlive(paused.pid)).toEqual(false)
})

test('the launch of a process that ends before it is ready fails with the last lines of its output', async context => {
  const script = await scriptOf(context, 'console.error("port 1 is taken"); process.exit(3)')
  const group = new ProcessGroup()
  context.after(() => group.stop())
  const error = await group.launch({ name: 'early', script, readyLine }).catch((failure: unknown) => failure)
  expect(error).toBeA(LaunchError)
  expect((error as Error).message).toInclude('port 1 is taken')
})

test('a process that is never ready is killed and its launch fails', async context => {
  const script = await scriptOf(context, 'setInterval(() => {}, 1000)')
  const group = new ProcessGroup()
  context.after(() => group.stop())
  await expect(group.launch({ name: 'late', script, readyLine, timeout: 300 })).toBeRejectedWith(LaunchError)
  expect(group.running()).toEqual([])
})

const ENDINGS = [
  { name: 'SIGINT', after: '', signal: 'SIGINT' as const },
  { name: 'SIGTERM', after: '', signal: 'SIGTERM' as const },
  { name: 'an exception', after: 'setTimeout(() => { throw new Error("boom") }, 1)', signal: undefined },
  { name: 'a rejected promise', after: 'Promise.reject(new Error("boom"))', signal: undefined }
]

for (const { name, after, signal } of ENDINGS) {
  test(`a launcher that ends by ${name} leaves no process behind`, async context => {
    const child = await scriptOf(context, READY)
    const source = fileURLToPath(import.meta.resolve('@amaranthmast/standins/processes'))
    const launcher = await scriptOf(context, `
      import { ProcessGroup } from ${JSON.stringify(source)}
      const group = new ProcessGroup()
      const launched = await group.launch({ name: 'child', script: ${JSON.stringify(child)}, readyLine: line => line === 'ready' })
      console.log(launched.pid)
      ${after}`)
    const parent = spawn(process.execPath, ['--import', import.meta.resolve('tsx'), launcher], { stdio: ['ignore', 'pipe', 'ignore'] })
    const ended = once(parent, 'exit')
    const [line] = await once(createInterface({ input: parent.stdout }), 'line') as [string]
    if (signal !== undefined) parent.kill(signal)
    await ended
    await waitFor('the child to end', 5000, 10, () => !isAlive(Number(line)))
  })
}
