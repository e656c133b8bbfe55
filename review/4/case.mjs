/** A cancelled job runs on: the connections between the entries have gone silent, and the cancellation reaches another entry than the job. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BROKEN, CANCEL, CONTACT, HELD, NotRun, call, chainOf, configurationOf, runCase, sleep, waitFor } from '../common-2/fleet.mjs'

const PREFIX = '/checks/'
const STEPS = 12
const STEP_MILLISECONDS = 600
const DEADLINE = 15_000
/** Time after the cancellation during which the job is watched: longer than the whole job. */
const WATCH = 11_000

async function play ({ fleet, record, trouble }) {
  await fleet.start({ entries: 3, agents: 4, duration: STEP_MILLISECONDS, configuration: configurationOf(7, [{ name: 'checks', prefix: PREFIX }]) })
  await sleep(2000)
  if (trouble) {
    const silenced = fleet.entries.reduce((sum, { relay }) => sum + relay.silence(), 0)
    record.write(`${silenced} connections between entries go silent; new ones work`)
    if (silenced === 0) throw new NotRun('no connection between the entries was open')
  }
  // All machines are in touch again after this time.
  await sleep(CONTACT + 3000)
  const jobs = fleet.entries.map((entry, index) => ({ id: `00000000000000a${index}`, runs: entry, cancels: fleet.entries[(index + 1) % fleet.entries.length] }))
  for (const job of jobs) submit(job, record)
  await waitFor('each job runs', () => jobs.every(job => fleet.runs().some(({ task }) => task.startsWith(job.id))), 3000)
  await Promise.all(jobs.map(job => cancel(job, record)))
  await sleep(WATCH)
  return judge(jobs, fleet, record)
}

function submit ({ id, runs }, record) {
  record.write(`client POST ${id} to ${runs.id}, deadline ${DEADLINE} ms`)
  call({ address: runs.callers, method: 'POST', path: `${PREFIX}${id}`, headers: { 'x-deadline-ms': String(DEADLINE) }, body: chainOf(STEPS, STEP_MILLISECONDS) })
    .then(({ status, body }) => record.write(`client POST ${id}: ${status} ${body}`), error => record.write(`client POST ${id}: no answer, ${error.message}`))
}

async function cancel (job, record) {
  record.write(`client DELETE ${job.id} to ${job.cancels.id}`)
  const { status, body } = await call({ address: job.cancels.callers, method: 'DELETE', path: `${PREFIX}${job.id}` })
  job.acknowledgedAt = performance.now()
  record.write(`client DELETE ${job.id}: ${status} ${body}`)
  if (status !== 410 && (status < 200 || status > 299)) throw new NotRun('the cancellation was not acknowledged')
}

/** UNASKED: no task starts later than the bound after the cancellation was acknowledged. */
function judge (jobs, fleet, record) {
  let broken = 0
  for (const { id, acknowledgedAt } of jobs) {
    for (const { task, worker, from } of fleet.runs().filter(run => run.task.startsWith(id) && run.from > acknowledgedAt + CANCEL)) {
      record.write(`UNASKED: ${worker} started ${task} ${Math.round(from - acknowledgedAt)} ms after the cancellation was acknowledged`, from)
      broken += 1
    }
  }
  record.write(`${broken} starts more than ${CANCEL} ms after the cancellation was acknowledged`)
  return broken > 0 ? BROKEN : HELD
}

await runCase(dirname(fileURLToPath(import.meta.url)), play)
