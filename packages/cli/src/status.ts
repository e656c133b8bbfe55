/** `status`: which version is in force where, who is a member, and the shares wanted against received. */
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
import type { AgentLine, StatusPage } from './statuspage.ts'
import { counted, formatTable } from './table.ts'

/** Share of one provider in the work of one service, in percent. */
export interface ShareLine {
  service: string
  provider: string
  wanted: number
  /** Undefined when the service has had no task yet. */
  received: number | undefined
  tasks: number
}

/** An agent, and the version that it has in force; undefined when that is not known. */
export interface AgentVersion extends AgentLine {
  configurationVersion: number | undefined
}

/** Everything that `status` shows. */
interface Picture {
  stored: StoredConfiguration | undefined
  entries: StatusPage[]
  agents: AgentVersion[]
  versions: InstanceVersion[]
  shares: ShareLine[]
  problems: string[]
}

const NO_SURVEY: Survey = { asked: [], unpublished: [] }

async function showStatus (context: Context): Promise<Result<Report, ToolError>> {
  const current = await context.configurations.current()
  const survey = await context.instances.survey()
  const stored = current.isOk() ? current.value.stored : undefined
  const picture = pictureOf(stored, survey.unwrapOr(NO_SURVEY))
  if (current.isOk() && stored === undefined) picture.problems.unshift('no configuration has been applied, so every job is refused: begin with amaranthmast get > FILE')
  const [failure] = [current, survey].flatMap((result) => result.isErr() ? [result.error] : [])
  if (failure !== undefined) picture.problems.unshift(`${failure.message}; the daemons themselves are asked with --status URL`)
  const answer = picture.entries.length + picture.agents.length === 0 ? ExitCode.NoStatus : ExitCode.Done
  return ok({ exitCode: failure?.exitCode ?? answer, lines: describePicture(picture), json: picture })
}

function pictureOf (stored: StoredConfiguration | undefined, survey: Survey): Picture {
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

/** Every agent once, connected when any entry is linked to it or it answers itself. */
function agentsOf (pages: readonly StatusPage[], versions: readonly InstanceVersion[]): AgentVersion[] {
  const known = new Map(versions.map(({ instance, version }) => [instance, version]))
  const found = new Map<string, AgentVersion>()
  for (const line of pages.flatMap((page) => [...page.agents, ...ownLine(page)])) {
    const connected = line.connected || (found.get(line.instance)?.connected ?? false)
    found.set(line.instance, { ...line, connected, configurationVersion: known.get(line.instance) })
  }
  return [...found.values()].sort((one, other) => one.instance.localeCompare(other.instance))
}

/** What an agent says of itself. */
function ownLine ({ instance, target }: StatusPage): AgentLine[] {
  return target === undefined ? [] : [{ instance, target: target.target, provider: target.provider, connected: true }]
}

/** Shares wanted by the file against the tasks dispatched by all entries since they started. */
export function sharesOf (file: ConfigurationFile, entries: readonly StatusPage[]): ShareLine[] {
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

function problemsOf (stored: StoredConfiguration | undefined, versions: readonly InstanceVersion[], entries: readonly StatusPage[], agents: readonly AgentVersion[]): string[] {
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

function missingTargets (stored: StoredConfiguration | undefined, agents: readonly AgentLine[]): string[] {
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

function describePicture (picture: Picture): string[] {
  const { stored, entries, agents, shares, problems } = picture
  const drains = drainsOf(stored)
  const head = stored === undefined
    ? 'No configuration is known'
    : `Configuration version ${stored.version}, applied ${stored.appliedAt} (apply ${stored.applyId})`
  return [
    head,
    ...section(counted(entries.length, 'entry', 'entries'), entryTable(entries)),
    ...section(counted(agents.length, 'agent'), agentTable(agents)),
    ...(shares.length === 0 ? [] : section('Shares of the tasks dispatched since each entry started', shareTable(shares))),
    ...(drains.length === 0 ? [] : section('Draining: these receive no new work', drains)),
    ...section(problems.length === 0 ? 'No problems.' : 'Look at', problems.map((problem) => `! ${problem}`))
  ]
}

/** A drain stays until it is undone, and is easily forgotten. */
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

function agentTable (agents: readonly AgentVersion[]): string[] {
  return formatTable(['INSTANCE', 'TARGET', 'PROVIDER', 'CONNECTED', 'CONFIGURATION'], agents.map((agent) => [
    agent.instance, agent.target, agent.provider, agent.connected ? 'yes' : 'no', String(agent.configurationVersion ?? '-')
  ]))
}

function shareTable (shares: readonly ShareLine[]): string[] {
  return formatTable(['SERVICE', 'PROVIDER', 'WANTED', 'RECEIVED', 'TASKS'], shares.map((share) => [
    share.service, share.provider, `${share.wanted} %`, share.received === undefined ? '-' : `${share.received.toFixed(1)} %`, String(share.tasks)
  ]))
}

/** The command. */
export const status: Command = {
  usage: 'status',
  summary: 'Show versions in force, members, agents and shares, and what to look at',
  options: [...STORE_OPTIONS, 'status'],
  positionals: {},
  examples: [['$0 status', 'the whole picture'], ['$0 status --status http://10.0.0.7:9101', 'during an outage of the key-value service']],
  run: (context) => new ResultAsync(showStatus(context))
}
