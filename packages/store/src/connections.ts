/**
 * The two classes of undici that the system uses, without the rest of that library: its main module
 * also loads fetch, WebSocket, caches and mocks, which a process with a small memory budget pays
 * for and never uses.
 */
import ClientModule from 'undici/lib/dispatcher/client.js'
import PoolModule from 'undici/lib/dispatcher/pool.js'

/** Bounded set of HTTP connections to one origin. */
export const Pool = PoolModule

/** One HTTP connection to one origin. */
export const Client = ClientModule
