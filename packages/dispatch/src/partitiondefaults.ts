/** Constants of room that is given out in partitions. */

/** Most targets of one entry, in parts of its fair share: how far the own data centre comes before an even spread. */
export const PARTITION_SLACK = 1.25

/** Speed of a processor, in parts of the strongest able one's, below which an entry holds no targets. */
export const WEAK_PROCESSOR_PART = 0.2

/** Weight of the newest step in the mean of what tasks need: less free room at a target is of no use. */
export const TYPICAL_RATE = 0.02

/** Intervals of ticks at which a process with work and an idle one are told of the time. */
export const TICK_INTERVAL_MILLISECONDS = 50
export const IDLE_TICK_INTERVAL_MILLISECONDS = 100

/** Part of an earlier lateness of ticks that still counts at the next one, and the most that is remembered of one. */
export const LAG_KEPT_PART = 0.5
export const MOST_LAG_MILLISECONDS = 200

/** Lag from which an entry hands its partition over: a request there would take longer than a refused start and another try. */
export const LAGGING_MILLISECONDS = 40

/** Lag below which an entry counts as quick, and how long it must stay there to be given targets again. */
export const QUICK_MILLISECONDS = 10
export const QUICK_FOR_MILLISECONDS = 500

/** Time after which a request for room that is answered at once counts as unanswered, and for how long its entry is not asked. */
export const UNANSWERED_MILLISECONDS = 50
export const UNANSWERING_MILLISECONDS = 1000

/** Others that an entry tells of its free room, those of its own data centre first. */
export const ROOM_NEIGHBOURS = 7

/** Longest pause between two such messages to one entry, and the silence from which its partition goes to others. */
export const ROOM_BEAT_MILLISECONDS = 250
export const HOLDER_SILENCE_MILLISECONDS = 600

/** Entries up to which each tells all others of itself every second; with more, more seldom. */
export const MEMBERS_EACH_SECOND = 8

/** How much rather an entry of the own data centre is asked or told than one elsewhere with the same room. */
export const NEAR_WEIGHT = 8

/**
 * How much more seldom quiet links are pinged, and how much longer silence is borne on their links: the holder of a target
 * pings it often, and grants nothing there when it is silent.
 */
export const PARTITION_QUIET_FACTOR = 2
