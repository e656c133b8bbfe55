/** Tests of the codec against the generated protocol types, with a round trip of every message type. */
import type { AgentToEntry, Answer, EntryToAgent, Job, PeerMessage, View } from '@amaranthmast/coordination/messages'
import type { DescMessage } from '@bufbuild/protobuf'
import { AnswerKind, Cause, JobState, LedgerState, SubmitStatus, TaskOutcome } from '@amaranthmast/coordination/messages'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { expect } from 'earl'
import { test } from 'node:test'
import { encodeAgentFrame, decodeAgentFrame, CodecError, encodeEntryFrame, decodeEntryFrame, encodePeerFrame, decodePeerFrame } from '../src/codec.ts'
import type { AgentItem, EntryItem, PeerItem } from '../src/inner_pb.ts'
import {
  AgentFrameSchema, AgentItemSchema, AnswerKindSchema, CauseSchema, EntryFrameSchema, EntryItemSchema, JobStateSchema,
  LedgerStateSchema, PeerFrameSchema, PeerItemSchema, SubmitStatusSchema, TaskOutcomeSchema
} from '../src/inner_pb.ts'

/** Removes the generator's additions from a type and widens enums to numbers. */
type Plain<T> =
  T extends Uint8Array ? Uint8Array
    : T extends number ? number
      : T extends Array<infer Element> ? Array<Plain<Element>>
        : T extends object ? { [Key in keyof T as Key extends '$typeName' | '$unknown' ? never : Key]: Plain<T[Key]> }
          : T
type Complete<T> = T extends Uint8Array ? T : T extends object ? { [Key in keyof T]-?: Complete<T[Key]> } : T
type Known<T> = Exclude<T, { case: undefined }>
/** Is `true` only if the decision logic's type and the wire type have the same cases and fields; otherwise `never`. */
type Agrees<Logic extends Plain<Known<Wire>>, Wire extends { case: unknown }> =
  Complete<Plain<Known<Wire>>> extends Plain<Logic> ? true : never
const agreements: [Agrees<EntryToAgent, EntryItem['message']>, Agrees<AgentToEntry, AgentItem['message']>, Agrees<PeerMessage, PeerItem['message']>] =
  [true, true, true]

const bytes = Uint8Array.from([0, 255, 7])

const view: View = {
  version: 7,
  members: [{ instance: 'entry-1#a', address: 'http://10.0.0.1:7101', dataCentre: 'gulf-1', leaving: true }],
  fenced: ['entry-2#b']
}

const answer: Answer = { kind: AnswerKind.MayHaveRun, cause: Cause.EntryLost, detail: 'lost', results: [bytes, bytes], retryAfterMilliseconds: 12.5 }

const job: Job = {
  key: 'magnolia/1',
  tenant: 'magnolia',
  service: 'label-check',
  digest: 'd',
  repeatable: true,
  remainingMilliseconds: 1500.25,
  lodgedAt: 1796236112000,
  tasks: [{ payload: bytes, runMilliseconds: 200, needs: { accelerators: 1, memoryMegabytes: 512 } }]
}

const reference = { job: job.key, index: 3, attempt: 2 }
const report = { running: 1, queued: 2, credit: 3, leaving: true, viewVersion: 4, configurationVersion: 5 }
const configuration = { version: 3, document: bytes }
const hello = { instance: 'entry-1#a', view, configurationVersion: 3 }
const heartbeat = { sent: 17.5, viewVersion: 7, configurationVersion: 3 }

const toAgent: EntryToAgent[] = [
  { case: 'hello', value: hello },
  { case: 'view', value: { view } },
  {
    case: 'dispatch',
    value: {
      ...reference,
      agent: 'agent-1#c',
      tenant: 'magnolia',
      service: 'label-check',
      payload: bytes,
      remainingMilliseconds: 900,
      patienceMilliseconds: -20.5,
      runMilliseconds: 50,
      needs: { accelerators: 0, memoryMegabytes: 0 }
    }
  },
  { case: 'cancel', value: { tasks: [reference] } },
  { case: 'acknowledge', value: { tasks: [reference, { ...reference, index: 4 }] } },
  { case: 'recall', value: { epoch: 'e', view } },
  { case: 'heartbeatReply', value: { sent: 17.5, viewVersion: 7, confirmedAgeMilliseconds: 40.5 } },
  { case: 'configuration', value: configuration }
]

const toEntry: AgentToEntry[] = [
  {
    case: 'announce',
    value: {
      instance: 'agent-1#c',
      target: { target: 'agent-1', provider: 'provider-a', services: ['label-check'], slots: 8, accelerators: 2, memoryMegabytes: 65536, dataCentre: 'gulf-1', rack: 'r1' },
      report
    }
  },
  { case: 'report', value: report },
  { case: 'result', value: { ...reference, outcome: TaskOutcome.Succeeded, payload: bytes, detail: 'done', runMilliseconds: 51.5 } },
  {
    case: 'recalled',
    value: { epoch: 'e', lines: [{ ...reference, state: LedgerState.Finished, outcome: TaskOutcome.Failed, payload: bytes, payloadHeld: true, detail: 'failed' }] }
  },
  { case: 'heartbeat', value: heartbeat }
]

const toPeer: PeerMessage[] = [
  { case: 'hello', value: hello },
  { case: 'heartbeat', value: heartbeat },
  { case: 'submit', value: { job, submission: 's' } },
  { case: 'submitted', value: { job: job.key, submission: 's', status: SubmitStatus.HeldElsewhere, holder: 'entry-2#b' } },
  { case: 'answer', value: { job: job.key, submission: 's', answer } },
  { case: 'receipt', value: { job: job.key, digest: 'd', executor: 'entry-1#a', answer } },
  { case: 'receiptKept', value: { job: job.key } },
  { case: 'cancel', value: { job: job.key, submission: 's' } },
  { case: 'lookUp', value: { job: job.key, submission: 's' } },
  { case: 'lookedUp', value: { job: job.key, submission: 's', state: JobState.Answered, answer } },
  {
    case: 'transfer',
    value: { view, receipts: [{ job: job.key, digest: 'd', executor: 'entry-1#a' }], agents: ['agent-1#c'], complete: true, losses: 2, horizon: 1796236112000 }
  },
  { case: 'refused', value: { instance: 'entry-2#b' } },
  { case: 'configuration', value: configuration }
]

const directions = [
  { name: 'from an entry to an agent', item: EntryItemSchema, messages: toAgent, roundTrip: () => decodeEntryFrame(fromBinary(EntryFrameSchema, toBinary(EntryFrameSchema, encodeEntryFrame(toAgent)))) },
  { name: 'from an agent to an entry', item: AgentItemSchema, messages: toEntry, roundTrip: () => decodeAgentFrame(fromBinary(AgentFrameSchema, toBinary(AgentFrameSchema, encodeAgentFrame(toEntry)))) },
  { name: 'between entries', item: PeerItemSchema, messages: toPeer, roundTrip: () => decodePeerFrame(fromBinary(PeerFrameSchema, toBinary(PeerFrameSchema, encodePeerFrame(toPeer)))) }
]

for (const { name, item, messages, roundTrip } of directions) {
  test(`every message type ${name} has a sample in this test`, () => {
    expect(messages.map(message => message.case as string)).toEqual(casesOf(item))
  })

  test(`messages in a frame ${name} are unchanged and in order after a round trip`, () => {
    expect(roundTrip().map(withoutTypeNames)).toEqual(messages.map(withoutTypeNames))
  })
}

test('the types of the decision logic and the wire format agree', () => {
  expect(agreements).toEqual([true, true, true])
})

const enums = [
  { name: 'TaskOutcome', logic: TaskOutcome, wire: TaskOutcomeSchema },
  { name: 'LedgerState', logic: LedgerState, wire: LedgerStateSchema },
  { name: 'AnswerKind', logic: AnswerKind, wire: AnswerKindSchema },
  { name: 'Cause', logic: Cause, wire: CauseSchema },
  { name: 'SubmitStatus', logic: SubmitStatus, wire: SubmitStatusSchema },
  { name: 'JobState', logic: JobState, wire: JobStateSchema }
]

for (const { name, logic, wire } of enums) {
  test(`${name} has the same numbers in the decision logic and the wire format`, () => {
    const names = Object.entries(logic).filter(([, value]) => typeof value === 'number')
    expect(Object.fromEntries(names)).toEqual(Object.fromEntries(wire.values.map(value => [pascalCase(value.localName), value.number])))
  })
}

test('encoding a frame does not copy payloads', () => {
  const frame = encodeEntryFrame([{ case: 'configuration', value: configuration }])
  const message = frame.items[0]?.message
  expect(message?.case === 'configuration' && message.value.document === bytes).toEqual(true)
})

test('encoding a frame does not modify its messages', () => {
  encodeEntryFrame([{ case: 'hello', value: hello }])
  expect(Object.keys(hello.view)).toEqual(['version', 'members', 'fenced'])
})

test('message types of a later release are ignored', () => {
  const frame = create(PeerFrameSchema, { items: [{}, { message: { case: 'refused', value: { instance: 'entry-2#b' } } }] })
  expect(decodePeerFrame(frame).map(message => message.case)).toEqual(['refused'])
})

const incomplete = [
  { part: 'view of hello', read: () => decodePeerFrame(create(PeerFrameSchema, { items: [{ message: { case: 'hello', value: {} } }] })) },
  { part: 'needs of a dispatch', read: () => decodeEntryFrame(create(EntryFrameSchema, { items: [{ message: { case: 'dispatch', value: {} } }] })) },
  { part: 'report of announce', read: () => decodeAgentFrame(create(AgentFrameSchema, { items: [{ message: { case: 'announce', value: { target: {} } } }] })) },
  { part: 'needs of a task', read: () => decodePeerFrame(create(PeerFrameSchema, { items: [{ message: { case: 'submit', value: { job: { tasks: [{}] } } } }] })) }
]

for (const { part, read } of incomplete) {
  test(`a message without the ${part} is rejected`, () => {
    expect(read).toThrow(CodecError)
  })
}

function casesOf (item: DescMessage): string[] {
  return item.fields.map(field => field.localName)
}

/** Recursively removes the type names that decoding adds. */
function withoutTypeNames (value: unknown): unknown {
  if (value instanceof Uint8Array) return [...value]
  if (Array.isArray(value)) return value.map(withoutTypeNames)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).filter(([key]) => key !== '$typeName').map(([key, part]) => [key, withoutTypeNames(part)]))
}

function pascalCase (name: string): string {
  return name.split('_').map(word => word.charAt(0) + word.slice(1).toLowerCase()).join('')
}
