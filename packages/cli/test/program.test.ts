/** Command line: parsing, output streams and exit codes. */
import { test } from 'node:test'
import { KeyValueStandIn } from '@amaranthmast/standins/keyvalue'
import { expect } from 'earl'
import { COMMANDS } from '../src/commands.ts'
import { openContext } from '../src/context.ts'
import { ExitCode } from '../src/exitcodes.ts'
import { runProgram } from '../src/program.ts'

/** Runs the tool and captures its output. */
async function run (words: string[], environment: Record<string, string> = {}): Promise<{ code: ExitCode, out: string, err: string }> {
  const printed = { out: '', err: '' }
  const output = {
    out: (text: string) => { printed.out += text },
    err: (text: string) => { printed.err += text }
  }
  const code = await runProgram(words, { output, environment, open: openContext })
  return { code, ...printed }
}

const REFUSALS = [
  { words: [], text: 'Name a command.' },
  { words: ['aply'], text: 'Did you mean apply?' },
  { words: ['apply'], text: 'Not enough non-option arguments' },
  { words: ['apply', 'f', '--wiat'], text: 'Unknown argument: wiat' },
  { words: ['drain', 'worker', 'r1'], text: 'Choices: "target", "rack", "data-centre", "provider"' },
  { words: ['history', '--limit', 'x'], text: 'limit must be a number of at least 0' },
  { words: ['history', '--store', '127.0.0.1:2379'], text: 'store must be a http or https address, not "127.0.0.1:2379"' }
]

for (const { words, text } of REFUSALS) {
  test(`invalid command line: ${words.join(' ')}`, async () => {
    const { code, out, err } = await run(words)
    expect(code).toEqual(ExitCode.BadInput)
    expect(err).toInclude(text)
    expect(out).toEqual('')
  })
}

for (const name of Object.keys(COMMANDS)) {
  test(`help of ${name} shows every example`, async () => {
    const { code, out } = await run([name, '--help'])
    expect(code).toEqual(ExitCode.Done)
    for (const [line] of COMMANDS[name]?.examples ?? []) expect(out).toInclude(line.replace('$0', 'amaranthmast'))
  })
}

test('with --json an error is printed as one JSON object', async () => {
  const { code, out, err } = await run(['check', '/nowhere', '--json'])
  expect(code).toEqual(ExitCode.BadInput)
  expect(JSON.parse(out)).toEqual({ error: 'FILE_REFUSED', message: 'cannot read /nowhere (ENOENT): give the path of a file that this user may read' })
  expect(err).toEqual('')
})

test('get prints an empty configuration, with the store from the environment or an option', async (context) => {
  const store = new KeyValueStandIn()
  await store.start()
  context.after(() => store.stop())
  const byEnvironment = await run(['get', '--json'], { AMARANTHMAST_STORE: store.endpoint })
  const byOption = await run(['get', '--store', store.endpoint, '--json'])
  expect(byEnvironment).toEqual(byOption)
  expect(JSON.parse(byOption.out)).toEqual({ editedFrom: 0, services: {}, providers: {}, tenants: {}, draining: { targets: [], racks: [], dataCentres: [], providers: [] } })
})

test('environment variables of other commands are ignored', async () => {
  const { err } = await run(['check', '/nowhere'], { AMARANTHMAST_STATUS: 'http://127.0.0.1:1', AMARANTHMAST_OTHER: '1' })
  expect(err).toEqual('cannot read /nowhere (ENOENT): give the path of a file that this user may read\n')
})
