/** One-way network latencies of the simulation, in milliseconds. */

/** Between a caller and an entry. */
export const CLIENT_LATENCY = 1

/** Between an entry and an agent, or between two entries; assumes that they are in different data centres. */
export const AGENT_LATENCY = 0.5
