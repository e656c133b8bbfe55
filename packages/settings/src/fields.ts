/** Field schemas shared by the settings file and the configuration file. */
import * as z from 'zod/mini'

const NAME_FORM = 'must be 1 to 64 letters, digits, dots, underscores and hyphens, the first a letter or digit'

/** Name of a daemon, data centre, rack, provider, service or tenant. */
export const nameSchema = z.string().check(z.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, { error: NAME_FORM }))

/** A name or the empty string. */
export const optionalNameSchema = z.string().check(z.regex(/^([A-Za-z0-9][A-Za-z0-9._-]{0,63})?$/, { error: NAME_FORM }))

/** Key prefix in the key-value service. */
export const prefixSchema = z.string().check(z.regex(/^\/(.*\/)?$/, { error: 'must begin and end with a slash' }))

/** HTTP or HTTPS URL. */
export const urlSchema = z.url({ protocol: /^https?$/, error: 'must be a http or https address' })

/** Non-negative count. */
export const countSchema = z.int().check(z.minimum(0), z.maximum(1_000_000_000))

/** Duration in milliseconds: 1 ms to 1 day. */
export const millisecondsSchema = z.int().check(z.minimum(1), z.maximum(86_400_000))

/** TCP port; 0 lets the operating system choose. */
export const portSchema = z.int().check(z.minimum(0), z.maximum(65535))

/** Returns a copy of a schema with a description and examples. The copy allows different descriptions for each use of a schema. */
export function described<S extends z.core.$ZodType> (schema: S, description: string, ...examples: unknown[]): S {
  const copy = z.clone(schema)
  z.globalRegistry.add(copy, examples.length === 0 ? { description } : { description, examples })
  return copy
}
