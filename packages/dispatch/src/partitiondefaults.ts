/** Constants of capacity that is allocated in partitions. */

/** Upper bound on the targets of one entry, relative to its fair share; above 1 it favours local targets over an even spread. */
export const PARTITION_SLACK = 1.25

/** An entry holds no targets if its processor is slower than this fraction of the fastest able entry's. */
export const WEAK_PROCESSOR_FRACTION = 0.2

/** Weight of the newest step in the moving average of the processors that tasks need; targets with less free capacity count as full. */
export const TYPICAL_CPU_RATE = 0.02

/** Tick intervals of a process with work and of an idle one. */
export const TICK_INTERVAL_MILLISECONDS = 50
export const IDLE_TICK_INTERVAL_MILLISECONDS = 100

/** Fraction of the lag that is kept at each tick, and the upper bound on the lag. */
export const LAG_DECAY_FRACTION = 0.5
export const MAX_LAG_MILLISECONDS = 200

/** Lag from which an entry hands its partition over: a request to it would take longer than a rejected start and a retry. */
export const HIGH_LAG_MILLISECONDS = 40

/** Lag below which an entry counts as responsive, and how long the lag must stay there before the entry gets targets again. */
export const LOW_LAG_MILLISECONDS = 10
export const LOW_LAG_DURATION_MILLISECONDS = 500

/** Timeout of a capacity request that is answered immediately, and the time for which its entry then gets no requests. */
export const REQUEST_TIMEOUT_MILLISECONDS = 50
export const UNRESPONSIVE_PAUSE_MILLISECONDS = 1000

/** Number of entries to which an entry sends its free capacity, preferably in its own data centre. */
export const MAX_UPDATE_RECIPIENTS = 7

/** Longest interval between two such messages to one entry, and the time without a message after which its partition goes to others. */
export const MAX_UPDATE_INTERVAL_MILLISECONDS = 250
export const HOLDER_TIMEOUT_MILLISECONDS = 600

/** Number of other entries up to which each sends its member message to all of them every second; with more, the interval grows in proportion. */
export const MEMBER_MESSAGES_PER_SECOND = 8

/** Weight of a local entry relative to a remote one with the same free capacity, in choosing where to send requests and updates. */
export const LOCAL_WEIGHT = 8

/**
 * Factor by which ping intervals and timeouts of quiet links are extended: the holder of a target pings it often, and grants
 * no capacity there while it is unresponsive.
 */
export const PARTITION_QUIET_FACTOR = 2
