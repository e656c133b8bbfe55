/** The command line of the daemon: output and exit codes. */
import { expect } from 'earl'
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('../src/main.ts', import.meta.url))
const GOOD = { role: 'entry', id: 'entry-1', dataCentre: 'gulf-1', store: { endpoints: ['http://127.0.0.1:1'] } }

const cases = [
  { name: 'good settings are checked', settings: GOOD, args: ['--check-settings'], code: 0, out: 'good settings of the entry entry-1', err: '' },
  { name: 'each error in bad settings is reported', settings: { ...GOOD, id: 7, role: 'entry', callers: { port: 70_000 } }, args: ['--check-settings'], code: 2, out: '', err: 'callers.port' },
  { name: 'a daemon does not start with bad settings', settings: { ...GOOD, role: 'enrty' }, args: [], code: 2, out: '', err: 'role' },
  { name: 'a settings file that does not exist', args: ['--settings', '/nowhere'], code: 2, out: '', err: 'cannot read /nowhere (ENOENT)' },
  { name: 'no settings', args: [], code: 2, out: '', err: '--settings FILE is missing' },
  { name: 'an unknown option', args: ['--setings', 'x'], code: 2, out: '', err: "Unknown option '--setings'" },
  { name: 'help', args: ['--help'], code: 0, out: '--check-settings', err: '' },
  { name: 'version', args: ['--version'], code: 0, out: '0.1.0', err: '' },
  { name: 'an address that is in use or not of this machine', settings: { ...GOOD, status: { host: '203.0.113.1' } }, args: [], code: 1, out: '', err: 'cannot listen on 203.0.113.1' }
]

test('the command line', { concurrency: true }, async context => {
  const folder = await mkdtemp(join(tmpdir(), 'amaranthmastd-'))
  context.after(() => rm(folder, { recursive: true }))
  await Promise.all(cases.map(({ name, settings, args, code, out, err }, index) => context.test(`${name} (exit code ${code})`, async () => {
    const file = join(folder, `${index}.json`)
    if (settings !== undefined) await writeFile(file, JSON.stringify(settings))
    const ended = await run([...args, ...settings === undefined ? [] : ['--settings', file]])
    expect(ended.code).toEqual(code)
    expect(ended.out).toInclude(out)
    expect(ended.err).toInclude(err)
  })))
})

function run (args: string[]): Promise<{ code: number, out: string, err: string }> {
  return new Promise(resolve => {
    const child = execFile(process.execPath, ['--import', 'tsx', PROGRAM, ...args], (_error, out, err) => resolve({ code: child.exitCode ?? -1, out, err }))
  })
}
