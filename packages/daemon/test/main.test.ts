/** The command line of the daemon: what it prints where, and its exit codes. */
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
  { name: 'good settings are checked', settings: GOOD, words: ['--check-settings'], code: 0, out: 'good settings of the entry entry-1', err: '' },
  { name: 'bad settings are named fault by fault', settings: { ...GOOD, id: 7, role: 'entry', callers: { port: 70_000 } }, words: ['--check-settings'], code: 2, out: '', err: 'callers.port' },
  { name: 'a daemon does not start with bad settings', settings: { ...GOOD, role: 'enrty' }, words: [], code: 2, out: '', err: 'role' },
  { name: 'a settings file that is not there', words: ['--settings', '/nowhere'], code: 2, out: '', err: 'cannot read /nowhere (ENOENT)' },
  { name: 'no settings', words: [], code: 2, out: '', err: '--settings FILE is missing' },
  { name: 'an option that is not known', words: ['--setings', 'x'], code: 2, out: '', err: "Unknown option '--setings'" },
  { name: 'help', words: ['--help'], code: 0, out: '--check-settings', err: '' },
  { name: 'version', words: ['--version'], code: 0, out: '0.1.0', err: '' },
  { name: 'an address that is in use or not of this machine', settings: { ...GOOD, status: { host: '203.0.113.1' } }, words: [], code: 1, out: '', err: 'cannot listen on 203.0.113.1' }
]

test('the command line', { concurrency: true }, async context => {
  const folder = await mkdtemp(join(tmpdir(), 'amaranthmastd-'))
  context.after(() => rm(folder, { recursive: true }))
  await Promise.all(cases.map(({ name, settings, words, code, out, err }, index) => context.test(`${name} (exit code ${code})`, async () => {
    const file = join(folder, `${index}.json`)
    if (settings !== undefined) await writeFile(file, JSON.stringify(settings))
    const ended = await run([...words, ...settings === undefined ? [] : ['--settings', file]])
    expect(ended.code).toEqual(code)
    expect(ended.out).toInclude(out)
    expect(ended.err).toInclude(err)
  })))
})

function run (words: string[]): Promise<{ code: number, out: string, err: string }> {
  return new Promise(resolve => {
    const child = execFile(process.execPath, ['--import', 'tsx', PROGRAM, ...words], (_error, out, err) => resolve({ code: child.exitCode ?? -1, out, err }))
  })
}
