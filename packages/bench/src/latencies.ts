/** Latencies of the brief, one way, in milliseconds. */

/** Between a caller and an entry. */
export const CLIENT_LEG = 1

/** Between an entry and an agent, or between two entries: taken to be in different data centres. */
export const AGENT_LEG = 0.5
