/** Defaults and limits of the daemon's settings file and of the operators' configuration file. */

/** Address that listeners bind to: the loopback interface. */
export const DEFAULT_HOST = '127.0.0.1'

/** Port of an entry's listener for callers. */
export const DEFAULT_CALLERS_PORT = 8101

/** Port of an entry's inner listener, for agents and other entries. */
export const DEFAULT_PEERS_PORT = 7101

/** Port of the listener for health, metrics and status. */
export const DEFAULT_STATUS_PORT = 9101

/** Prefix of every key that the system keeps in the key-value service. */
export const DEFAULT_STORE_PREFIX = '/amaranthmast/'

/** Timeout of one call to the key-value service, in milliseconds. */
export const DEFAULT_STORE_TIMEOUT_MILLISECONDS = 1000

/** Number of tasks that a target runs concurrently. */
export const DEFAULT_SLOTS = 8

/** Number of accelerators of a target. */
export const DEFAULT_ACCELERATORS = 0

/** Memory that a target offers to tasks that declare a memory need, in megabytes. */
export const DEFAULT_MEMORY_MEGABYTES = 0

/** Maximum number of seed entries in an agent's settings. */
export const MAX_SEEDS = 16

/** Minimum severity that is logged. */
export const DEFAULT_LOG_LEVEL = 'info'

/** Weight of a tenant without an explicit one. */
export const DEFAULT_TENANT_WEIGHT = 1

/** Maximum size of a value in the key-value service, in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024
