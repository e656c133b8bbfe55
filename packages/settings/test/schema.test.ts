/** Tests that the published JSON Schemas are up to date and that every value in them has an example. */
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import type { PublishedSchemaName } from '../src/schema.ts'
import { PUBLISHED_SCHEMAS, schemaText } from '../src/schema.ts'

const NAMES = Object.keys(PUBLISHED_SCHEMAS) as PublishedSchemaName[]

interface SchemaNode {
  type?: string
  examples?: unknown[]
  properties?: Record<string, SchemaNode>
  additionalProperties?: SchemaNode | false
  items?: SchemaNode
  oneOf?: SchemaNode[]
}

/** Returns the paths of all values that are not objects and have no example. */
function withoutExample (node: SchemaNode, path: string): string[] {
  if (node.type !== 'object' && node.oneOf === undefined && node.examples === undefined) return [path]
  const children = [
    ...Object.entries(node.properties ?? {}),
    ...(typeof node.additionalProperties === 'object' ? [['*', node.additionalProperties] as const] : []),
    ...(node.items === undefined ? [] : [['[]', node.items] as const]),
    ...(node.oneOf ?? []).map((option, index) => [`option ${index}`, option] as const)
  ]
  return children.flatMap(([name, child]) => withoutExample(child, `${path}.${name}`))
}

for (const name of NAMES) {
  test(`the published ${name} is up to date`, () => {
    const published = readFileSync(new URL(`../schema/${name}`, import.meta.url), 'utf8')
    expect(published).toEqual(schemaText(name))
  })

  test(`every value in ${name} has an example`, () => {
    expect(withoutExample(JSON.parse(schemaText(name)) as SchemaNode, name)).toEqual([])
  })
}
