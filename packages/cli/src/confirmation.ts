/** Which live instances have a version of the configuration in force, and waiting until all have. */
import type { Instances, Survey } from './instances.ts'
import { LAGGARDS_NAMED, WAIT_PAUSE_MILLISECONDS } from './defaults.ts'
import type { StatusPage } from './statuspage.ts'
import { counted } from './table.ts'

/** One live instance and the version that it has in force. */
export interface InstanceVersion {
  instance: string
  /** Undefined when it is not known. */
  version: number | undefined
  /** Why the version is not known; empty when it is. */
  reason: string
}

/** Outcome of a wait. */
export interface Confirmation {
  confirmed: boolean
  instances: InstanceVersion[]
  laggards: InstanceVersion[]
}

/** What `waitForVersion` needs. */
export interface WaitOptions {
  instances: Instances
  version: number
  /** Longest wait, in milliseconds. */
  limitMilliseconds: number
  now: () => number
  sleep: (milliseconds: number) => Promise<void>
  /** Told whenever the picture changes, but for the last one. */
  progress: (line: string) => void
}

/** Every live instance that the pages tell of, once, with the highest version that is known of it. */
export function versionsOf ({ asked, unpublished }: Survey): InstanceVersion[] {
  const found = new Map<string, InstanceVersion>()
  const pages = asked.flatMap(({ page }) => page ?? [])
  const note = (instance: string, version: number | undefined, reason: string) => {
    const known = found.get(instance)
    if ((known?.version ?? -1) >= (version ?? -1) && known !== undefined) return
    found.set(instance, { instance, version, reason: version === undefined ? reason : '' })
  }
  for (const page of pages) note(page.instance, page.configurationVersion, '')
  for (const page of pages) for (const instance of connectedAgents(page)) note(instance, versionAt(page, instance), `behind version ${page.configurationVersion}`)
  for (const instance of unpublished) note(instance, undefined, 'status address not known')
  for (const instance of liveMembers(pages)) note(instance, undefined, 'not asked, name its status address')
  for (const each of asked) if (each.page === undefined) note(each.url, undefined, `does not answer (${each.reason})`)
  return [...found.values()]
}

/** Asks until every live instance has the version in force, or the time is over. */
export async function waitForVersion (options: WaitOptions): Promise<Confirmation> {
  const { version, now, sleep, progress } = options
  const limit = now() + options.limitMilliseconds
  for (let last = ''; ;) {
    const confirmation = await ask(options)
    const line = describe(confirmation, version)
    if (confirmation.confirmed || now() >= limit) return confirmation
    if (line !== last) progress(line)
    last = line
    await sleep(WAIT_PAUSE_MILLISECONDS)
  }
}

/** The picture in one line. */
export function describe ({ instances, laggards }: Confirmation, version: number): string {
  if (instances.length === 0) return 'no live instance is known'
  const confirmed = instances.length - laggards.length
  const head = `version ${version} is in force on ${confirmed} of ${counted(instances.length, 'instance')}`
  if (laggards.length === 0) return head
  const more = laggards.length - LAGGARDS_NAMED
  const named = laggards.slice(0, LAGGARDS_NAMED).map(describeLaggard).join(', ')
  return `${head}; behind: ${named}${more > 0 ? ` and ${more} more` : ''}`
}

function describeLaggard ({ instance, version, reason }: InstanceVersion): string {
  return version === undefined ? `${instance} (${reason})` : `${instance} (version ${version})`
}

async function ask ({ instances, version }: WaitOptions): Promise<Confirmation> {
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

/** The version that an entry knows an instance to have: its own, unless the instance is behind. */
function versionAt (page: StatusPage, instance: string): number | undefined {
  return page.configurationBehind.includes(instance) ? undefined : page.configurationVersion
}

/** Members that some page names and that no page calls fenced. */
function liveMembers (pages: readonly StatusPage[]): string[] {
  const fenced = new Set(pages.flatMap(({ view }) => view.fenced))
  return pages.flatMap(({ view }) => view.members).map(({ instance }) => instance).filter((instance) => !fenced.has(instance))
}
