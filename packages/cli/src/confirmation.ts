/** Determines which live instances have a configuration version in force, and waits until all have it. */
import type { Instances, Survey } from './instances.ts'
import { MAX_NAMED_LAGGARDS, WAIT_POLL_MILLISECONDS } from './defaults.ts'
import type { StatusPage } from './statuspage.ts'
import { formatCount } from './table.ts'

/** Live instance and the configuration version that it has in force. */
export interface InstanceVersion {
  instance: string
  /** Undefined if unknown. */
  version: number | undefined
  /** Why the version is unknown; empty if it is known. */
  reason: string
}

/** Outcome of a wait; it is confirmed when there are no laggards. */
export interface Confirmation {
  confirmed: boolean
  instances: InstanceVersion[]
  laggards: InstanceVersion[]
}

/** Options of `waitForVersion`. */
export interface WaitOptions {
  instances: Instances
  version: number
  /** Longest wait, in milliseconds. */
  limitMilliseconds: number
  now: () => number
  sleep: (milliseconds: number) => Promise<void>
  /** Receives a line whenever the state changes, except for the final one. */
  progress: (line: string) => void
}

/** Lists every live instance that the status pages name, once, with the highest version reported for it. */
export function versionsOf ({ asked, unpublished }: Survey): InstanceVersion[] {
  const found = new Map<string, InstanceVersion>()
  const pages = asked.flatMap(({ page }) => page ?? [])
  const record = (instance: string, version: number | undefined, reason: string) => {
    const known = found.get(instance)
    if ((known?.version ?? -1) >= (version ?? -1) && known !== undefined) return
    found.set(instance, { instance, version, reason: version === undefined ? reason : '' })
  }
  for (const page of pages) record(page.instance, page.configurationVersion, '')
  for (const page of pages) for (const instance of connectedAgents(page)) record(instance, versionOfAgent(page, instance), `behind version ${page.configurationVersion}`)
  for (const instance of unpublished) record(instance, undefined, 'status address not known')
  for (const instance of liveMembers(pages)) record(instance, undefined, 'not asked, name its status address')
  for (const each of asked) if (each.page === undefined) record(each.url, undefined, `does not answer (${each.reason})`)
  return [...found.values()]
}

/** Polls until every live instance has the version in force or the time limit is reached. */
export async function waitForVersion (options: WaitOptions): Promise<Confirmation> {
  const { version, now, sleep, progress } = options
  const limit = now() + options.limitMilliseconds
  for (let lastLine = ''; ;) {
    const confirmation = await checkInstances(options)
    const line = describeConfirmation(confirmation, version)
    if (confirmation.confirmed || now() >= limit) return confirmation
    if (line !== lastLine) progress(line)
    lastLine = line
    await sleep(WAIT_POLL_MILLISECONDS)
  }
}

/** Summarizes the confirmation in one line. */
export function describeConfirmation ({ instances, laggards }: Confirmation, version: number): string {
  if (instances.length === 0) return 'no live instance is known'
  const confirmed = instances.length - laggards.length
  const head = `version ${version} is in force on ${confirmed} of ${formatCount(instances.length, 'instance')}`
  if (laggards.length === 0) return head
  const more = laggards.length - MAX_NAMED_LAGGARDS
  const named = laggards.slice(0, MAX_NAMED_LAGGARDS).map(describeLaggard).join(', ')
  return `${head}; behind: ${named}${more > 0 ? ` and ${more} more` : ''}`
}

function describeLaggard ({ instance, version, reason }: InstanceVersion): string {
  return version === undefined ? `${instance} (${reason})` : `${instance} (version ${version})`
}

async function checkInstances ({ instances, version }: WaitOptions): Promise<Confirmation> {
  const survey = await instances.survey()
  if (survey.isErr()) {
    const unknown = { instance: 'the key-value service', version: undefined, reason: survey.error.message }
    return { confirmed: false, instances: [unknown], laggards: [unknown] }
  }
  const versions = versionsOf(survey.value)
  const laggards = versions.filter((each) => (each.version ?? -1) < version)
  return { confirmed: laggards.length === 0, instances: versions, laggards }
}

function connectedAgents ({ agents }: StatusPage): string[] {
  return agents.filter(({ connected }) => connected).map(({ instance }) => instance)
}

/** Version that an entry reports for an agent: its own, unless the agent is listed as behind. */
function versionOfAgent (page: StatusPage, instance: string): number | undefined {
  return page.configurationBehind.includes(instance) ? undefined : page.configurationVersion
}

/** Members named by any page and fenced by none. */
function liveMembers (pages: readonly StatusPage[]): string[] {
  const fenced = new Set(pages.flatMap(({ view }) => view.fenced))
  return pages.flatMap(({ view }) => view.members).map(({ instance }) => instance).filter((instance) => !fenced.has(instance))
}
