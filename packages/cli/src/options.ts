/** Every option of the tool, in one table. Each can be set in the environment, as in `AMARANTHMAST_STORE`. */
import { DEFAULT_STORE_PREFIX } from '@amaranthmast/settings/defaults'
import type { Options } from 'yargs'
import { DEFAULT_STORE, HISTORY_LIMIT, TOP_SECONDS, WAIT_SECONDS } from './defaults.ts'

/** Prefix of the environment variables that set options. */
export const ENVIRONMENT_PREFIX = 'AMARANTHMAST_'

/** Variables of the process, as `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>

/** Options by name. */
export const OPTIONS = {
  store: { type: 'string', array: true, default: [DEFAULT_STORE], requiresArg: true, describe: 'URL of the key-value service, once for each' },
  prefix: { type: 'string', default: DEFAULT_STORE_PREFIX, requiresArg: true, describe: 'Prefix of the keys in the key-value service' },
  json: { type: 'boolean', default: false, describe: 'Print one JSON object for scripts' },
  status: { type: 'string', array: true, default: [], requiresArg: true, describe: 'URL of a status port, once for each; the published ones when absent' },
  wait: { type: 'boolean', default: false, describe: 'Wait until every live instance has the version in force' },
  'wait-seconds': { type: 'number', default: WAIT_SECONDS, requiresArg: true, describe: 'Longest wait, in seconds' },
  limit: { type: 'number', default: HISTORY_LIMIT, requiresArg: true, describe: 'Versions to list' },
  undo: { type: 'boolean', default: false, describe: 'End the drain' },
  once: { type: 'boolean', default: false, describe: 'Print one picture and end' },
  interval: { type: 'number', default: TOP_SECONDS, requiresArg: true, describe: 'Seconds between two pictures' }
} as const satisfies Record<string, Options>

/** Name of an option. */
export type OptionName = keyof typeof OPTIONS

/** Names of all options. */
export const OPTION_NAMES = Object.keys(OPTIONS) as OptionName[]

/** Options of every command that uses the key-value service. */
export const STORE_OPTIONS: readonly OptionName[] = ['store', 'prefix', 'json']

/** What an option is when the command line does not set it; lists in the environment are parted by commas. */
export function defaultOf (name: OptionName, environment: Environment): unknown {
  const option: Options = OPTIONS[name]
  const text = environment[ENVIRONMENT_PREFIX + name.replaceAll('-', '_').toUpperCase()]
  if (text === undefined) return option.default
  if (option.array === true) return text.split(',')
  return ENVIRONMENT_VALUES[option.type ?? 'string'](text)
}

const ENVIRONMENT_VALUES: Record<NonNullable<Options['type']>, (text: string) => unknown> = {
  string: (text) => text,
  number: Number,
  boolean: (text) => text === 'true' || text === '1',
  array: (text) => text.split(','),
  count: Number
}
