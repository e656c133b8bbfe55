/**
 * Imports only the two undici classes that the system uses. The main module of undici also loads
 * fetch, WebSocket, caches and mocks, which cost memory that processes with a small memory budget
 * cannot spare.
 */
import ClientModule from 'undici/lib/dispatcher/client.js'
import PoolModule from 'undici/lib/dispatcher/pool.js'

/** Bounded pool of HTTP connections to one origin. */
export const Pool = PoolModule

/** Single HTTP connection to one origin. */
export const Client = ClientModule
