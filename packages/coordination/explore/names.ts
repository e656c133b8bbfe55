/** Names that every part of the world uses. */
export const SERVICE = 'service'
export const TENANT = 'tenant'
/** The store, as one end of a cut. */
export const STORE = 'store'
