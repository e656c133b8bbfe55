/**
 * Schema of experiment files: fleet, kinds of job, load, troubles, seeds and policy variants.
 * A figure is a number or a range `[low, high]`, from which each seed draws a number.
 */
import type { Policy } from '@amaranthmast/dispatch/policy'
import type { DocumentRefused } from '@amaranthmast/settings/errors'
import type { Result } from 'neverthrow'
import { DEFAULT_POLICY } from '@amaranthmast/dispatch/policy'
import { countSchema, described, nameSchema } from '@amaranthmast/settings/fields'
import { parseJson, validate } from '@amaranthmast/settings/validation'
import * as z from 'zod/mini'
import { TroubleKind } from './troubletypes.ts'

const figure = z.union([z.number(), z.tuple([z.number(), z.number()])])

const spread = z.strictObject({
  mean: described(figure, 'Mean of all jobs', [4, 8]),
  spread: described(figure, 'Standard deviation over the mean', 0.4),
  most: described(figure, 'No job has more', 32)
})

const targetKindSchema = z.strictObject({
  label: described(nameSchema, 'The label that names the kind', 'b'),
  speed: described(z.number(), 'Speed against a target of speed 1', 1.3),
  size: described(z.number(), 'Size against a target of size 1', 1.5)
})

const fleetSchema = z.strictObject({
  dataCentres: described(countSchema, 'Data centres', 4),
  entries: described(countSchema, 'Entries, dealt to the data centres in turn', 4),
  targets: described(countSchema, 'Targets, each with its agent', 11),
  cpu: described(figure, 'Thousandths of a core of a target of size 1', [14_000, 36_000]),
  memory: described(figure, 'Megabytes of a target', 65_536),
  sizes: described(z.array(z.number()), 'Sizes of targets, dealt in turn', [1, 1, 1.5]),
  speeds: described(z.array(z.number()), 'Speeds of targets, drawn', [0.8, 1, 1.25]),
  rejectsOverload: described(z._default(z.boolean(), true), 'Whether targets refuse what does not fit', false),
  kinds: described(z._default(z.array(targetKindSchema), []), 'Kinds of target, dealt to those of each data centre in turn; speeds and sizes count on top'),
  racks: described(z._default(countSchema, 0), 'Racks of each data centre, named by a label of their targets; 0 for none', 3),
  within: described(figure, 'One way between processes of a data centre, in milliseconds', 0.1),
  between: described(figure, 'One way between data centres, in milliseconds', [0.5, 1.5]),
  callers: described(figure, 'One way to callers, in milliseconds', [1, 3]),
  entryMilliseconds: described(figure, 'Processor time of an event at an entry', 0.3),
  agentMilliseconds: described(figure, 'Processor time of an event at an agent', 0.4),
  entryCores: described(z._default(z.array(z.number()), []), 'Processors of entries, in cores, dealt to those of a data centre in turn; events are then priced by kind', [0.324, 1.35]),
  agentCores: described(z.optional(z.number()), 'Processor of an agent, in cores; events are then priced by kind', 0.405),
  startMilliseconds: described(figure, 'From the start of a process until it serves', 350)
})

const tailSchema = z.strictObject({
  share: described(figure, 'Part of the tasks', 0.03),
  factor: described(figure, 'How many times as long', 7)
})

const kindSchema = z.strictObject({
  name: described(nameSchema, 'Name of the kind and of its queue', 'check'),
  perSecond: described(figure, 'Jobs a second; only their proportion counts where a load is stated', 24),
  tasks: described(spread, 'Tasks of a job'),
  milliseconds: described(spread, 'Work of a task on a target of speed 1'),
  cpu: described(spread, 'Thousandths of a core that each task holds'),
  slackFactor: described(figure, 'The objective is this many times the longest chain', 1.6),
  latency: described(figure, 'and so many milliseconds more', 60),
  deadline: described(figure, 'How long a caller waits, in milliseconds', 13_000),
  priority: described(countSchema, '0 comes first', 0),
  attempts: described(countSchema, 'Failed runs of a task that make its job fail', 2),
  estimateError: described(figure, 'Standard deviation of the logarithm of the declared over the true run time', 0.4),
  tail: described(z._default(tailSchema, { share: 0, factor: 1 }), 'Tasks that take much longer than their work, wherever they run')
})

const troubleSchema = z.strictObject({
  kind: described(z.enum(TroubleKind), 'What goes wrong', TroubleKind.Burst),
  at: described(figure, 'Seconds from the start of the load', [4, 20]),
  for: described(figure, 'Seconds that it lasts', 4),
  share: described(z._default(figure, 0.15), 'Part of the targets, entries or orders that it strikes', 0.15),
  factor: described(z._default(figure, 1), 'How strong it is', 1.3),
  kindOfJob: described(z.optional(nameSchema), 'The kind of job that it concerns; all when absent', 'check'),
  dataCentre: described(z.optional(countSchema), 'The data centre, counted from 0, whose callers a burst comes from; all when absent', 0)
})

const policySchema = z.partial(z.strictObject(Object.fromEntries(Object.entries(DEFAULT_POLICY).map(([name, value]) =>
  [name, typeof value === 'boolean' ? z.boolean() : z.number()])) as { [Name in keyof Policy]: Policy[Name] extends boolean ? z.ZodMiniBoolean : z.ZodMiniNumber }))

export const experimentSchema = z.strictObject({
  name: described(nameSchema, 'Name of the experiment', 'overload'),
  seconds: described(z.number(), 'Length of the load', 30),
  load: described(z.optional(figure), 'Demand over what the fleet can do; the kinds\' rates are scaled to it', [0.6, 0.8]),
  wave: described(z._default(figure, 0.15), 'Swing of the load around its mean, as a part', 0.15),
  peaks: described(z._default(figure, 0), 'Swing of each data centre\'s part of the load, whose peaks come one after the other', 0.6),
  returning: described(z._default(figure, 0), 'Part of the refused callers that come back when they are told to', 0.5),
  fleet: described(fleetSchema, 'The machines'),
  kinds: described(z.array(kindSchema).check(z.minLength(1)), 'Kinds of job'),
  troubles: described(z._default(z.array(troubleSchema), []), 'What goes wrong'),
  seeds: described(z.strictObject({ first: countSchema, count: countSchema }), 'Days to play', { first: 1, count: 20 }),
  variants: described(z.record(nameSchema, policySchema), 'Policies to compare on the same days, by what they change', { today: {}, keepsAll: { refusesLate: false } })
})

export type Experiment = z.output<typeof experimentSchema>
export type KindPlan = Experiment['kinds'][number]
export type TroublePlan = Experiment['troubles'][number]

/** Parses and validates the text of an experiment file. Each error states the path of the field and what is expected there. */
export function readExperiment (text: string): Result<Experiment, DocumentRefused> {
  return parseJson(text).andThen(value => validate(experimentSchema, value))
}

/** Text of the JSON Schema for experiment files, as published in `schema/experiment.json`. */
export function experimentSchemaText (): string {
  return `${JSON.stringify(z.toJSONSchema(experimentSchema, { io: 'input' }), undefined, 2)}\n`
}
