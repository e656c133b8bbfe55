/** Replacing the configuration in force, and reporting it: what `apply` and `drain` share. */
import type { ConfigurationFile, StoredConfiguration } from '@amaranthmast/settings/configurationfile'
import { documentTooLarge } from '@amaranthmast/settings/configurationfile'
import { MAX_VALUE_BYTES } from '@amaranthmast/settings/defaults'
import type { Change } from '@amaranthmast/settings/difference'
import { diffConfigurations, formatChanges } from '@amaranthmast/settings/difference'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Arguments, Context, Report } from './command.ts'
import type { CurrentConfiguration } from './configurationstore.ts'
import { versionOf } from './configurationstore.ts'
import { describe, waitForVersion } from './confirmation.ts'
import { BASE_READS, SETTLE_PAUSE_MILLISECONDS } from './defaults.ts'
import type { ToolError } from './errors.ts'
import { BaseAhead, FileRefused, RaceLost } from './errors.ts'
import { ExitCode } from './exitcodes.ts'

/** Room for the version, the apply id and the time beside the document. */
const RECORD_BYTES = 256

/** An accepted configuration. */
export interface Accepted {
  version: number
  /** Undefined when the version in force held the same already and nothing was written. */
  applyId: string | undefined
  /** Higher than `version` when a later apply has replaced it already. */
  latest: number
  changes: Change[]
}

/** Reads the configuration in force as the base of a file. */
export async function readBase (context: Context, editedFrom: number): Promise<Result<CurrentConfiguration, ToolError>> {
  for (let read = 1; ; read++) {
    const current = await context.configurations.current()
    if (current.isErr() || versionOf(current.value) >= editedFrom) return current
    if (read >= BASE_READS) return err(new BaseAhead(editedFrom, versionOf(current.value)))
    await context.sleep(SETTLE_PAUSE_MILLISECONDS)
  }
}

/** The refusal of a file that was edited from another version than the one in force. */
export async function raceLost (context: Context, editedFrom: number, stored: StoredConfiguration): Promise<ToolError> {
  const base = editedFrom === 0 ? ok(undefined) : await context.configurations.version(editedFrom)
  const isKnown = base.isOk() && (editedFrom === 0 || base.value !== undefined)
  const changes = isKnown ? diffConfigurations(base.value?.document, stored.document) : undefined
  return new RaceLost(editedFrom, stored.version, changes)
}

/** Replaces `base`; fails with `RaceLost` when another apply was faster. */
export async function replaceBase (context: Context, base: CurrentConfiguration, file: ConfigurationFile): Promise<Result<Accepted, ToolError>> {
  const changes = diffConfigurations(base.stored?.document, file)
  const applyId = context.newApplyId()
  const replaced = await context.configurations.replace(base, file, applyId)
  if (replaced.isErr()) return err(replaced.error)
  if (replaced.value.outcome === 'raceLost') return err(await raceLost(context, versionOf(base), replaced.value.stored))
  const { version, latest } = replaced.value
  return ok({ version, latest, applyId, changes })
}

/** Refuses a document that the key-value service could not hold with what is stored beside it. */
export function checkSize (file: string, document: ConfigurationFile): Result<void, ToolError> {
  const bytes = Buffer.byteLength(JSON.stringify(document)) + RECORD_BYTES
  return bytes > MAX_VALUE_BYTES ? err(new FileRefused(file, documentTooLarge(bytes))) : ok(undefined)
}

/** Reports an accepted configuration, after the wait if one was asked for. */
export async function reportAccepted (context: Context, options: Arguments, accepted: Accepted): Promise<Report> {
  const lines = describeAccepted(accepted)
  if (!options.wait) return { exitCode: ExitCode.Done, lines, json: accepted }
  lines.forEach((line) => context.progress(line))
  const confirmation = await waitForVersion({
    instances: context.instances,
    version: accepted.version,
    limitMilliseconds: options.waitSeconds * 1000,
    now: context.now,
    sleep: context.sleep,
    progress: context.progress
  })
  return {
    exitCode: confirmation.confirmed ? ExitCode.Done : ExitCode.WaitTimedOut,
    lines: [describe(confirmation, accepted.version), ...waitAdvice(confirmation.confirmed, options.waitSeconds)],
    json: { ...accepted, ...confirmation }
  }
}

function describeAccepted ({ version, applyId, latest, changes }: Accepted): string[] {
  if (applyId === undefined) return [`Version ${version} holds exactly this already: nothing was written.`]
  const lines = [`Version ${version} is accepted (apply ${applyId}).`, ...formatChanges(changes).map((line) => `  ${line}`)]
  if (latest > version) lines.push(`A later apply has replaced it since: version ${latest} is in force.`)
  return lines
}

function waitAdvice (confirmed: boolean, seconds: number): string[] {
  if (confirmed) return []
  return [`Not confirmed everywhere after ${seconds} s. The version is accepted and stays; run status to see who is behind.`]
}
