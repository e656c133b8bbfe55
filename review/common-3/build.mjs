/** Bundles the script of each case together with the project's stand-ins, one file for each case. */
import { existsSync } from 'node:fs'
import { mkdir } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const CASES = [7, 8, 9, 10, 11]

const review = dirname(dirname(fileURLToPath(import.meta.url)))
const output = join(dirname(review), 'target', 'review-3')

await mkdir(output, { recursive: true })
const entryPoints = Object.fromEntries(CASES.map(number => [`case-${number}`, join(review, String(number), 'case.mjs')]).filter(([, source]) => existsSync(source)))
if (Object.keys(entryPoints).length > 0) {
  await build({
    absWorkingDir: dirname(review),
    entryPoints,
    outdir: output,
    outExtension: { '.js': '.mjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    legalComments: 'none',
    logLevel: 'warning'
  })
}
