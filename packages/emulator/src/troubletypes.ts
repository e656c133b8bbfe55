/** Kinds of trouble on an emulated day. `factor` and `share` are fields of the experiment's trouble. */
export enum TroubleKind {
  /** The load of one kind of job or of all kinds is multiplied by `factor`. */
  Burst = 'burst',
  /** Tasks at a share of the targets make no progress. */
  Hang = 'hang',
  /** A share of the targets runs tasks `factor` times as slowly. */
  Slow = 'slow',
  /** A share of the targets fails the fraction `factor` of its tasks. */
  Fail = 'fail',
  /** A share of all orders to targets gets no answer and is executed seconds later. */
  LateOrders = 'lateOrders',
  /** A share of the orders is executed and gets no answer. */
  LostAnswers = 'lostAnswers',
  /** A share of the targets crashes and restarts under new names after the duration. */
  Crash = 'crash',
  /** A share of the targets crashes and restarts under the same names after the duration, without its state. */
  Restart = 'restart',
  /** A share of the targets leaves and does not return. */
  Leave = 'leave',
  /** A share of the targets announces its end with the remaining time, and then leaves. */
  Notice = 'notice',
  /** A share of the targets has the fraction `factor` of its capacity. */
  Shrink = 'shrink',
  /** A share of the entries is cut off from all agents and other entries. */
  CutEntries = 'cutEntries',
  /** A share of the entries is killed and restarts. */
  KillEntries = 'killEntries',
  /** A share of the agents is killed and restarts. */
  KillAgents = 'killAgents',
  /** A share of the entries is frozen: it handles no events. */
  FreezeEntries = 'freezeEntries',
  /** All machines lose power and restart. */
  PowerLoss = 'powerLoss',
  /** A share of the data centres is evacuated. */
  Evacuate = 'evacuate',
  /** A share of the callers leaves after `factor` times the objective. */
  GiveUp = 'giveUp',
  /** A share of the jobs has tasks that fail on every run. */
  Poison = 'poison',
  /** A share of the jobs has a task that crashes each target that starts it, after the fraction `factor` of its run. */
  Crashing = 'crashing'
}
