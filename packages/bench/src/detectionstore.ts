/** The key-value service as the model of a fleet needs it: one view, one version, and their watches. */
import type { Instance, View } from '@amaranthmast/coordination/messages'
import { EMPTY_VIEW } from '@amaranthmast/coordination/view'
import type { EventLoop } from './eventloop.ts'
import { logUniform } from './random.ts'

type Outcome = 'applied' | 'conflict' | 'unknown'

const ANSWER = { low: 2, high: 10 }
/** Time limit of a call, in milliseconds. */
const TIMEOUT = 1_000

export class DetectionStore {
  readonly #loop: EventLoop
  readonly #random: () => number
  readonly #cutUntil = new Map<Instance, number>()
  readonly calls = { reads: 0, writes: 0, watchesOpened: 0 }
  configurationVersion = 0
  down = false
  #view: View = EMPTY_VIEW
  #revision = 0
  #viewChanged: () => void = () => {}
  #configurationChanged: () => void = () => {}

  constructor (loop: EventLoop, random: () => number) {
    this.#loop = loop
    this.#random = random
  }

  onViewChanged (run: () => void): void {
    this.#viewChanged = run
  }

  onConfigurationChanged (run: () => void): void {
    this.#configurationChanged = run
  }

  /** An operator's apply; the watches report it unless they miss it. */
  apply (version: number, reported: boolean): void {
    this.configurationVersion = version
    if (reported) this.#configurationChanged()
  }

  /** The store cannot be reached from one instance until then. */
  cut (instance: Instance, until: number): void {
    this.#cutUntil.set(instance, until)
  }

  read (by: Instance, done: (result: { view: View, revision: number } | undefined) => void): void {
    this.calls.reads += 1
    this.#call(by, () => ({ view: this.#view, revision: this.#revision }), done, undefined)
  }

  readConfiguration (by: Instance, done: () => void): void {
    this.calls.reads += 1
    this.#call(by, () => true, result => { if (result) done() }, false)
  }

  write (by: Instance, view: View, expectedRevision: number, done: (outcome: Outcome) => void): void {
    this.calls.writes += 1
    this.#call<Outcome>(by, () => this.#swap(view, expectedRevision), done, 'unknown')
  }

  /** An event of a watch. */
  notify (instance: Instance, run: () => void): void {
    const delay = this.#answer()
    this.#loop.after(delay, () => { if (this.#reachable(instance)) run() })
  }

  #swap (view: View, expectedRevision: number): Outcome {
    if (this.#revision !== expectedRevision) return 'conflict'
    this.#view = view
    this.#revision += 1
    this.#viewChanged()
    return 'applied'
  }

  #call<Value> (by: Instance, act: () => Value, done: (value: Value) => void, failed: Value): void {
    this.#loop.after(this.#answer() / 2, () => {
      if (!this.#reachable(by)) {
        this.#loop.after(TIMEOUT, () => done(failed))
        return
      }
      const value = act()
      this.#loop.after(this.#answer() / 2, () => done(value))
    })
  }

  #reachable (instance: Instance): boolean {
    return !this.down && this.#loop.now >= (this.#cutUntil.get(instance) ?? 0)
  }

  #answer (): number {
    return logUniform(this.#random, ANSWER.low, ANSWER.high)
  }
}
