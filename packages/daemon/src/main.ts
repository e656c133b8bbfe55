/** The program `amaranthmastd`. */
import './engine.ts'
import type { Settings } from '@amaranthmast/settings/settingstypes'
import { Role } from '@amaranthmast/settings/settingstypes'
import type { Result } from 'neverthrow'
import { performance } from 'node:perf_hooks'
import { parseArgs } from 'node:util'
import type { Daemon, Environment } from './environment.ts'
import { newInstance } from './incarnation.ts'
import type { ListenError } from './listen.ts'
import { openLog } from './log.ts'
import { runUntilStopped } from './supervise.ts'
import { VERSION } from './version.ts'

const EXIT_FAULT = 1
const EXIT_BAD_SETTINGS = 2

const USAGE = `amaranthmastd: one daemon of amaranthmast, an entry or an agent by its settings

  --settings FILE    settings to run with (required)
  --check-settings   check the settings and exit: 0 when they are good, 2 when not
  --version          show the version
  --help             show this text
`

/** A daemon that is not yet listening. */
type Startable = Daemon & { listen: () => Promise<Result<number, ListenError>> }

interface Arguments {
  settings?: string | undefined
  'check-settings'?: boolean | undefined
  version?: boolean | undefined
  help?: boolean | undefined
}

process.exit(await main())

async function main (): Promise<number> {
  const options = readArguments()
  if (options === undefined) return EXIT_BAD_SETTINGS
  if (options.help === true) return print(USAGE)
  if (options.version === true) return print(`${VERSION}\n`)
  if (options.settings === undefined) return printError('--settings FILE is missing; see --help')
  return await start(options.settings, options['check-settings'] === true)
}

async function start (path: string, checkOnly: boolean): Promise<number> {
  // Imported dynamically, so that --help and --version do not load the schema library.
  const { readSettings } = await import('@amaranthmast/settings/settings')
  const settings = readSettings(path)
  if (settings.isErr()) return printError(settings.error.message)
  if (checkOnly) return print(`${path}: good settings of the ${settings.value.role} ${settings.value.id}\n`)
  return await run(settings.value)
}

async function run (settings: Settings): Promise<number> {
  const environment = newEnvironment(settings)
  const daemon = await newDaemon(settings, environment)
  const listening = await daemon.listen()
  if (listening.isErr()) {
    environment.log.fatal(listening.error.message)
    return EXIT_FAULT
  }
  environment.log.info({ role: settings.role, version: VERSION }, 'started')
  return await runUntilStopped(daemon, environment.log)
}

function newEnvironment (settings: Settings): Environment {
  const instance = newInstance(settings.id, Date.now(), Math.random)
  return {
    instance,
    log: openLog(settings.log.level, instance),
    now: () => performance.now(),
    wallClock: Date.now,
    random: Math.random
  }
}

/** Creates the daemon of the configured role. Each role imports only its own modules. */
async function newDaemon (settings: Settings, environment: Environment): Promise<Startable> {
  if (settings.role === Role.Agent) {
    const { AgentDaemon } = await import('./agentdaemon.ts')
    return new AgentDaemon(settings, environment)
  }
  const { EntryDaemon } = await import('./entrydaemon.ts')
  return new EntryDaemon(settings, environment)
}

function readArguments (): Arguments | undefined {
  try {
    return parseArgs({
      options: {
        settings: { type: 'string' },
        'check-settings': { type: 'boolean' },
        version: { type: 'boolean' },
        help: { type: 'boolean' }
      }
    }).values
  } catch (error) {
    printError(`${(error as Error).message}; see --help`)
    return undefined
  }
}

function print (text: string): number {
  process.stdout.write(text)
  return 0
}

function printError (message: string): number {
  process.stderr.write(`${message}\n`)
  return EXIT_BAD_SETTINGS
}
