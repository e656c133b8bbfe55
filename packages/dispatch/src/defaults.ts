/** Constants of dispatching under leases. Durations in milliseconds unless the name says otherwise. */

/** How fast two clocks may drift apart: a worker's steady clock may be 2% slow, by the platform's bounds. */
export const CLOCK_RATE_MARGIN = 0.02

/** Timers that fire late and calls on the loopback, added wherever one process waits for another's limit. */
export const TIMER_MARGIN_MILLISECONDS = 50

/** Shortest lease that a stall of a process (garbage collection, a spent processor quota of 100 ms) leaves intact. */
export const MIN_LEASE_MILLISECONDS = 250

/** Contact in which a ping and its echo fit when the longest lease leaves none: orders that a next life of the target takes are then bounded by their stops only. */
export const MIN_FRESH_CONTACT_MILLISECONDS = 50

/** Pings in the time after which an entry's tasks are stopped: one may be held up by a stall of 100 ms at either end. */
export const PINGS_PER_CONTACT = 3

/**
 * Interval of pings on a link without tasks: it keeps the view of the target's load, and the contact, of which 150 ms are left
 * for a tick that comes late. Shorter ones load the links of large fleets on which nothing happens.
 */
export const IDLE_PING_MILLISECONDS = 450

/**
 * Interval of pings on a link without tasks whose entry asks another for room, for each linked entry, and its bounds: an
 * agent sends some 17 such pings a second however many entries there are, and few entries know its load as well as those
 * that choose by themselves. The first start after a quiet time waits for the echo of one ping, one round trip.
 */
export const QUIET_PING_PER_ENTRY_MILLISECONDS = 60
export const MAX_QUIET_PING_MILLISECONDS = 2000

/** Silence on such a link from which nothing is placed there, and from which it is dialled anew: two and three pings are missing. */
export const QUIET_SUSPECT_MILLISECONDS = 4500
export const QUIET_CONTACT_MILLISECONDS = 6500

/**
 * How long one poll at the target waits for an end: eight polls a second while nothing ends. With the slack below, a lost
 * poll leaves two thirds of the lease for further ones; with 200 and 150 ms a fifth of all calls lost let it lapse every 8 s.
 */
export const POLL_WAIT_MILLISECONDS = 120

/** Longest time added to the wait of a poll before it counts as lost: a call on the same machine takes 1 to 5 ms. */
export const POLL_SLACK_MILLISECONDS = 80

/** A poll that waits is answered up to this much later than an order: the target's timer is late as well. */
export const POLL_TIMER_MILLISECONDS = 15

/**
 * Time without a confirmed read of the store after which agents ask it for evacuations themselves: entries read it each
 * second, and half of the 5 s in which an evacuation must be in force is left for the agents' reads.
 */
export const STORE_READ_TIMEOUT_MILLISECONDS = 2500

/** Interval of those reads; a fleet of 54 agents then makes 36 reads a second of the 6,000 that its store allows. */
export const EVACUATIONS_READ_INTERVAL_MILLISECONDS = 1500

/** How often an entry tells some others which data centres are evacuated, and how many: each of 35 hears it within 1.2 s. */
export const EVACUATIONS_SEND_INTERVAL_MILLISECONDS = 1000
export const EVACUATIONS_FANOUT = 4

/** Interval of polls while nothing runs. */
export const IDLE_POLL_MILLISECONDS = 1000

/**
 * Longest time after which a start without an answer is taken back: calls on the same machine take 1 to 5 ms, a process
 * whose processor quota is spent stands for up to 100.
 */
export const MAX_START_TIMEOUT_MILLISECONDS = 120

/**
 * Shortest such time, whatever is observed: five times what calls usually take. Each limit that runs out costs a connection;
 * with 15 ms a calm played day opened 272 of them, with 25 no more than the 61 that it opens with 120.
 */
export const MIN_TIMEOUT_MILLISECONDS = 25

/** Weight of the newest answer in the mean of answer times, and deviations that the limit lies above it (RFC 6298). */
export const ANSWER_WEIGHT = 0.125
export const ANSWER_DEVIATIONS = 4

/** How long a lost answer is taken for a sign that others will be lost: spells of losses last some seconds. */
export const LOSS_RETENTION_MILLISECONDS = 2000

/** Wait of a poll while answers are lost, and polls that overlap: a lost one hides ends for as long as it waits. */
export const LOSSY_POLL_WAIT_MILLISECONDS = 60
export const LOSSY_POLLS = 2

/** Time after which a stop without an answer is sent again. */
export const STOP_TIMEOUT_MILLISECONDS = 100

/** Stops without an answer after which the lease is no longer renewed, so that it ends the run instead. */
export const STOPS_BEFORE_EXPIRY = 3

/** Sequences of ended tasks whose run numbers an agent remembers, so that a further run gets a higher one. */
export const MAX_REMEMBERED_RUNS = 20_000

/** Progress of a task is judged over at least this time: targets tell it in whole percent. */
export const PROGRESS_WINDOW_MILLISECONDS = 200

/**
 * A task that made no progress for this long counts as stuck: working ones advance with each poll. Of jobs on 12 emulated
 * fleets with a target that stands still 4.9 a day failed with 450 ms, 0.8 with 250, 0.3 with 150.
 */
export const STUCK_MILLISECONDS = 250

/**
 * Part of its expected run for which a task must have made no progress, besides: targets tell it in whole percent, which a
 * long task reaches seldom, and one at a target seven times as slow seven times more seldom.
 */
export const STUCK_FRACTION = 0.08

/** A task whose projected run is this many times the expected one is reported as slow. Estimates are off by 40%. */
export const SLOW_FACTOR = 2.5

/** Half-life of observations of a target's pace: a sudden slowdown shows within half a second. */
export const SPEED_RATIO_HALF_LIFE_MILLISECONDS = 1500

/** Task time observed, in milliseconds, from which a pace is told: several tasks, or one for a while. */
export const SPEED_RATIO_MIN_TASK_MILLISECONDS = 600

/** Pace below which a target counts as slow as a whole. Sound ones reach 0.8 of the mean. */
export const SLOW_SPEED_RATIO = 0.45

/** Bounds of the learned speed, in parts of the mean: machines of one fleet differ by 0.8 to 1.25. */
export const MIN_SPEED = 0.1
export const MAX_SPEED = 2

/** What placing a task in another data centre is worth avoiding: its bytes are paid for, its answers 1 ms later. */
export const REMOTE_PENALTY_MILLISECONDS = 60

/** What placing a task on the fullest rather than the emptiest target is worth avoiding. */
export const LOAD_PENALTY_MILLISECONDS = 10

/**
 * How long an agent without a link is remembered: longer than it remembers this entry, so that both count its ends from the
 * same number again. Targets of machines that are gone for good counted in the size of their data centre for ever, and after
 * a dozen replacements its room was given out by another entry in the middle of a peak.
 */
export const AGENT_RETENTION_MILLISECONDS = 15_000

/** Silence of an agent with tasks from which nothing more is placed there: two pings are missing. */
export const SUSPECT_MILLISECONDS = 500

/** The same for an agent without tasks, whose pings come every half second; and when its link is dialled anew. */
export const IDLE_SUSPECT_MILLISECONDS = 1100
export const IDLE_CONTACT_MILLISECONDS = 1600

/** Jobs that wait for room and are passed over by later ones in one decision: a wide job must not keep small ones out. */
export const SCAN_LIMIT = 8

/** Speed below which a target gets one task at a time, to see whether it has recovered: sound ones reach 0.8. */
export const PROBED_SPEED = 0.5

/** A task that stands still or crawls is moved when that is expected to save this much. */
export const MOVE_GAIN_MILLISECONDS = 50

/**
 * Starts in a row that a target left unanswered, from which each counts as a failure. A fifth of all orders lost at every
 * target reaches that once in a minute; one that answers nothing, with the tasks of one job.
 */
export const MAX_TOLERATED_UNANSWERED_STARTS = 5

/** Starts of one task that came to nothing, after which its job is given up: a task that no target accepts would go round for ever. */
export const MAX_REFUSALS = 60

/** Failure rate above which it counts no further against a target in a choice; from there on ejection decides. */
export const MAX_COUNTED_FAILURE_RATE = 0.8

/** Late part of a job: a result counts a part up to this many times the objective (the users' rule of credit). */
export const LATE_FACTOR = 3

/**
 * Part of its objective that a job must have left before it has to begin, to be kept while others wait. Estimates are off
 * by 40%, and a job that begins at the last moment is late in half of the cases, with all the work that it used. Emulated
 * bursts of 1.3 to 2 times the load on 16 fleets: callers in time 0.879 -> 0.922, late ones of one day 264 -> 53, credit of
 * the worst seconds 0.64 -> 0.75, against keeping a job until a quarter of its objective was over. 0.2 and 0.4 gain less.
 */
export const REFUSAL_MARGIN_FRACTION = 0.3

/**
 * Part of the jobs refused or late in the last seconds at which the whole of that margin applies, and the order with it; less
 * of it below. A load that swings by a quarter around nine tenths of what a fleet can do presses for moments: with the whole
 * margin 64 jobs a day were refused that would have been in time, with this 11 (credit 0.983 -> 0.993, worst seconds 0.959 ->
 * 0.985, three fleets of 54 targets). Bursts of 1.3 to 2 times the load: 0.929 -> 0.930; mixed troubles, in which estimates come
 * out worse: 0.812 -> 0.817 (12 fleets each). Without counting late jobs mixed troubles lost 0.014. With 0.2 a swinging load
 * gains 0.003 more, and one job in a hundred less is in time beside jobs that always fail.
 */
export const FULL_MARGIN_SHARE = 0.1

/**
 * Waiting time that a step of a queue's priority is worth, so that the operators' order decides among jobs that are equally
 * pressing. Emulated at 0.9 of what a fleet can do: credit of the most urgent kind 0.89 -> 0.93, of the least urgent 0.98 ->
 * 0.96; at twice the load 0.34 -> 0.62 and 0.54 -> 0.36 (four fleets, against no priority).
 */
export const PRIORITY_STEP_MILLISECONDS = 100

/** Least time between two reviews of the waiting jobs: a job that is refused hears of it within it while events come. */
export const REVIEW_INTERVAL_MILLISECONDS = 10

/** Time kept for the way of an answer to its caller before the deadline: deadlines are looked at every 50 ms. */
export const ANSWER_MARGIN_MILLISECONDS = 60

/** Change of a target's load, in parts of its capacity, of which entries are told before their next ping is due. */
export const LOAD_CHANGE_FRACTION = 0.08

/** Least time between such messages to one entry, times the entries: an agent tells at most 80 a second. */
export const LOAD_INTERVAL_MILLISECONDS = 12

/** Answered jobs that are remembered, to answer a further submission or a poll-up. */
export const MAX_REMEMBERED_ANSWERS = 5_000

/** Shortest and longest time after which a refused caller is asked to come back. */
export const MIN_RETRY_AFTER_MILLISECONDS = 200
export const MAX_RETRY_AFTER_MILLISECONDS = 5_000

/** Half-life of the counts of refused and begun jobs from which callers are told when to come back: a burst lasts seconds. */
export const PRESSURE_HALF_LIFE_MILLISECONDS = 2000

/** How long a refusal by a target that is not well keeps tasks away from it. */
export const REFUSAL_PAUSE_MILLISECONDS = 100

/**
 * The same for a target that could not be reached for a moment: one lost poll is made good within some 20 ms. With 100 ms
 * the credit of the worst kind of job was 0.965, with 20 it is 0.969 (5 to 15% of all orders lost, 16 emulated fleets).
 */
export const UNREACHABLE_PAUSE_MILLISECONDS = 20

/**
 * Silence of a target from which its agent offers it to nobody until it answers again: three polls in a row are lost. Empty and
 * silent it drew the next tasks again and again; 6 targets cut off for 4 s turned 4,400 starts down, each a way there and back.
 */
export const WITHDRAWAL_TIMEOUT_MILLISECONDS = 150

/**
 * Targets of a data centre from which their room is given out by an entry beside them; smaller ones are one group together.
 * With fewer a job of eight tasks often finds its group full while others have room.
 */
export const MIN_GROUP_TARGETS = 24

/** How long room that was granted is kept for a start that does not arrive: the way to the target takes 1 to 50 ms. */
export const GRANT_TIMEOUT_MILLISECONDS = 500

/** Silence of an entry that owes an answer on room from which another is asked: it gives a sign of life every 50 ms. */
export const ALLOCATOR_TIMEOUT_MILLISECONDS = 150

/** Interval at which an entry that gives out room tells the others that it is there, and the silence from which it is asked for nothing. */
export const MEMBER_INTERVAL_MILLISECONDS = 1000
export const PEER_TIMEOUT_MILLISECONDS = 2500

/** Time from its first link to a target until an entry may give out room: by then it knows the others and their load. */
export const SETTLING_MILLISECONDS = 500

/** Free room of a far group, in parts of what a job needs, from which it is asked: others ask it at the same time. */
export const REMOTE_CAPACITY_FACTOR = 2

/** Least time between two messages on the free room of a group, and the change, in parts of what was told, that is worth one. */
export const CAPACITY_REPORT_INTERVAL_MILLISECONDS = 100
export const CAPACITY_CHANGE_FRACTION = 0.15

/**
 * Time of an answer on room, in the mean of the last ones, from which an entry chooses by itself again, and below which it
 * asks again. A refused start costs about one round trip to an agent; on processors of 0.12 cores answers took 20 to 60 ms,
 * and asking cost more than a quarter of the starts refused.
 */
export const SLOW_ANSWER_MILLISECONDS = 15
export const FAST_ANSWER_MILLISECONDS = 8

/** Weight of the newest answer in that mean, and the pause between two requests that only measure it. */
export const ANSWER_TIME_WEIGHT = 0.125
export const ANSWER_PROBE_INTERVAL_MILLISECONDS = 250

/**
 * What a target is worth at which the entry has tasks already, for each linked entry: each pair of an entry and an agent with
 * tasks exchanges a ping and an echo every 200 ms. Emulated with 35 entries and 160 targets: 6.6 messages a task without it,
 * 6.0 with 20 ms in all, 5.8 with 40, which outweighs differences in the speed of targets. Few entries have few pairs, and a
 * job whose tasks stand together is lost with one target: 20 ms cost three entries 0.02 of the worst kind's credit in crashes.
 */
export const AFFINITY_MILLISECONDS = 0.6
