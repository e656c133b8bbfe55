/** Release of the daemon. */
export const VERSION = '0.1.0'
