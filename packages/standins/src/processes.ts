/**
 * Launches processes for the demo and for tests, and leaves none behind, even after an exception or
 * SIGINT. Processes are signalled by their own pid only.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'

import { LAUNCH_TIMEOUT, MAX_LOG_LINE_LENGTH, MAX_LOG_LINES, POLL_INTERVAL, STOP_TIMEOUT } from './defaults.ts'
import { waitFor } from './wait.ts'

/** What to launch and when it counts as ready. */
export interface LaunchOptions {
  /** Name for logs and errors, unique among running processes. */
  name: string
  /** Path of the script. */
  script: string
  arguments?: readonly string[]
  /** Options for Node.js itself, before the script. */
  nodeArguments?: readonly string[]
  environment?: Readonly<Record<string, string>>
  /** Whether a line of stdout means that the process is ready. */
  readyLine?: (line: string) => boolean
  /** Resolves to whether the process is ready. Polled until it is. */
  isReady?: () => Promise<boolean>
  /** Milliseconds until the process must be ready. @default 15000 */
  timeout?: number
}

/** A launched process ended before it was ready, or was not ready in time. */
export class LaunchError extends Error {
  readonly code = 'LAUNCH_FAILED'

  constructor (name: string, reason: string, log: readonly string[]) {
    super(`${name} did not start: ${reason}; its last lines:\n${log.slice(-20).join('\n')}`)
    this.name = 'LaunchError'
  }
}

/** A process of a group. */
export class LaunchedProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #log: string[] = []
  readonly #ended: Promise<void>
  #readyLineSeen = false

  /** @internal Use {@link ProcessGroup.launch}. */
  constructor (options: LaunchOptions) {
    this.name = options.name
    this.#child = spawn(
      process.execPath,
      [...options.nodeArguments ?? [], options.script, ...options.arguments ?? []],
      { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...options.environment } }
    )
    this.#ended = new Promise(resolve => {
      this.#child.once('close', () => resolve())
      this.#child.once('error', error => {
        this.#appendLogLine(error.message)
        resolve()
      })
    })
    this.#collectLines(this.#child.stdout, options.readyLine)
    this.#collectLines(this.#child.stderr)
  }

  get pid (): number {
    return this.#child.pid ?? 0
  }

  /** Exit code; null while the process runs or after a signal ended it. */
  get exitCode (): number | null {
    return this.#child.exitCode
  }

  get isRunning (): boolean {
    return this.#child.pid !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Whether a line of stdout matched `readyLine`. */
  get readyLineSeen (): boolean {
    return this.#readyLineSeen
  }

  /** The latest lines of stdout and stderr. */
  get log (): readonly string[] {
    return this.#log
  }

  /** Resolves when the process has ended. */
  get ended (): Promise<void> {
    return this.#ended
  }

  /** Sends a signal, unless the process has ended. */
  signal (name: NodeJS.Signals): void {
    if (this.isRunning) this.#child.kill(name)
  }

  /** Sends SIGKILL. Resolves when the process has ended. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.#ended
  }

  /** Sends SIGSTOP: the process stops responding and its connections stay open. */
  pause (): void {
    this.signal('SIGSTOP')
  }

  /** Sends SIGCONT after {@link pause}. */
  resume (): void {
    this.signal('SIGCONT')
  }

  /** Sends SIGTERM, and SIGKILL after the timeout. Resolves to whether the process ended without SIGKILL. */
  async stop (timeout = STOP_TIMEOUT): Promise<boolean> {
    this.signal('SIGCONT')
    this.signal('SIGTERM')
    let killed = false
    const timer = setTimeout(() => {
      killed = true
      this.signal('SIGKILL')
    }, timeout)
    await this.#ended
    clearTimeout(timer)
    return !killed
  }

  #collectLines (stream: Readable | null, readyLine?: (line: string) => boolean): void {
    if (stream === null) return
    createInterface({ input: stream }).on('line', line => {
      this.#appendLogLine(line)
      if (readyLine?.(line) === true) this.#readyLineSeen = true
    })
  }

  #appendLogLine (line: string): void {
    this.#log.push(line.slice(0, MAX_LOG_LINE_LENGTH))
    if (this.#log.length > MAX_LOG_LINES) this.#log.shift()
  }
}

/** A group of processes that are stopped together. */
export class ProcessGroup {
  readonly #processes: LaunchedProcess[] = []
  readonly #killAll = (): void => { for (const launched of this.#processes) launched.signal('SIGKILL') }
  readonly #killAllAndExit = (): void => {
    this.#killAll()
    process.exit(130)
  }

  /** Installs handlers that kill the group's processes when this process ends by a signal, an exception or `process.exit`. */
  constructor () {
    process.on('exit', this.#killAll)
    process.on('SIGINT', this.#killAllAndExit)
    process.on('SIGTERM', this.#killAllAndExit)
    process.on('SIGHUP', this.#killAllAndExit)
  }

  /** Starts a process without waiting until it is ready. */
  start (options: LaunchOptions): LaunchedProcess {
    const launched = new LaunchedProcess(options)
    this.#processes.push(launched)
    return launched
  }

  /** Launches a process. Resolves when it is ready; rejects with a {@link LaunchError} when it ends or times out first. */
  async launch (options: LaunchOptions): Promise<LaunchedProcess> {
    const launched = this.start(options)
    const isReady = options.isReady ?? (async () => options.readyLine === undefined || launched.readyLineSeen)
    try {
      await waitFor(options.name, options.timeout ?? LAUNCH_TIMEOUT, POLL_INTERVAL, async () => {
        return !launched.isRunning || await isReady()
      })
    } catch (error) {
      await launched.kill()
      throw new LaunchError(options.name, (error as Error).message, launched.log)
    }
    if (launched.isRunning) return launched
    await launched.ended
    throw new LaunchError(options.name, 'it ended before it was ready', launched.log)
  }

  /** Running processes in order of launch. */
  running (): LaunchedProcess[] {
    return this.#processes.filter(launched => launched.isRunning)
  }

  /** Stops all processes, the latest first, and removes the handlers. Resolves to the names of those that needed SIGKILL. */
  async stop (): Promise<string[]> {
    const killed: string[] = []
    for (const launched of this.running().reverse()) {
      if (!await launched.stop()) killed.push(launched.name)
    }
    process.off('exit', this.#killAll)
    process.off('SIGINT', this.#killAllAndExit)
    process.off('SIGTERM', this.#killAllAndExit)
    process.off('SIGHUP', this.#killAllAndExit)
    return killed
  }
}
