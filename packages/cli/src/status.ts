/** `status`: shows the versions in force, the entries and agents, configured against actual shares, and problems. */
import type { ConfigurationFile, StoredConfiguration } from '@amaranthmast/settings/configurationfile'
import { DRAIN_FIELDS, DrainKind } from '@amaranthmast/settings/difference'
import type { Result } from 'neverthrow'
import { ok, ResultAsync } from 'neverthrow'
import type { Command, Context, Report } from './command.ts'
import type { InstanceVersion } from './confirmation.ts'
import { versionsOf } from './confirmation.ts'
import type { ToolError } from './errors.ts'
import { ExitCode } from './exitcodes.ts'
import type { Survey } from './instances.ts'
import { STORE_OPTIONS } from './options.ts'
import type { AgentSummary, StatusPage } from './statuspage.ts'
import { formatCount, formatTable } from './table.ts'

/** Configured and actual share of a provider in the tasks of a service, in percent. */
export interface ShareSummary {
  service: string
  provider: string
  wanted: number
  /** Undefined if the service has had no tasks yet. */
  received: number | undefined
  tasks: number
}

/** Agent with its configuration version in force; undefined if unknown. */
export interface AgentWithVersion extends AgentSummary {
  configurationVersion: number | undefined
}

/** Data of `status`, as in its JSON output. */
interface StatusReport {
  stored: StoredConfiguration | undefined
  entries: StatusPage[]
  agents: AgentWithVersion[]
  versions: InstanceVersion[]
  shares: ShareSummary[]
  problems: string[]
}

const EMPTY_SURVEY: Survey = { asked: [], unpublished: [] }

async function showStatus (context: Context): Promise<Result<Report, ToolError>> {
  const current = await context.configurations.current()
  const survey = await context.instances.survey()
  const stored = current.isOk() ? current.value.stored : undefined
  const report = buildReport(stored, survey.unwrapOr(EMPTY_SURVEY))
  if (current.isOk() && stored === undefined) report.problems.unshift('no configuration has been applied, so every job is refused: begin with amaranthmast get > FILE')
  const [failure] = [current, survey].flatMap((result) => result.isErr() ? [result.error] : [])
  if (failure !== undefined) report.problems.unshift(`${failure.message}; the daemons themselves are asked with --status URL`)
  const answer = report.entries.length + report.agents.length === 0 ? ExitCode.NoStatus : ExitCode.Done
  return ok({ exitCode: failure?.exitCode ?? answer, lines: formatReport(report), json: report })
}

function buildReport (stored: StoredConfiguration | undefined, survey: Survey): StatusReport {
  const pages = survey.asked.flatMap(({ page }) => page ?? [])
  const entries = pages.filter(({ role }) => role === 'entry').sort((one, other) => one.instance.localeCompare(other.instance))
  const versions = versionsOf(survey)
  const agents = agentsOf(pages, versions)
  return {
    stored,
    entries,
    agents,
    versions,
    shares: stored === undefined ? [] : sharesOf(stored.document, entries),
    problems: problemsOf(stored, versions, entries, agents)
  }
}

/** Lists every agent once. It is connected if any entry is linked to it or its own status port answered. */
function agentsOf (pages: readonly StatusPage[], versions: readonly InstanceVersion[]): AgentWithVersion[] {
  const known = new Map(versions.map(({ instance, version }) => [instance, version]))
  const found = new Map<string, AgentWithVersion>()
  for (const line of pages.flatMap((page) => [...page.agents, ...ownAgentSummary(page)])) {
    const connected = line.connected || (found.get(line.instance)?.connected ?? false)
    found.set(line.instance, { ...line, connected, configurationVersion: known.get(line.instance) })
  }
  return [...found.values()].sort((one, other) => one.instance.localeCompare(other.instance))
}

/** Summary of an agent from its own status page; empty for an entry. */
function ownAgentSummary ({ instance, target }: StatusPage): AgentSummary[] {
  return target === undefined ? [] : [{ instance, target: target.target, provider: target.provider, connected: true }]
}

/** Compares the configured shares with the tasks that all entries dispatched since they started. */
export function sharesOf (file: ConfigurationFile, entries: readonly StatusPage[]): ShareSummary[] {
  return Object.entries(file.services).flatMap(([service, { shares }]) => {
    const counts = new Map<string, number>()
    for (const { scheduler } of entries) addCounts(counts, scheduler.dispatched[service] ?? {})
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0)
    const providers = [...new Set([...Object.keys(shares), ...counts.keys()])].sort()
    return providers.map((provider) => {
      const tasks = counts.get(provider) ?? 0
      return { service, provider, wanted: shares[provider] ?? 0, received: total === 0 ? undefined : 100 * tasks / total, tasks }
    })
  })
}

function addCounts (counts: Map<string, number>, dispatched: Record<string, number>): void {
  for (const [provider, count] of Object.entries(dispatched)) counts.set(provider, (counts.get(provider) ?? 0) + count)
}

function problemsOf (stored: StoredConfiguration | undefined, versions: readonly InstanceVersion[], entries: readonly StatusPage[], agents: readonly AgentWithVersion[]): string[] {
  const wanted = stored?.version ?? 0
  const behind = versions.filter(({ version }) => version !== undefined && version < wanted)
  const unknown = versions.filter(({ version }) => version === undefined)
  return [
    ...behind.map(({ instance, version }) => `${instance}: version ${version} in place of ${wanted}`),
    ...unknown.map(({ instance, reason }) => `${instance}: ${reason}`),
    ...(entries.length === 0 ? [] : missingTargets(stored, agents)),
    ...ejectedTargets(entries)
  ]
}

function missingTargets (stored: StoredConfiguration | undefined, agents: readonly AgentSummary[]): string[] {
  return Object.entries(stored?.document.providers ?? {}).flatMap(([provider, { expectedTargets }]) => {
    const present = agents.filter((agent) => agent.provider === provider && agent.connected).length
    if (present >= expectedTargets) return []
    return [`provider ${provider}: ${present} of ${expectedTargets} expected targets are connected`]
  })
}

function ejectedTargets (entries: readonly StatusPage[]): string[] {
  return entries.flatMap(({ instance, scheduler }) =>
    Object.entries(scheduler.health)
      .filter(([, health]) => health === 0)
      .map(([target]) => `${instance} sends nothing to target ${target}, which fails too often`))
}

function formatReport (report: StatusReport): string[] {
  const { stored, entries, agents, shares, problems } = report
  const drains = drainsOf(stored)
  const head = stored === undefined
    ? 'No configuration is known'
    : `Configuration version ${stored.version}, applied ${stored.appliedAt} (apply ${stored.applyId})`
  return [
    head,
    ...section(formatCount(entries.length, 'entry', 'entries'), entryTable(entries)),
    ...section(formatCount(agents.length, 'agent'), agentTable(agents)),
    ...(shares.length === 0 ? [] : section('Shares of the tasks dispatched since each entry started', shareTable(shares))),
    ...(drains.length === 0 ? [] : section('Draining: these receive no new work', drains)),
    ...section(problems.length === 0 ? 'No problems.' : 'Look at', problems.map((problem) => `! ${problem}`))
  ]
}

/** Lists the active drains, which last until they are undone and are easily forgotten. */
function drainsOf (stored: StoredConfiguration | undefined): string[] {
  if (stored === undefined) return []
  const { draining } = stored.document
  return Object.values(DrainKind).flatMap((kind) => draining[DRAIN_FIELDS[kind]].map((name) => `${kind} ${name}`))
}

function section (title: string, lines: readonly string[]): string[] {
  return ['', title, ...lines.map((line) => `  ${line}`)]
}

function entryTable (entries: readonly StatusPage[]): string[] {
  return formatTable(['INSTANCE', 'DATA CENTRE', 'STATE', 'VIEW', 'CONFIGURATION', 'QUEUED', 'RUNNING', 'AGENTS'], entries.map((page) => [
    page.instance, page.dataCentre, page.state, String(page.view.version), String(page.configurationVersion),
    String(page.scheduler.queued), String(page.scheduler.outstanding), String(page.agents.filter(({ connected }) => connected).length)
  ]))
}

function agentTable (agents: readonly AgentWithVersion[]): string[] {
  return formatTable(['INSTANCE', 'TARGET', 'PROVIDER', 'CONNECTED', 'CONFIGURATION'], agents.map((agent) => [
    agent.instance, agent.target, agent.provider, agent.connected ? 'yes' : 'no', String(agent.configurationVersion ?? '-')
  ]))
}

function shareTable (shares: readonly ShareSummary[]): string[] {
  return formatTable(['SERVICE', 'PROVIDER', 'WANTED', 'RECEIVED', 'TASKS'], shares.map((share) => [
    share.service, share.provider, `${share.wanted} %`, share.received === undefined ? '-' : `${share.received.toFixed(1)} %`, String(share.tasks)
  ]))
}

/** The `status` command. */
export const status: Command = {
  usage: 'status',
  summary: 'Show versions in force, entries, agents, shares and problems',
  options: [...STORE_OPTIONS, 'status'],
  positionals: {},
  examples: [['$0 status', 'show the whole system'], ['$0 status --status http://10.0.0.7:9101', 'query a daemon directly during an outage of the key-value service']],
  run: (context) => new ResultAsync(showStatus(context))
}
