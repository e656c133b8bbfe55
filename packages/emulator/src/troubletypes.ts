/** What can go wrong on an emulated day. */
export enum TroubleKind {
  /** `factor` times the load, of one kind of job or of all. */
  Burst = 'burst',
  /** Tasks at a share of the targets stand still. */
  Hang = 'hang',
  /** A share of the targets works `factor` times as slowly. */
  Slow = 'slow',
  /** A share of the targets fails a part `factor` of their tasks. */
  Fail = 'fail',
  /** A share of all orders to targets is not answered and carried out seconds later. */
  LateOrders = 'lateOrders',
  /** A share of the orders is carried out and not answered. */
  LostAnswers = 'lostAnswers',
  /** A share of the targets crashes and is back after the time. */
  Crash = 'crash',
  /** A share of the targets crashes and is back after the time under its name, knowing nothing of before. */
  Restart = 'restart',
  /** A share of the targets leaves for good. */
  Leave = 'leave',
  /** A share of the targets announces its end with the time that is left, and is gone then. */
  Notice = 'notice',
  /** A share of the targets has a part `factor` of its capacity. */
  Shrink = 'shrink',
  /** A share of the entries is cut off from all agents. */
  CutEntries = 'cutEntries',
  /** A share of the entries is killed and starts again. */
  KillEntries = 'killEntries',
  /** A share of the agents is killed and starts again. */
  KillAgents = 'killAgents',
  /** A share of the entries stands still. */
  FreezeEntries = 'freezeEntries',
  /** All machines lose power. */
  PowerLoss = 'powerLoss',
  /** A share of the data centres is evacuated. */
  Evacuate = 'evacuate',
  /** A share of the callers leaves after `factor` times the objective. */
  GiveUp = 'giveUp',
  /** A part of the jobs has a task that always fails. */
  Poison = 'poison',
  /** A part of the jobs has a task that crashes each target that starts it, after `factor` of its run. */
  Crashing = 'crashing'
}
