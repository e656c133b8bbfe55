/** Simulated store of a fleet: one view, one configuration version, and their watches. */
import type { Instance, View } from '@amaranthmast/coordination/messages'
import { EMPTY_VIEW } from '@amaranthmast/coordination/view'
import type { EventLoop } from './eventloop.ts'
import { logUniform } from './random.ts'

type Outcome = 'applied' | 'conflict' | 'unknown'

/** Duration of a call, in milliseconds. */
const STORE_LATENCY = { low: 2, high: 10 }
/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT = 1_000

/** A store with compare-and-swap of the view, and watches of the view and the configuration. */
export class DetectionStore {
  readonly #loop: EventLoop
  readonly #random: () => number
  readonly #unreachableUntil = new Map<Instance, number>()
  readonly calls = { reads: 0, writes: 0, watchesOpened: 0 }
  configurationVersion = 0
  down = false
  #view: View = EMPTY_VIEW
  #revision = 0
  #onViewChanged: () => void = () => {}
  #onConfigurationChanged: () => void = () => {}

  constructor (loop: EventLoop, random: () => number) {
    this.#loop = loop
    this.#random = random
  }

  onViewChanged (run: () => void): void {
    this.#onViewChanged = run
  }

  onConfigurationChanged (run: () => void): void {
    this.#onConfigurationChanged = run
  }

  /** Applies a configuration as an operator does. The watches report it only if `reported`. */
  apply (version: number, reported: boolean): void {
    this.configurationVersion = version
    if (reported) this.#onConfigurationChanged()
  }

  /** Makes the store unreachable for one instance until the instant `until`. */
  cut (instance: Instance, until: number): void {
    this.#unreachableUntil.set(instance, until)
  }

  /** Reads the view and its revision. `done` receives undefined when the call times out. */
  read (by: Instance, done: (result: { view: View, revision: number } | undefined) => void): void {
    this.calls.reads += 1
    this.#call(by, () => ({ view: this.#view, revision: this.#revision }), done, undefined)
  }

  /** Reads the configuration. `done` is not called when the call times out. */
  readConfiguration (by: Instance, done: () => void): void {
    this.calls.reads += 1
    this.#call(by, () => true, result => { if (result) done() }, false)
  }

  /** Writes the view if the revision is still the expected one. */
  write (by: Instance, view: View, expectedRevision: number, done: (outcome: Outcome) => void): void {
    this.calls.writes += 1
    this.#call<Outcome>(by, () => this.#compareAndSwap(view, expectedRevision), done, 'unknown')
  }

  /** Delivers a watch event, unless the instance cannot reach the store. */
  notify (instance: Instance, run: () => void): void {
    const delay = this.#latency()
    this.#loop.after(delay, () => { if (this.#isReachable(instance)) run() })
  }

  #compareAndSwap (view: View, expectedRevision: number): Outcome {
    if (this.#revision !== expectedRevision) return 'conflict'
    this.#view = view
    this.#revision += 1
    this.#onViewChanged()
    return 'applied'
  }

  #call<Value> (by: Instance, operation: () => Value, done: (value: Value) => void, failureValue: Value): void {
    this.#loop.after(this.#latency() / 2, () => {
      if (!this.#isReachable(by)) {
        this.#loop.after(CALL_TIMEOUT, () => done(failureValue))
        return
      }
      const value = operation()
      this.#loop.after(this.#latency() / 2, () => done(value))
    })
  }

  #isReachable (instance: Instance): boolean {
    return !this.down && this.#loop.now >= (this.#unreachableUntil.get(instance) ?? 0)
  }

  #latency (): number {
    return logUniform(this.#random, STORE_LATENCY.low, STORE_LATENCY.high)
  }
}
