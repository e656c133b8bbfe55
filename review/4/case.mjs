/** A cancelled job runs after all: the entries that knew of the cancellation have been killed, and a late repetition of the submission arrives. */
import { BROKEN, CANCEL, CONTACT, HELD, NotRun, call, chainOf, configurationOf, runCase, sleep, waitFor } from '../common-2/fleet.mjs'

const PREFIX = '/checks/'
const STEPS = 12
const STEP_MILLISECONDS = 600
const DEADLINE = 15_000
const ID = '00000000000000b0'
/** Time from the kill until the processes are started again. */
const DOWN = 1000
/** Time after the repetition during which the job is watched: longer than the whole job. */
const WATCH = 9000

async function play ({ fleet, record, trouble }) {
  await fleet.start({ entries: 3, agents: 4, duration: STEP_MILLISECONDS, configuration: configurationOf(7, [{ name: 'checks', prefix: PREFIX }]) })
  await sleep(CONTACT + 1000)
  const [first, second, third] = fleet.entries
  const submission = submit(first, record)
  await waitFor('the job runs', () => fleet.runs().some(({ task }) => task.startsWith(ID)), 3000)
  record.write(`client DELETE ${ID} to ${second.id}`)
  const cancelled = await call({ address: second.callers, method: 'DELETE', path: `${PREFIX}${ID}` })
  const acknowledgedAt = performance.now()
  record.write(`client DELETE ${ID}: ${cancelled.status} ${cancelled.body}`)
  if (cancelled.status !== 410 && (cancelled.status < 200 || cancelled.status > 299)) throw new NotRun('the cancellation was not acknowledged')
  const { status } = await submission
  if (status < 200 || status > 299) throw new NotRun('the submission got no 2xx response')
  await sleep(500)
  if (trouble) {
    record.write('all entries are killed')
    await Promise.all(fleet.entries.map(entry => fleet.kill(entry)))
    await sleep(DOWN)
    record.write('all entries are started again')
    await Promise.all(fleet.entries.map(entry => fleet.launch(entry)))
  }
  for (const entry of fleet.entries) await fleet.ready(entry)
  // All machines are in touch again after this time.
  await sleep(CONTACT + 1500)
  const repetition = submit(third, record)
  await sleep(WATCH)
  await Promise.race([repetition, sleep(DEADLINE)])
  return judge(acknowledgedAt, fleet, record)
}

async function submit (entry, record) {
  record.write(`client POST ${ID} to ${entry.id}, deadline ${DEADLINE} ms`)
  try {
    const answer = await call({ address: entry.callers, method: 'POST', path: `${PREFIX}${ID}`, headers: { 'x-deadline-ms': String(DEADLINE) }, body: chainOf(STEPS, STEP_MILLISECONDS) })
    record.write(`client POST ${ID}: ${answer.status} ${answer.body}`)
    return answer
  } catch (error) {
    record.write(`client POST ${ID}: no answer, ${error.message}`)
    return { status: 0 }
  }
}

/** UNASKED: no task starts later than the bound after the cancellation was acknowledged. */
function judge (acknowledgedAt, fleet, record) {
  const late = fleet.runs().filter(run => run.task.startsWith(ID) && run.from > acknowledgedAt + CANCEL)
  for (const { task, worker, from } of late) record.write(`UNASKED: ${worker} started ${task} ${Math.round(from - acknowledgedAt)} ms after the cancellation was acknowledged`, from)
  record.write(`${late.length} starts more than ${CANCEL} ms after the cancellation was acknowledged`)
  return late.length > 0 ? BROKEN : HELD
}

await runCase(play)
