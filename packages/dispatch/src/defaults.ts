/** Constants for dispatching under leases. Durations are in milliseconds. */

/** Bound on the drift between two clocks: the platform allows a worker's steady clock to be 2% slow. */
export const CLOCK_RATE_MARGIN = 0.02

/** Margin for late timers and calls over the loopback, added wherever one process waits out a limit of another. */
export const TIMER_MARGIN_MILLISECONDS = 50

/** Minimum lease. It survives a stall of a process, such as garbage collection or an exhausted CPU quota (100 ms). */
export const MIN_LEASE_MILLISECONDS = 250

/**
 * Minimum fresh contact: a ping and its echo fit into it. It applies when the longest lease leaves no time for contact; orders
 * that reach a new incarnation of the target are then bounded only by their stops.
 */
export const MIN_FRESH_CONTACT_MILLISECONDS = 50

/** Number of pings within the time after which an entry's tasks are stopped: a stall of 100 ms at either end may delay one. */
export const PINGS_PER_CONTACT = 3

/**
 * Ping interval on a link without tasks. Pings update the load of the target and the contact, which has 150 ms left for a late
 * tick. A shorter interval puts traffic on the idle links of large fleets.
 */
export const IDLE_PING_MILLISECONDS = 450

/**
 * Ping interval, for each connected entry, on a link without tasks whose entry requests capacity from another one, and the maximum
 * interval. An agent sends about 17 such pings a second for any number of entries; with few entries, their view of the load is
 * as recent as that of entries that choose targets themselves. The first start on a quiet link waits for the echo of one ping,
 * one round trip.
 */
export const QUIET_PING_PER_ENTRY_MILLISECONDS = 60
export const MAX_QUIET_PING_MILLISECONDS = 2000

/** Time without a message on such a link after which nothing is placed there (two missed pings), and after which it is reconnected (three). */
export const QUIET_SUSPECT_MILLISECONDS = 4500
export const QUIET_CONTACT_MILLISECONDS = 6500

/**
 * Time that one poll waits for an end at the target: eight polls a second while no task ends. With the slack below, a lost poll
 * leaves two thirds of the lease for further ones. With 200 and 150 ms, the lease expired every 8 s while a fifth of all calls
 * was lost.
 */
export const POLL_WAIT_MILLISECONDS = 120

/** Maximum time added to the wait of a poll before it counts as lost: a call on the same machine takes 1 to 5 ms. */
export const POLL_SLACK_MILLISECONDS = 80

/** Extra time for the answer to a poll that waits, since the target's timer may fire late. */
export const POLL_TIMER_MILLISECONDS = 15

/**
 * Time without a confirmed read of the store by the entries after which agents read the evacuations themselves. Entries read the
 * store every second, and half of the 5 s within which an evacuation must take effect is left for the agents' reads.
 */
export const EVACUATIONS_STALE_MILLISECONDS = 2500

/** Interval of those reads: a fleet of 54 agents makes 36 of the 6,000 reads a second that its store allows. */
export const EVACUATIONS_READ_INTERVAL_MILLISECONDS = 1500

/** Interval at which an entry sends the evacuated data centres to other entries, and to how many at once: all of 35 receive them within 1.2 s. */
export const EVACUATIONS_SEND_INTERVAL_MILLISECONDS = 1000
export const EVACUATIONS_FANOUT = 4

/** Poll interval while no task runs. */
export const IDLE_POLL_MILLISECONDS = 1000

/**
 * Maximum time after which an unconfirmed start is cancelled: calls on the same machine take 1 to 5 ms, and a process whose CPU
 * quota is exhausted stalls for up to 100.
 */
export const MAX_START_TIMEOUT_MILLISECONDS = 120

/**
 * Minimum of that timeout: five times what calls usually take. Each timeout costs a connection.
 */
export const MIN_TIMEOUT_MILLISECONDS = 25

/** Weight of the latest answer in the mean answer time, and number of deviations between that mean and the timeout (RFC 6298). */
export const ANSWER_WEIGHT = 0.125
export const ANSWER_DEVIATIONS = 4

/** Time for which further losses are expected after a lost answer: periods of losses last some seconds. */
export const LOSS_RETENTION_MILLISECONDS = 2000

/** Wait of a poll while answers are lost, and number of polls that overlap then: a lost poll hides ends for as long as it waits. */
export const LOSSY_POLL_WAIT_MILLISECONDS = 60
export const LOSSY_POLLS = 2

/** Time after which an unconfirmed stop is repeated. */
export const STOP_TIMEOUT_MILLISECONDS = 100

/** Number of unconfirmed stops after which the lease is no longer renewed, so that its expiry ends the run. */
export const STOPS_BEFORE_EXPIRY = 3

/** Number of tasks whose run numbers an agent remembers, so that a further run gets a higher one. */
export const MAX_REMEMBERED_RUNS = 20_000

/** Minimum run time before the progress of a task is evaluated, and between two reports of it: targets report whole percents. */
export const PROGRESS_WINDOW_MILLISECONDS = 200

/**
 * Time without progress after which a task counts as stuck: tasks that work advance with each poll.
 */
export const STUCK_MILLISECONDS = 250

/**
 * Fraction of the expected run time for which a stuck task must also have made no progress: targets report whole percents, which
 * a long task reaches rarely, and seven times more rarely at a target that is seven times as slow.
 */
export const STUCK_FRACTION = 0.08

/** Ratio of projected to expected run time above which a task is reported as slow. Estimates are off by 40%. */
export const SLOW_FACTOR = 2.5

/** Half-life of observations of a target's speed ratio: a sudden slowdown shows within half a second. */
export const SPEED_RATIO_HALF_LIFE_MILLISECONDS = 1500

/** Minimum observed task time for a speed ratio to be reported: several tasks, or one over a longer time. */
export const SPEED_RATIO_MIN_TASK_MILLISECONDS = 600

/** Speed ratio below which a target as a whole counts as slow. Healthy targets reach 0.8 of the mean. */
export const SLOW_SPEED_RATIO = 0.45

/** Bounds of the learned speed, relative to the mean: machines of one fleet range from 0.8 to 1.25. */
export const MIN_SPEED = 0.1
export const MAX_SPEED = 2

/** Cost of placing a task in another data centre: traffic between data centres is charged, and answers arrive 1 ms later. */
export const REMOTE_PENALTY_MILLISECONDS = 60

/** Cost of placing a task on the fullest rather than the emptiest target. */
export const LOAD_PENALTY_MILLISECONDS = 10

/**
 * Time for which a disconnected agent is remembered: longer than the agent remembers this entry, so that both number its ends
 * from the same value again. Without a limit, targets of removed machines count in the size of their data centre for ever: after
 * a dozen replacements, another entry took over the allocation of its capacity in the middle of a load peak.
 */
export const AGENT_RETENTION_MILLISECONDS = 15_000

/** Time without a message from an agent with tasks after which nothing more is placed there: two missed pings. */
export const SUSPECT_MILLISECONDS = 500

/** The same for an agent without tasks, which sends a ping every half second, and the time after which it is reconnected. */
export const IDLE_SUSPECT_MILLISECONDS = 1100
export const IDLE_CONTACT_MILLISECONDS = 1600

/** Maximum number of waiting jobs that later ones may overtake in one decision: a job with many tasks must not block small ones. */
export const SCAN_LIMIT = 8

/** Speed below which a target gets one task at a time, as a probe of its recovery. Healthy targets reach 0.8. */
export const PROBED_SPEED = 0.5

/** Minimum expected gain for moving a task that is stuck or slow. */
export const MOVE_GAIN_MILLISECONDS = 50

/**
 * Number of consecutive unanswered starts at a target from which each counts as a failure. With a fifth of all orders lost at
 * every target, this is reached once a minute; a target that answers nothing reaches it with the tasks of one job.
 */
export const MAX_TOLERATED_UNANSWERED_STARTS = 5

/** Number of failed starts of one task after which its job is abandoned: a task that no target accepts would be retried for ever. */
export const MAX_REFUSALS = 60

/** Cap on the failure rate in the choice of a target. Beyond it, ejection decides. */
export const MAX_COUNTED_FAILURE_RATE = 0.8

/** Multiple of its objective up to which a late job earns partial credit, by the users' rule. */
export const LATE_FACTOR = 3

/**
 * Fraction of its objective that must remain before a job has to begin, for the job to be kept while others wait. Estimates are
 * off by 40%, and a job that begins at the last moment is late in half of the cases, so that its work is wasted.
 */
export const REFUSAL_MARGIN_FRACTION = 0.3

/**
 * Share of jobs refused or late in the last seconds at which that margin, and the order that goes with it, apply in full; below
 * it they apply in part. A load that swings by a quarter around nine tenths of a fleet's capacity causes short pressure: with the
 * full margin, 64 jobs a day were refused that would have been in time, with this share 11 (credit 0.983 -> 0.993, worst seconds
 * 0.959 -> 0.985, three fleets of 54 targets). Bursts of 1.3 to 2 times the load: 0.929 -> 0.930; mixed faults, which make
 * estimates worse: 0.812 -> 0.817 (12 fleets each). If late jobs are not counted, mixed faults lose 0.014. With 0.2, a swinging
 * load gains 0.003 more, and one job in a hundred less is in time next to jobs that always fail.
 */
export const FULL_MARGIN_SHARE = 0.1

/**
 * Waiting time that equals one step of queue priority, so that the operators' order decides among equally urgent jobs. Emulated
 * at 0.9 of a fleet's capacity: credit of the queue with the highest priority 0.89 -> 0.93, with the lowest 0.98 -> 0.96; at twice
 * the load 0.34 -> 0.62 and 0.54 -> 0.36 (four fleets, against no priority).
 */
export const PRIORITY_STEP_MILLISECONDS = 100

/** Minimum time between two reviews of the waiting jobs. While events arrive, a refusal is sent within this time. */
export const REVIEW_INTERVAL_MILLISECONDS = 10

/** Time reserved before the deadline for the answer to reach its caller: deadlines are checked every 50 ms. */
export const ANSWER_MARGIN_MILLISECONDS = 60

/** Change of a target's load, as a fraction of its capacity, that is sent to entries before their next ping is due. */
export const LOAD_CHANGE_FRACTION = 0.08

/** Minimum time between such messages to one entry, multiplied by the number of entries: an agent sends at most 80 a second. */
export const LOAD_INTERVAL_MILLISECONDS = 12

/** Number of answered jobs that are remembered, to answer a resubmission or a follow-up query. */
export const MAX_REMEMBERED_ANSWERS = 5_000

/** Bounds of the time after which a refused caller is asked to retry. */
export const MIN_RETRY_AFTER_MILLISECONDS = 200
export const MAX_RETRY_AFTER_MILLISECONDS = 5_000

/** Half-life of the counts of refused and started jobs that determine the retry time sent to callers: a burst lasts seconds. */
export const PRESSURE_HALF_LIFE_MILLISECONDS = 2000

/** Time for which no task is placed on a target after a refusal because it is unhealthy. */
export const REFUSAL_PAUSE_MILLISECONDS = 100

/**
 * The same for a target that was briefly unreachable: one lost poll is recovered within about 20 ms.
 */
export const UNREACHABLE_PAUSE_MILLISECONDS = 20

/**
 * Time without an answer after which an agent withdraws its target until it answers again: three polls in a row are lost. Without
 * this, an empty target that does not respond is chosen for the next tasks again and again: 6 targets that were unreachable for
 * 4 s refused 4,400 starts, each at the cost of a round trip.
 */
export const WITHDRAWAL_TIMEOUT_MILLISECONDS = 150

/**
 * Minimum number of targets for a data centre to be a group of its own, whose capacity a local entry allocates; smaller data
 * centres form one group together. With fewer targets, a job of eight tasks often finds its group full while others have
 * free capacity.
 */
export const MIN_GROUP_TARGETS = 24

/** Time for which granted capacity is reserved for a start that does not arrive: the way to the target takes 1 to 50 ms. */
export const GRANT_TIMEOUT_MILLISECONDS = 500

/** Time without a message from the allocator at which a capacity request waits, after which the request times out: the allocator sends a keep-alive every 50 ms. */
export const ALLOCATOR_TIMEOUT_MILLISECONDS = 150

/** Interval at which an entry that allocates capacity announces itself to the others, and time without a message after which no requests are sent to it. */
export const MEMBER_INTERVAL_MILLISECONDS = 1000
export const PEER_TIMEOUT_MILLISECONDS = 2500

/** Time from its first link to a target until an entry may allocate capacity: by then it has connected to the other targets and received their load. */
export const SETTLING_MILLISECONDS = 500

/** Minimum free capacity of a remote group, as a multiple of what a job needs, for a request to be sent to it: other entries send requests at the same time. */
export const REMOTE_CAPACITY_FACTOR = 2

/** Minimum time between two messages on the free capacity of a group, and the change, as a fraction of the value last sent, that causes one. */
export const CAPACITY_REPORT_INTERVAL_MILLISECONDS = 100
export const CAPACITY_CHANGE_FRACTION = 0.15

/**
 * Mean time of recent answers to capacity requests above which an entry chooses targets itself, and below which it sends requests again.
 * A refused start costs about one round trip to an agent. On 0.12 CPU cores, answers took 20 to 60 ms, and requests cost more than
 * a refusal of a quarter of the starts.
 */
export const SLOW_ANSWER_MILLISECONDS = 15
export const FAST_ANSWER_MILLISECONDS = 8

/** Weight of the latest answer in that mean, and the interval of requests that only measure it. */
export const ANSWER_TIME_WEIGHT = 0.125
export const ANSWER_PROBE_INTERVAL_MILLISECONDS = 250

/**
 * Benefit, for each connected entry, of a target where the entry already has tasks: each pair of an entry and an agent with tasks
 * exchanges a ping and an echo every 200 ms. Emulated with 35 entries and 160 targets: 6.6 messages a task without it, 6.0 with
 * 20 ms in all, 5.8 with 40, which outweighs differences in the speed of targets. Few entries have few pairs, and a job whose
 * tasks share a target is lost with it: with three entries, 20 ms cost 0.02 of the credit of the worst queue in crashes.
 */
export const AFFINITY_MILLISECONDS = 0.6
