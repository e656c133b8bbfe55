/** Lines that tell what happens in the world, for a schedule that is replayed. */
import type { Instance } from '../src/messages.ts'
import type { AnyMessage } from './network.ts'
import type { Timeline } from './timeline.ts'

/** Parts of messages that would fill the lines. */
const LEFT_OUT = new Set(['payload', 'tasks', 'target', 'report', 'results', 'address', 'dataCentre'])
const LONGEST_CONTENT = 900

export class Trace {
  readonly #timeline: Timeline
  readonly #print: ((line: string) => void) | undefined

  constructor (timeline: Timeline, print: ((line: string) => void) | undefined) {
    this.#timeline = timeline
    this.#print = print
  }

  note (instance: Instance, text: string): void {
    this.#print?.(`${this.#timeline.now.toFixed(1).padStart(9)} ${instance.padEnd(10)} ${text}`)
  }

  received (to: Instance, from: Instance, message: AnyMessage): void {
    if (this.#print === undefined) return
    const content = JSON.stringify(message.value, (key, value) => LEFT_OUT.has(key) ? undefined : value)
    this.note(to, `<- ${from} ${message.case} ${content.slice(0, LONGEST_CONTENT)}`)
  }
}
