/** `apply`: a file is accepted once or refused as a whole, in spite of races, lost answers and outages of the store. */
import { test } from 'node:test'
import { LostAnswerMode, Outage } from '@amaranthmast/standins/keyvaluefaults'
import { StoreTimedOut } from '@amaranthmast/store/errors'
import { expect } from 'earl'
import { errAsync, ResultAsync } from 'neverthrow'
import type { Arguments, Report } from '../src/command.ts'
import { RaceLost, ToolError } from '../src/errors.ts'
import { ExitCode } from '../src/exitcodes.ts'
import type { Tool } from './toolcontext.ts'
import { fileWith, linesOf, startTool } from './toolcontext.ts'

function textOf (outcome: Report | ToolError): string {
  return linesOf(outcome).join('\n')
}

test('an apply writes the version and its history together', async (context) => {
  const { tool } = await startTool(context)
  const outcome = await tool.apply(fileWith(0, 60))
  expect(outcome.exitCode).toEqual(ExitCode.Done)
  expect(textOf(outcome)).toInclude('Version 1 is accepted (apply apply-1).\n  + service label-check: provider-a 60 %, provider-b 40 %')
  const { configuration, 'history/00000001': past } = await tool.stored()
  expect(configuration?.version).toEqual(1)
  expect(past).toEqual(configuration)
})

test('a file identical to the configuration in force is not written', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  const { revision } = store
  const outcome = await tool.apply(fileWith(0, 60))
  expect(outcome.exitCode).toEqual(ExitCode.Done)
  expect(textOf(outcome)).toEqual('Version 1 holds exactly this already: nothing was written.')
  expect(store.revision).toEqual(revision)
})

// Two operators edit version 1 concurrently. Without the check of the base the second apply would
// silently revert the changes of the first.
test('the loser of a race gets the changes since its base', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  await tool.apply(fileWith(1, 20))
  const { revision } = store
  const outcome = await tool.apply(fileWith(1, 80))
  expect(outcome.exitCode).toEqual(ExitCode.Refused)
  expect(textOf(outcome)).toEqual([
    'nothing was written: the file was edited from version 1, and version 2 is in force.',
    'Changed since version 1:',
    '  ~ service label-check: share of provider-a 60 % -> 20 %',
    '  ~ service label-check: share of provider-b 40 % -> 80 %',
    'Run get, make your changes in what it prints, and apply that.'
  ].join('\n'))
  expect(store.revision).toEqual(revision)
})

// Both operators pass the check of the base before either has written. Only the compare-and-swap in
// the store decides the race.
test('one of two simultaneous applies wins', async (context) => {
  const { tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  tool.files.one = fileWith(1, 20)
  tool.files.other = fileWith(1, 80)
  const outcomes = await Promise.all(['one', 'other'].map((file) => tool.run('apply', { file })))
  expect(outcomes.map(({ exitCode }) => exitCode).sort()).toEqual([ExitCode.Done, ExitCode.Refused])
  expect(outcomes.find((outcome) => outcome instanceof ToolError)).toBeA(RaceLost)
  expect((await tool.stored()).configuration?.version).toEqual(2)
})

// The store applies the write and its answer is lost. If the tool reported a failure, the operator
// would apply again; without a result the operator does not know which shares are in force.
for (const loseAnswersBy of Object.values(LostAnswerMode)) {
  test(`the outcome of an apply is settled after one lost answer, ${loseAnswersBy}`, async (context) => {
    const { store, tool } = await startTool(context)
    await tool.apply(fileWith(0, 60))
    await store.setFaults({ loseAnswers: 1, loseAnswersBy })
    const { revision } = store
    const outcome = await tool.apply(fileWith(1, 20))
    expect(outcome.exitCode).toEqual(ExitCode.Done)
    expect(textOf(outcome)).toInclude('Version 2 is accepted (apply apply-2).')
    expect(store.revision).toEqual(revision + 1)
  })
}

/** Replaces the outcome of the next write to the configuration. */
function interceptWrite (tool: Tool, outcome: (send: () => ReturnType<CompareAndSwap>) => ReturnType<CompareAndSwap>): void {
  const { client } = tool
  tool.configurationClient = {
    read: (key) => client.read(key),
    compareAndSwap: (...write) => {
      const isFirst = tool.configurationClient !== client
      tool.configurationClient = client
      return isFirst ? outcome(() => client.compareAndSwap(...write)) : client.compareAndSwap(...write)
    }
  }
}

type CompareAndSwap = Tool['client']['compareAndSwap']

/** Fails with the error after another operation has completed. */
function failAfter<E> (sideEffect: () => Promise<unknown>, error: E): ResultAsync<never, E> {
  return ResultAsync.fromSafePromise(sideEffect()).andThen(() => errAsync(error))
}

// The write takes effect and its answer is lost. Before the tool retries, another operator applies
// a later version, so that only the history holds this apply. Without the history the tool would
// report a lost race although the apply took effect.
test('an apply that a later one has replaced is found in the history', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  await store.setFaults({ loseAnswers: 1 })
  interceptWrite(tool, (send) => send().orElse((error) => failAfter(() => tool.apply(fileWith(2, 80)), error)))
  const outcome = await tool.apply(fileWith(1, 20))
  expect(outcome.exitCode).toEqual(ExitCode.Done)
  expect(textOf(outcome)).toInclude('Version 2 is accepted (apply apply-2).')
  expect(textOf(outcome)).toInclude('A later apply has replaced it since: version 3 is in force.')
})

// The write is lost in transit and never takes effect, while others apply. The tool must not
// report one of their versions as its own.
for (const others of [1, 2]) {
  test(`a write lost in transit loses the race to ${others} others`, async (context) => {
    const { tool } = await startTool(context)
    await tool.apply(fileWith(0, 60))
    const applyOthers = async () => {
      for (let base = 1; base <= others; base++) await tool.apply(fileWith(base, 10 * base))
    }
    interceptWrite(tool, () => failAfter(applyOthers, new StoreTimedOut('lost on the way', true)))
    const outcome = await tool.apply(fileWith(1, 90))
    expect(outcome).toBeA(RaceLost)
    expect((await tool.stored()).configuration?.version).toEqual(1 + others)
  })
}

for (const outage of [Outage.Refuse, Outage.Hang, Outage.NoLeader]) {
  test(`an apply during an outage changes nothing, ${outage}`, async (context) => {
    const { store, tool } = await startTool(context)
    await tool.apply(fileWith(0, 60))
    await store.setFaults({ outage })
    const outcome = await tool.apply(fileWith(1, 20))
    expect(outcome.exitCode).toEqual(ExitCode.StoreUnavailable)
    expect(textOf(outcome)).toInclude('nothing was changed')
    await store.clearFaults()
    expect(Object.keys(await tool.stored())).toEqual(['configuration', 'history/00000001'])
  })
}

test('an outage between read and write changes nothing', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  interceptWrite(tool, (send) => ResultAsync.fromSafePromise(store.setFaults({ outage: Outage.NoLeader })).andThen(send))
  const outcome = await tool.apply(fileWith(1, 20))
  expect(outcome.exitCode).toEqual(ExitCode.StoreUnavailable)
  await store.clearFaults()
  expect((await tool.stored()).configuration?.version).toEqual(1)
})

// The store goes down right after it applied the write, so neither success nor failure is certain.
// The tool must report the outcome as unknown, and a later apply of the same file must not write twice.
test('an outage right after the write leaves the outcome unknown', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  await store.setFaults({ loseAnswers: 1 })
  interceptWrite(tool, (send) => send().orElse((error) => failAfter(() => store.setFaults({ outage: Outage.Refuse }), error)))
  const outcome = await tool.apply(fileWith(1, 20))
  expect(outcome.exitCode).toEqual(ExitCode.Unsettled)
  expect(textOf(outcome)).toInclude('may have taken effect as version 2')
  await store.clearFaults()
  expect(textOf(await tool.apply(fileWith(1, 20)))).toEqual('Version 2 holds exactly this already: nothing was written.')
})

// A lagging replica answers the read of the base with a version older than the one that was
// edited. Trusting it would report a lost race that did not happen.
test('a stale answer is not reported as a lost race', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  await tool.apply(fileWith(1, 20))
  await store.setFaults({ staleRevisions: 1 })
  const outcome = await tool.apply(fileWith(2, 80))
  expect(outcome.exitCode).toEqual(ExitCode.Refused)
  expect(textOf(outcome)).toInclude('Its answer is stale, or it was restored from a copy')
})

// The base read is stale by one version, which is the one that the file was edited from. The
// compare-and-swap in the store still refuses the write.
test('a stale base is refused by the store', async (context) => {
  const { store, tool } = await startTool(context)
  await tool.apply(fileWith(0, 60))
  await tool.apply(fileWith(1, 20))
  await store.setFaults({ staleRevisions: 1 })
  const outcome = await tool.apply(fileWith(1, 80))
  expect(outcome.exitCode).toEqual(ExitCode.Refused)
  expect(textOf(outcome)).toInclude('version 2 is in force')
})

const TENANTS = Object.fromEntries(Array.from({ length: 16_000 }, (_, index) => [`tenant-${index}`, {}]))

const BAD_FILES: Array<{ title: string, content: unknown, text: string, options?: Partial<Arguments> }> = [
  { title: 'a missing file', content: '', text: 'cannot read g (ENOENT)', options: { file: 'g' } },
  { title: 'a file that is not JSON', content: '{', text: 'f is refused:\n  (document): is not JSON' },
  { title: 'a file with invalid fields', content: { ...fileWith(0, 60), share: 1 }, text: '  share: is an unknown field' },
  { title: 'a file above the limit', content: { ...fileWith(0, 60), tenants: TENANTS }, text: 'the key-value service holds 1048576 at most' }
]

for (const { title, content, text, options } of BAD_FILES) {
  test(`refused before any request to the store: ${title}`, async (context) => {
    const { store, tool } = await startTool(context)
    const outcome = await tool.apply(content, options)
    expect(outcome.exitCode).toEqual(ExitCode.BadInput)
    expect(textOf(outcome)).toInclude(text)
    expect(store.calls.reads + store.calls.writes).toEqual(0)
  })
}
