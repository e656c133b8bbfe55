/** Names shared by the parts of the simulation. */
export const SERVICE = 'service'
export const TENANT = 'tenant'
/** Id of the store as one end of a cut. */
export const STORE = 'store'
