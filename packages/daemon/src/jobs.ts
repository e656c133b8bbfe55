/** Parses a caller's request body as a job. The checks are written by hand because every request passes through them. */
import type { Job, JobKey, TaskNeeds, TaskRequest } from '@amaranthmast/coordination/messages'
import { Cause } from '@amaranthmast/coordination/messages'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { createHash } from 'node:crypto'
import {
  DEFAULT_DEADLINE_MILLISECONDS, MAX_DEADLINE_MILLISECONDS, DIGEST_LENGTH, ID_PATTERN, MAX_NEED,
  MAX_RUN_MILLISECONDS, MAX_TASKS
} from './defaults.ts'

/** The request is not a valid job; nothing of it has run. */
export class JobError extends Error {
  readonly code: Cause.Malformed | Cause.TooLarge

  constructor (code: Cause.Malformed | Cause.TooLarge, message: string) {
    super(message)
    this.name = 'JobError'
    this.code = code
  }
}

type Fields = Record<string, unknown>

const JOB_FIELDS = new Set(['job', 'tenant', 'service', 'repeatable', 'deadlineMilliseconds', 'lodgedAt', 'tasks'])
const TASK_FIELDS = new Set(['payload', 'runMilliseconds', 'needs'])
const NEEDS_FIELDS = new Set(['accelerators', 'memoryMegabytes'])
const NO_NEEDS: TaskNeeds = { accelerators: 0, memoryMegabytes: 0 }

/** Returns the identity of a job: the caller's job id within its tenant. */
export function jobKey (tenant: string, job: string): JobKey {
  return `${tenant}/${job}`
}

/** Parses a request body. */
export function parseJob (body: Uint8Array): Result<Job, JobError> {
  try {
    return ok(readJob(parseBody(body)))
  } catch (error) {
    if (error instanceof JobError) return err(error)
    throw error
  }
}

function readJob (fields: Fields): Job {
  rejectUnknownFields(fields, JOB_FIELDS, '')
  const tenant = readId(fields, 'tenant')
  const service = readId(fields, 'service')
  const repeatable = readBoolean(fields, 'repeatable')
  const tasks = readTasks(fields.tasks)
  return {
    key: jobKey(tenant, readId(fields, 'job')),
    tenant,
    service,
    digest: digestOf(tenant, service, repeatable, tasks),
    repeatable,
    remainingMilliseconds: readNumber(fields, 'deadlineMilliseconds', '', 1, MAX_DEADLINE_MILLISECONDS, DEFAULT_DEADLINE_MILLISECONDS),
    lodgedAt: readNumber(fields, 'lodgedAt', '', 0, Number.MAX_SAFE_INTEGER, 0),
    tasks
  }
}

function parseBody (body: Uint8Array): Fields {
  try {
    return asObject(JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.length).toString('utf8')), 'the body')
  } catch (error) {
    if (error instanceof JobError) throw error
    throw malformed('the body is not JSON')
  }
}

function readTasks (value: unknown): TaskRequest[] {
  if (!Array.isArray(value) || value.length === 0) throw malformed('"tasks" must be a list of at least one task')
  if (value.length > MAX_TASKS) {
    throw new JobError(Cause.TooLarge, `a job has at most ${MAX_TASKS} tasks, this one has ${value.length}: split it`)
  }
  return value.map((task, index) => readTask(task, `tasks[${index}]`))
}

function readTask (value: unknown, path: string): TaskRequest {
  const fields = asObject(value, path)
  rejectUnknownFields(fields, TASK_FIELDS, `${path}.`)
  if (!('payload' in fields)) throw malformed(`"${path}.payload" is missing: give any JSON value`)
  return {
    payload: Buffer.from(JSON.stringify(fields.payload)),
    runMilliseconds: readNumber(fields, 'runMilliseconds', `${path}.`, 0, MAX_RUN_MILLISECONDS, 0),
    needs: readNeeds(fields.needs, `${path}.needs`)
  }
}

function readNeeds (value: unknown, path: string): TaskNeeds {
  if (value === undefined) return NO_NEEDS
  const fields = asObject(value, path)
  rejectUnknownFields(fields, NEEDS_FIELDS, `${path}.`)
  return {
    accelerators: readInteger(fields, 'accelerators', `${path}.`),
    memoryMegabytes: readInteger(fields, 'memoryMegabytes', `${path}.`)
  }
}

function readId (fields: Fields, name: string): string {
  const value = fields[name]
  if (typeof value === 'string' && ID_PATTERN.test(value)) return value
  throw malformed(`"${name}" must be 1 to 128 letters, digits, dots, underscores, colons or hyphens`)
}

function readBoolean (fields: Fields, name: string): boolean {
  const value = fields[name] ?? false
  if (typeof value === 'boolean') return value
  throw malformed(`"${name}" must be true or false`)
}

function readNumber (fields: Fields, name: string, path: string, min: number, max: number, fallback: number): number {
  const value = fields[name] ?? fallback
  if (typeof value === 'number' && value >= min && value <= max) return value
  throw malformed(`"${path}${name}" must be a number from ${min} to ${max}`)
}

function readInteger (fields: Fields, name: string, path: string): number {
  const value = readNumber(fields, name, path, 0, MAX_NEED, 0)
  if (Number.isInteger(value)) return value
  throw malformed(`"${path}${name}" must be a whole number`)
}

function asObject (value: unknown, path: string): Fields {
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) return value as Fields
  throw malformed(`${path} must be a JSON object`)
}

/** Refuses unknown fields: a misspelt field would otherwise leave its default in force unnoticed. */
function rejectUnknownFields (fields: Fields, known: ReadonlySet<string>, path: string): void {
  for (const name of Object.keys(fields)) {
    if (!known.has(name)) throw malformed(`"${path}${name}" is not a field: use ${[...known].join(', ')}`)
  }
}

function malformed (message: string): JobError {
  return new JobError(Cause.Malformed, message)
}

/** Digest of the fields that determine the outcome. Deadline and lodging time are left out, as they may differ when a job is sent again. */
function digestOf (tenant: string, service: string, repeatable: boolean, tasks: readonly TaskRequest[]): string {
  const hash = createHash('sha256')
  hash.update(`${tenant}\n${service}\n${repeatable}\n`)
  for (const { payload, runMilliseconds, needs } of tasks) {
    hash.update(`${payload.length} ${runMilliseconds} ${needs.accelerators} ${needs.memoryMegabytes}\n`)
    hash.update(payload)
  }
  return hash.digest('base64url').slice(0, DIGEST_LENGTH)
}
