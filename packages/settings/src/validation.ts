/** Validates a value against a zod schema and converts the library's issues to faults with examples. */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import * as z from 'zod/mini'
import { DocumentRefused } from './errors.ts'
import type { Fault } from './fault.ts'
import { formatPath } from './fault.ts'

type Schema = z.core.$ZodType
type Issue = z.core.$ZodIssue
type Path = readonly PropertyKey[]

const EXAMPLE_NAME = 'label-check'

/** Parses JSON text. The reason of the fault is the parser's message. */
export function parseJson (text: string): Result<unknown, DocumentRefused> {
  try {
    return ok(JSON.parse(text, refuseReservedKey))
  } catch (error) {
    const reason = `is not JSON: ${(error as Error).message}`
    return err(new DocumentRefused([{ path: formatPath([]), reason, example: '{"name":"value"}' }]))
  }
}

/**
 * Rejects the key `__proto__`. Record schemas drop it silently, so a service with that name would be
 * accepted but never served. Only the JSON reviver can still detect the key.
 */
function refuseReservedKey (key: string, value: unknown): unknown {
  if (key === '__proto__') throw new SyntaxError('the name __proto__ is reserved')
  return value
}

/** Validates a value and reports all faults at once. */
export function validate<S extends Schema> (schema: S, value: unknown): Result<z.output<S>, DocumentRefused> {
  const parsed = z.safeParse(schema, value)
  if (parsed.success) return ok(parsed.data)
  return err(new DocumentRefused(parsed.error.issues.flatMap((issue) => toFaults(schema, issue, value))))
}

function toFaults (schema: Schema, issue: Issue, value: unknown): Fault[] {
  if (issue.code === 'unrecognized_keys') return toUnknownFieldFaults(schema, issue, value)
  const actual = valueAt(value, issue.path)
  const example = exampleAt(schema, issue, value)
  return [{ path: formatPath(issue.path), reason: formatReason(issue, actual), example }]
}

function toUnknownFieldFaults (schema: Schema, issue: Issue & { code: 'unrecognized_keys' }, value: unknown): Fault[] {
  const objectSchema = schemaAt(schema, issue.path, value)
  const known = objectSchema === undefined ? [] : fieldsOf(objectSchema)
  const example = known.length === 0 ? 'none' : `one of the known fields ${known.join(', ')}`
  return issue.keys.map((key) => ({ path: formatPath([...issue.path, key]), reason: 'is an unknown field', example }))
}

const REASONS: { [Code in Issue['code']]?: (issue: Issue & { code: Code }, found: unknown) => string } = {
  invalid_type: (issue, found) => `must be ${TYPE_NAMES[issue.expected] ?? issue.expected}, not ${describeType(found)}`,
  too_small: (issue) => `must ${formatBound(issue.origin, 'least', issue.minimum, issue.inclusive)}`,
  too_big: (issue) => `must ${formatBound(issue.origin, 'most', issue.maximum, issue.inclusive)}`,
  invalid_format: (issue, found) => `${issue.message}, not ${JSON.stringify(found)}`,
  invalid_value: (issue) => `must be one of ${issue.values.map(String).join(', ')}`,
  invalid_union: (issue) => `must be one of ${(issue as { options?: unknown[] }).options?.join(', ') ?? 'the known forms'}`,
  invalid_key: (issue) => `the name ${issue.issues[0]?.message ?? 'is refused'}`,
  custom: (issue) => issue.message
}

const TYPE_NAMES: Record<string, string> = {
  string: 'a text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'an object',
  record: 'an object'
}

function formatReason (issue: Issue, actual: unknown): string {
  if (actual === undefined && issue.code !== 'custom') return 'is missing'
  const handler = REASONS[issue.code] as ((issue: Issue, found: unknown) => string) | undefined
  return handler === undefined ? issue.message : handler(issue, actual)
}

function describeType (value: unknown): string {
  if (value === null) return 'null'
  if (Array.isArray(value)) return 'a list'
  if (typeof value === 'number') return String(value)
  if (typeof value === 'string') return 'a text'
  if (typeof value === 'object') return 'an object'
  return String(value)
}

function formatBound (origin: string, side: 'least' | 'most', bound: unknown, inclusive = true): string {
  if (origin === 'string') return `have at ${side} ${String(bound)} characters`
  if (origin === 'array') return `have at ${side} ${String(bound)} ${bound === 1 ? 'item' : 'items'}`
  if (inclusive) return `be at ${side} ${String(bound)}`
  return `be ${side === 'least' ? 'above' : 'below'} ${String(bound)}`
}

function valueAt (value: unknown, path: Path): unknown {
  let current = value
  for (const step of path) {
    if (typeof current !== 'object' || current === null) return undefined
    current = (current as Record<PropertyKey, unknown>)[step]
  }
  return current
}

function exampleAt (schema: Schema, issue: Issue, value: unknown): string {
  if (issue.code === 'custom' && typeof issue.params?.example === 'string') return issue.params.example
  if (issue.code === 'invalid_key') return EXAMPLE_NAME
  const valueSchema = schemaAt(schema, issue.path, value)
  return valueSchema === undefined ? 'none' : exampleOf(valueSchema)
}

/** Returns the example registered for a schema as JSON, or the field names of an object schema without an example. */
function exampleOf (schema: Schema): string {
  for (let current: Schema | undefined = schema; current !== undefined; current = innerSchema(current)) {
    const examples = z.globalRegistry.get(current)?.examples as unknown[] | undefined
    if (examples !== undefined) return JSON.stringify(examples[0])
  }
  const fields = fieldsOf(schema)
  return fields.length === 0 ? '{}' : `an object with ${fields.join(', ')}`
}

/** Subset of zod's schema definition that is used here. */
interface Definition {
  type: string
  shape?: Record<string, Schema>
  valueType?: Schema
  element?: Schema
  innerType?: Schema
  options?: readonly Schema[]
  discriminator?: string
}

function definitionOf (schema: Schema): Definition {
  return schema._zod.def as unknown as Definition
}

function innerSchema (schema: Schema): Schema | undefined {
  return definitionOf(schema).innerType
}

function unwrap (schema: Schema): Schema {
  const inner = innerSchema(schema)
  return inner === undefined ? schema : unwrap(inner)
}

function fieldsOf (schema: Schema): string[] {
  return Object.keys(definitionOf(unwrap(schema)).shape ?? {})
}

/** Returns the schema that the value at the path was validated against. */
function schemaAt (schema: Schema, path: Path, value: unknown): Schema | undefined {
  const definition = definitionOf(unwrap(schema))
  if (definition.options !== undefined) return schemaAt(selectOption(definition, value), path, value)
  const [step, ...rest] = path
  if (step === undefined) return schema
  const next = definition.shape?.[String(step)] ?? definition.valueType ?? definition.element
  return next === undefined ? undefined : schemaAt(next, rest, valueAt(value, [step]))
}

function selectOption (definition: Definition, value: unknown): Schema {
  const options = definition.options ?? []
  const tag = valueAt(value, [definition.discriminator ?? ''])
  const match = options.find((option) => {
    const literal = definitionOf(option).shape?.[definition.discriminator ?? '']
    return literal !== undefined && z.safeParse(literal, tag).success
  })
  return match ?? options[0] as Schema
}
