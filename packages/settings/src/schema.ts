/** Generates the published JSON Schemas from the schemas that the programs validate with. */
import * as z from 'zod/mini'
import { configurationFileSchema } from './configurationfile.ts'
import { settingsSchema } from './settings.ts'

/** Schemas by the name of their published file in `packages/settings/schema`. */
export const PUBLISHED_SCHEMAS = {
  'settings.json': settingsSchema,
  'configuration.json': configurationFileSchema
} as const

/** Name of a published file. */
export type PublishedSchemaName = keyof typeof PUBLISHED_SCHEMAS

/** Generates the text of a published file. Rules between fields, such as the sum of shares, are not included. */
export function schemaText (name: PublishedSchemaName): string {
  const schema = z.toJSONSchema(PUBLISHED_SCHEMAS[name], { io: 'input', target: 'draft-2020-12' })
  return JSON.stringify(schema, undefined, 2) + '\n'
}
