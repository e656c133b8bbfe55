/** Writes the published JSON Schema files. Run this script after every schema change. */
import { writeFileSync } from 'node:fs'
import type { PublishedSchemaName } from './schema.ts'
import { PUBLISHED_SCHEMAS, schemaText } from './schema.ts'

for (const name of Object.keys(PUBLISHED_SCHEMAS) as PublishedSchemaName[]) {
  writeFileSync(new URL(`../schema/${name}`, import.meta.url), schemaText(name))
}
