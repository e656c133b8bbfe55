/** The version in force only rises, and the document is sent once to peers that are behind. */
import { test } from 'node:test'
import { expect } from 'earl'
import * as fc from 'fast-check'
import type { AdoptionOptions, VersionedDocument } from '../src/adoption.ts'
import { ConfigurationAdoption, PeerSelection, Responsibility } from '../src/adoption.ts'

function versioned (version: number): VersionedDocument {
  return { version, document: Uint8Array.of(version) }
}

function adoption (options: Partial<AdoptionOptions> = {}): ConfigurationAdoption {
  return new ConfigurationAdoption({ random: () => 0, patienceMilliseconds: 500, ...options })
}

/** Offers the versions in order and returns which of them were adopted. */
function adopted (versions: number[]): boolean[] {
  const subject = adoption()
  return versions.map((version) => subject.offer(versioned(version), 0))
}

const OFFERS = [
  { title: 'the first version', versions: [3], taken: [true] },
  { title: 'the same version again', versions: [3, 3], taken: [true, false] },
  { title: 'a stale answer from the store', versions: [3, 2, 4], taken: [true, false, true] },
  { title: 'an empty store after data loss', versions: [3, 0], taken: [true, false] },
  { title: 'a version that skips others', versions: [3, 9], taken: [true, true] }
]

for (const { title, versions, taken } of OFFERS) {
  test(`offers: ${title}`, () => {
    expect(adopted(versions)).toEqual(taken)
  })
}

// The watch has delivered version 4. A read that was sent earlier, or that went to a lagging replica, then answers with
// version 3. Adopting the latest answer instead of the highest version would revert the apply on one entry.
test('a stale answer leaves the document in force', () => {
  const subject = adoption()
  subject.offer(versioned(4), 0)
  subject.offer(versioned(3), 10)
  expect(subject.inForce).toEqual(versioned(4))
})

interface SendCase {
  title: string
  stated: number
  responsibility: Responsibility
  at: number
  sent: string[]
}

const SENDS: SendCase[] = [
  { title: 'a peer of this instance that is behind, at once', stated: 1, responsibility: Responsibility.Own, at: 0, sent: ['agent-1#1'] },
  { title: 'nothing to a peer that has the version', stated: 2, responsibility: Responsibility.Own, at: 0, sent: [] },
  { title: 'nothing to a peer that is ahead', stated: 3, responsibility: Responsibility.Own, at: 0, sent: [] },
  { title: 'nothing yet to a peer of another instance', stated: 1, responsibility: Responsibility.Other, at: 499, sent: [] },
  { title: 'nothing yet to a peer that watches the store', stated: 1, responsibility: Responsibility.Watcher, at: 49, sent: [] },
  { title: 'a peer that watches the store after the grace time', stated: 1, responsibility: Responsibility.Watcher, at: 50, sent: ['agent-1#1'] },
  { title: 'a peer of another instance after the fallback delay', stated: 1, responsibility: Responsibility.Other, at: 500, sent: ['agent-1#1'] }
]

for (const { title, stated, responsibility, at, sent } of SENDS) {
  test(`sends: ${title}`, () => {
    const subject = adoption()
    subject.connected('agent-1#1', stated, responsibility, 0)
    subject.offer(versioned(2), 0)
    expect(subject.due(at)).toEqual(sent)
  })
}

test('a document is sent once per version and link', () => {
  const subject = adoption()
  subject.connected('agent-1#1', 0, Responsibility.Own, 0)
  subject.offer(versioned(1), 0)
  expect(subject.due(0)).toEqual(['agent-1#1'])
  expect(subject.due(1000)).toEqual([])
  subject.noteVersion('agent-1#1', 0)
  expect(subject.due(2000)).toEqual([])
  subject.offer(versioned(2), 3000)
  expect(subject.due(3000)).toEqual(['agent-1#1'])
})

// A link breaks while the document is in flight. If the entry still counted it as sent, the agent would keep the old
// shares. A new link must start without a sent version.
test('a document lost with its link is sent over the next', () => {
  const subject = adoption()
  subject.connected('agent-1#1', 0, Responsibility.Own, 0)
  subject.offer(versioned(1), 0)
  subject.due(0)
  subject.disconnected('agent-1#1')
  subject.connected('agent-1#1', 0, Responsibility.Own, 0)
  expect(subject.due(10)).toEqual(['agent-1#1'])
})

// The instance responsible for an agent stops right after it adopted a version. Nobody would send the document to the
// agent until the membership has changed, unless the others send it after a delay.
test('a peer that this instance becomes responsible for is sent the document at once', () => {
  const subject = adoption()
  subject.connected('agent-1#1', 0, Responsibility.Other, 0)
  subject.offer(versioned(1), 0)
  expect(subject.due(1)).toEqual([])
  subject.reassigned('agent-1#1', Responsibility.Own)
  expect(subject.due(2)).toEqual(['agent-1#1'])
})

// Idle entries lose the links to one of them and reconnect. If a peer without a reported version counted as behind,
// 22 documents of 29 kB would cross the links of 12 entries needlessly.
test('nothing is sent over a link until the peer has reported a version', () => {
  const subject = adoption()
  subject.offer(versioned(2), 0)
  subject.connected('entry-2#1', undefined, Responsibility.Own, 9000)
  expect({ due: subject.due(9000), behind: subject.behind() }).toEqual({ due: [], behind: [] })
  subject.noteVersion('entry-2#1', 2)
  expect(subject.due(9001)).toEqual([])
  subject.connected('entry-3#1', undefined, Responsibility.Own, 9002)
  subject.noteVersion('entry-3#1', 1)
  expect(subject.due(9003)).toEqual(['entry-3#1'])
})

// An agent starts long after the last change and reports version 0. If the delay counted from the change, all entries
// would send the document at once, not only the responsible one.
test('the fallback delay for a new link counts from the start of the link', () => {
  const subject = adoption()
  subject.offer(versioned(1), 0)
  subject.connected('agent-1#1', 0, Responsibility.Other, 9000)
  expect(subject.due(9499)).toEqual([])
  expect(subject.due(9500)).toEqual(['agent-1#1'])
})

test('peers are behind until they report the version', () => {
  const subject = adoption()
  subject.connected('agent-1#1', 1, Responsibility.Own, 0)
  subject.connected('agent-2#1', 2, Responsibility.Own, 0)
  subject.offer(versioned(2), 0)
  subject.due(0)
  expect(subject.behind()).toEqual(['agent-1#1'])
  subject.noteVersion('agent-1#1', 2)
  expect(subject.behind()).toEqual([])
})

test('random selection selects any peer while one is behind', () => {
  const subject = adoption({ choice: PeerSelection.Random, roundMilliseconds: 100 })
  subject.connected('agent-1#1', 1, Responsibility.Own, 0)
  subject.connected('agent-2#1', 0, Responsibility.Own, 0)
  subject.offer(versioned(1), 0)
  expect(subject.due(0)).toEqual(['agent-1#1'])
  expect(subject.due(99)).toEqual([])
  expect(subject.due(100)).toEqual(['agent-1#1'])
  subject.noteVersion('agent-2#1', 1)
  expect(subject.due(200)).toEqual([])
})

type Step =
  | { kind: 'read', node: number, version: number }
  | { kind: 'link', from: number, to: number }
  | { kind: 'cut', from: number, to: number }
  | { kind: 'turn', node: number, deliver: boolean }

const NODES = 4
const node = fc.nat(NODES - 1)
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('read' as const), node, version: fc.nat(6) }),
  fc.record({ kind: fc.constant('link' as const), from: node, to: node }),
  fc.record({ kind: fc.constant('cut' as const), from: node, to: node }),
  fc.record({ kind: fc.constant('turn' as const), node, deliver: fc.boolean() })
)

/** Several instances whose links lose messages in flight when they are cut. */
class Fleet {
  readonly nodes: ConfigurationAdoption[]
  readonly versions: number[][] = []
  readonly #links = new Set<string>()
  #now = 0

  constructor (choice: PeerSelection, random: () => number) {
    this.nodes = Array.from({ length: NODES }, () => adoption({ choice, random }))
  }

  run (step: Step): void {
    this.#now += 60
    if (step.kind === 'read') this.nodes[step.node]?.offer(versioned(step.version), this.#now)
    if (step.kind === 'link') this.link(step.from, step.to)
    if (step.kind === 'cut') this.cut(step.from, step.to)
    if (step.kind === 'turn') this.turn(step.node, step.deliver)
    this.versions.push(this.nodes.map(({ inForce }) => inForce.version))
  }

  link (from: number, to: number): void {
    if (from === to || this.#links.has(`${from} ${to}`)) return
    this.#links.add(`${from} ${to}`)
    this.nodes[from]?.connected(String(to), this.nodes[to]?.inForce.version ?? 0, Responsibility.Own, this.#now)
  }

  cut (from: number, to: number): void {
    this.#links.delete(`${from} ${to}`)
    this.nodes[from]?.disconnected(String(to))
  }

  /** Sends the due documents. An undelivered document is lost together with its link, as on a stream. */
  turn (from: number, deliver: boolean): void {
    const sender = this.nodes[from] as ConfigurationAdoption
    for (const peer of sender.due(this.#now)) {
      if (deliver) this.nodes[Number(peer)]?.offer(sender.inForce, this.#now)
      else this.cut(from, Number(peer))
    }
  }

  /** Links all instances, exchanges the reported versions and runs until nothing changes any more. */
  settle (): void {
    for (let round = 0; round < 200; round++) {
      this.#now += 1000
      this.#everyPair((from, to) => this.link(from, to))
      this.#everyPair((from, to) => this.nodes[from]?.noteVersion(String(to), this.nodes[to]?.inForce.version ?? 0))
      this.nodes.forEach((_, index) => this.turn(index, true))
    }
  }

  #everyPair (action: (from: number, to: number) => void): void {
    for (let from = 0; from < NODES; from++) {
      for (let to = 0; to < NODES; to++) if (from !== to) action(from, to)
    }
  }
}

for (const choice of Object.values(PeerSelection)) {
  test(`no instance returns to an older version and all converge, ${choice}`, () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.integer(), (steps, seed) => {
      let state = seed >>> 0
      const fleet = new Fleet(choice, () => {
        state = (Math.imul(state, 1664525) + 1013904223) >>> 0
        return state / 2 ** 32
      })
      steps.forEach((each) => fleet.run(each))
      fleet.versions.slice(1).forEach((after, index) => {
        after.forEach((version, at) => expect(version >= (fleet.versions[index]?.[at] ?? 0)).toEqual(true))
      })
      const highest = Math.max(0, ...fleet.versions.flat())
      fleet.settle()
      expect(fleet.nodes.map(({ inForce }) => inForce.version)).toEqual(Array(NODES).fill(highest))
    }), { seed: 20260, numRuns: 300 })
  })
}
