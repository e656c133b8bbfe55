/** Every default of the daemon's settings file and of the operators' configuration file. */

/** Listeners bind to the loopback interface unless the settings name another address. */
export const DEFAULT_HOST = '127.0.0.1'

/** Port of an entry's listener for callers. */
export const DEFAULT_CALLERS_PORT = 8101

/** Port of an entry's inner listener, for agents and other entries. */
export const DEFAULT_PEERS_PORT = 7101

/** Port of the listener for health, metrics and status. */
export const DEFAULT_STATUS_PORT = 9101

/** Prefix of every key that the system keeps in the key-value service. */
export const DEFAULT_STORE_PREFIX = '/amaranthmast/'

/** Time limit of one call to the key-value service, in milliseconds. */
export const DEFAULT_STORE_TIMEOUT_MILLISECONDS = 1000

/** Tasks that a target runs at one time. */
export const DEFAULT_SLOTS = 8

/** Accelerators beside a target. */
export const DEFAULT_ACCELERATORS = 0

/** Memory that a target offers to tasks which declare a need for it, in megabytes. */
export const DEFAULT_MEMORY_MEGABYTES = 0

/** Most entries that an agent's settings name to be asked for the view. */
export const MAXIMUM_SEEDS = 16

/** Least severity that is logged. */
export const DEFAULT_LOG_LEVEL = 'info'

/** Weight of a tenant that states none. */
export const DEFAULT_TENANT_WEIGHT = 1

/** The key-value service takes no larger value, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1024 * 1024
