/**
 * `drain KIND NAME`: takes a target, a rack, a data centre or a provider out of service, or returns it to service. It applies
 * changed draining lists with the same compare-and-swap as any other apply, and appears in the history.
 */
import type { ConfigurationFile } from '@amaranthmast/settings/configurationfile'
import { checkConfigurationFile, findWarnings } from '@amaranthmast/settings/configurationfile'
import { DRAIN_FIELDS, DrainKind } from '@amaranthmast/settings/difference'
import type { Result } from 'neverthrow'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Accepted } from './applying.ts'
import { replaceBase, reportAccepted } from './applying.ts'
import type { Arguments, Command, Context, Report } from './command.ts'
import { MAX_DRAIN_ATTEMPTS } from './defaults.ts'
import type { ToolError } from './errors.ts'
import { FileRefused, RaceLost, RequestRefused } from './errors.ts'
import { STORE_OPTIONS } from './options.ts'

async function runDrain (context: Context, options: Arguments): Promise<Result<Report, ToolError>> {
  const accepted = await applyDrain(context, options)
  if (accepted.isErr()) return err(accepted.error)
  const report = await reportAccepted(context, options, accepted.value.accepted)
  const warnings = findWarnings(accepted.value.document)
  return ok({ ...report, lines: [...report.lines, ...warnings.map((warning) => `warning: ${warning}`)], json: { ...report.json, warnings } })
}

/**
 * Applies the drain to the configuration in force. The request names one part of the fleet, not a whole file, so it
 * remains valid after a concurrent apply: after a lost race it is applied to the new configuration.
 */
async function applyDrain (context: Context, options: Arguments): Promise<Result<{ accepted: Accepted, document: ConfigurationFile }, ToolError>> {
  for (let attempt = 1; ; attempt++) {
    const base = await context.configurations.current()
    if (base.isErr()) return err(base.error)
    const { stored } = base.value
    if (stored === undefined) return err(new RequestRefused('nothing can be drained before the first apply: apply a configuration file first'))
    const document = changeDrain(stored.document, stored.version, options)
    if (document.isErr()) return err(document.error)
    if (document.value === undefined) return ok({ accepted: unchanged(stored.version), document: stored.document })
    const accepted = await replaceBase(context, base.value, document.value)
    if (accepted.isOk()) return ok({ accepted: accepted.value, document: document.value })
    if (!(accepted.error instanceof RaceLost) || attempt >= MAX_DRAIN_ATTEMPTS) return err(accepted.error)
  }
}

/** Returns the document with the drain started or ended; undefined if it already is. */
function changeDrain (document: ConfigurationFile, version: number, { kind, name, undo }: Arguments): Result<ConfigurationFile | undefined, ToolError> {
  const field = DRAIN_FIELDS[kind]
  const names = document.draining[field]
  if (names.includes(name) !== undo) return ok(undefined)
  const next = undo ? names.filter((each) => each !== name) : [...names, name]
  return checkConfigurationFile({ ...document, editedFrom: version, draining: { ...document.draining, [field]: next } })
    .mapErr((error) => new FileRefused(`drain ${kind} ${name}`, error))
}

function unchanged (version: number): Accepted {
  return { version, latest: version, applyId: undefined, changes: [] }
}

/** The `drain` command. */
export const drain: Command = {
  usage: 'drain <kind> <name>',
  summary: 'Send no new work to a target, a rack, a data centre or a provider; running tasks finish',
  options: [...STORE_OPTIONS, 'undo', 'wait', 'wait-seconds', 'status'],
  positionals: {
    kind: { describe: 'What to drain', type: 'string', choices: Object.values(DrainKind) },
    name: { describe: 'Name; for a target the id of its agent', type: 'string' }
  },
  examples: [
    ['$0 drain rack r1 --wait', 'take a rack out of service'],
    ['$0 drain data-centre gulf-1 --wait', 'evacuate a data centre'],
    ['$0 drain target agent-3 --undo', 'return a target to service']
  ],
  run: (context, options) => new ResultAsync(runDrain(context, options))
}
