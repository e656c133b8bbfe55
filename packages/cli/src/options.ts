/** Definitions of all options. Each can also be set by an environment variable, such as `AMARANTHMAST_STORE`. */
import { DEFAULT_STORE_PREFIX } from '@amaranthmast/settings/defaults'
import type { Options } from 'yargs'
import { DEFAULT_STORE, DEFAULT_HISTORY_LIMIT, DEFAULT_TOP_INTERVAL_SECONDS, DEFAULT_WAIT_SECONDS } from './defaults.ts'

/** Prefix of the environment variables that set options. */
export const ENVIRONMENT_PREFIX = 'AMARANTHMAST_'

/** Environment variables, as in `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>

/** Options by name. */
export const OPTIONS = {
  store: { type: 'string', array: true, default: [DEFAULT_STORE], requiresArg: true, describe: 'URL of the key-value service; can be repeated' },
  prefix: { type: 'string', default: DEFAULT_STORE_PREFIX, requiresArg: true, describe: 'Prefix of the keys in the key-value service' },
  json: { type: 'boolean', default: false, describe: 'Print the result as one JSON object' },
  status: { type: 'string', array: true, default: [], requiresArg: true, describe: 'URL of a status port; can be repeated; by default the published ones' },
  wait: { type: 'boolean', default: false, describe: 'Wait until every live instance has the version in force' },
  'wait-seconds': { type: 'number', default: DEFAULT_WAIT_SECONDS, requiresArg: true, describe: 'Longest wait, in seconds' },
  limit: { type: 'number', default: DEFAULT_HISTORY_LIMIT, requiresArg: true, describe: 'Maximum number of versions to list' },
  undo: { type: 'boolean', default: false, describe: 'End the drain' },
  once: { type: 'boolean', default: false, describe: 'Print one snapshot and exit' },
  interval: { type: 'number', default: DEFAULT_TOP_INTERVAL_SECONDS, requiresArg: true, describe: 'Refresh interval, in seconds' }
} as const satisfies Record<string, Options>

/** Name of an option. */
export type OptionName = keyof typeof OPTIONS

/** Names of all options. */
export const OPTION_NAMES = Object.keys(OPTIONS) as OptionName[]

/** Options shared by the commands that use the key-value service. */
export const STORE_OPTIONS: readonly OptionName[] = ['store', 'prefix', 'json']

/** Default of an option: its environment variable if set, with list items separated by commas, else the built-in value. */
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
