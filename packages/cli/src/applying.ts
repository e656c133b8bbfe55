/** Replaces the configuration in force and reports the result; shared by `apply` and `drain`. */
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
import { describeConfirmation, waitForVersion } from './confirmation.ts'
import { MAX_BASE_READS, SETTLE_PAUSE_MILLISECONDS } from './defaults.ts'
import type { ToolError } from './errors.ts'
import { BaseAhead, FileRefused, RaceLost } from './errors.ts'
import { ExitCode } from './exitcodes.ts'

/** Bytes reserved for the version, the apply id and the time that are stored with the document. */
const RECORD_OVERHEAD_BYTES = 256

/** An accepted configuration. */
export interface Accepted {
  version: number
  /** Undefined if the version in force is identical and nothing was written. */
  applyId: string | undefined
  /** Latest version; higher than `version` if a later apply has already replaced it. */
  latest: number
  changes: Change[]
}

/**
 * Reads the configuration in force as the base of a file. An answer older than the file's base may come from a replica that
 * lags, so it is read again a few times before the call fails with `BaseAhead`.
 */
export async function readBase (context: Context, editedFrom: number): Promise<Result<CurrentConfiguration, ToolError>> {
  for (let read = 1; ; read++) {
    const current = await context.configurations.current()
    if (current.isErr() || versionOf(current.value) >= editedFrom) return current
    if (read >= MAX_BASE_READS) return err(new BaseAhead(editedFrom, versionOf(current.value)))
    await context.sleep(SETTLE_PAUSE_MILLISECONDS)
  }
}

/** Creates the error for a file whose base is not the version in force, with the changes since that base. */
export async function createRaceLost (context: Context, editedFrom: number, stored: StoredConfiguration): Promise<ToolError> {
  const base = editedFrom === 0 ? ok(undefined) : await context.configurations.version(editedFrom)
  const isKnown = base.isOk() && (editedFrom === 0 || base.value !== undefined)
  const changes = isKnown ? diffConfigurations(base.value?.document, stored.document) : undefined
  return new RaceLost(editedFrom, stored.version, changes)
}

/** Replaces `base`; fails with `RaceLost` if a concurrent apply replaced it first. */
export async function replaceBase (context: Context, base: CurrentConfiguration, file: ConfigurationFile): Promise<Result<Accepted, ToolError>> {
  const changes = diffConfigurations(base.stored?.document, file)
  const applyId = context.newApplyId()
  const replaced = await context.configurations.replace(base, file, applyId)
  if (replaced.isErr()) return err(replaced.error)
  if (replaced.value.outcome === 'raceLost') return err(await createRaceLost(context, versionOf(base), replaced.value.stored))
  const { version, latest } = replaced.value
  return ok({ version, latest, applyId, changes })
}

/** Refuses a document that exceeds the value limit of the key-value service together with its metadata. */
export function checkSize (file: string, document: ConfigurationFile): Result<void, ToolError> {
  const bytes = Buffer.byteLength(JSON.stringify(document)) + RECORD_OVERHEAD_BYTES
  return bytes > MAX_VALUE_BYTES ? err(new FileRefused(file, documentTooLarge(bytes))) : ok(undefined)
}

/** Reports an accepted configuration, with `--wait` once all instances have it in force or the wait times out. */
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
    lines: [describeConfirmation(confirmation, accepted.version), ...waitAdvice(confirmation.confirmed, options.waitSeconds)],
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
  return [`Not confirmed everywhere after ${seconds} s. The version is accepted and stays; run status to see which instances are behind.`]
}
