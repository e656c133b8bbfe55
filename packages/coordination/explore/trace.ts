/** Prints the events of a simulation, for a schedule that is replayed. */
import type { Instance } from '../src/messages.ts'
import type { AnyMessage } from './network.ts'
import type { Timeline } from './timeline.ts'

/** Message fields that are omitted because they would make the lines too long. */
const OMITTED_FIELDS = new Set(['payload', 'tasks', 'target', 'report', 'results', 'address', 'dataCentre'])
const MAX_CONTENT_LENGTH = 900

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
    const content = JSON.stringify(message.value, (key, value) => OMITTED_FIELDS.has(key) ? undefined : value)
    this.note(to, `<- ${from} ${message.case} ${content.slice(0, MAX_CONTENT_LENGTH)}`)
  }
}
