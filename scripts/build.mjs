/**
 * Bundles each program into one file under dist/, or into a few where roles differ. A small file
 * starts faster and holds less memory than the tree of modules that it is made of. Names are kept,
 * so that stack traces stay readable. A program whose source is missing is skipped with a line that
 * says so.
 *
 * node scripts/build.mjs [DIRECTORY [PROGRAM ...]]: all programs into dist/ when nothing is named.
 */
import { existsSync } from 'node:fs'
import { mkdir } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

import { build } from 'esbuild'

/** Stack traces quote the line that threw: one of a megabyte would bury the message. */
const LINE_LIMIT = 160

const root = dirname(dirname(fileURLToPath(import.meta.url)))

const programs = {
  amaranthmastd: 'packages/daemon/src/main.ts',
  amaranthmast: 'packages/cli/src/main.ts',
  keyvalue: 'packages/standins/src/keyvaluemain.ts',
  target: 'packages/standins/src/targetmain.ts',
  load: 'packages/standins/src/loadmain.ts',
  demo: 'packages/standins/src/demo.ts',
  fleet: 'packages/standins/src/fleetmain.ts',
  bench: 'packages/bench/src/main.ts',
  capacity: 'packages/bench/src/capacity.ts',
  path: 'packages/bench/src/path.ts',
  experiment: 'packages/emulator/src/main.ts',
  playthread: 'packages/emulator/src/playthread.ts',
  'amaranthmast-fleet': 'platform/src/main.ts'
}

const [directory = 'dist', ...wanted] = process.argv.slice(2)

/**
 * Programs whose parts are loaded by roles: what a process imports only in another role stays in a
 * file under parts/ that it never reads, which saves an idle agent 2 to 4 MB.
 */
const splitPrograms = new Set(['amaranthmastd', 'amaranthmast-fleet'])

/** CommonJS dependencies (pino among them) use what an ES module does not define. */
const commonJsBanner = [
  "import { createRequire as createBundleRequire } from 'node:module'",
  "import { dirname as directoryOf } from 'node:path'",
  "import { fileURLToPath as pathOfUrl } from 'node:url'",
  'const require = createBundleRequire(import.meta.url)',
  'const bundleFile = pathOfUrl(import.meta.url)',
  'const bundleDirectory = directoryOf(bundleFile)'
].join('\n')

/** Names of the banner: other ones than the original, which some modules declare for themselves. */
const commonJsNames = { __filename: 'bundleFile', __dirname: 'bundleDirectory' }

/**
 * HTTP/2 stays out: no process of ours speaks it through this client, and loading it with TLS took 14 ms of the processor
 * time of each start (62 ms without Node's own). The client chooses it by what TLS agreed, so it is never asked for.
 */
const withoutHttp2 = {
  name: 'without-http2',
  setup (builder) {
    builder.onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({ contents: 'module.exports = () => { throw new Error("HTTP/2 is left out of this build") }' }))
  }
}

function bundle (name, source) {
  return build({
    absWorkingDir: root,
    entryPoints: { [name]: source },
    outdir: directory,
    splitting: splitPrograms.has(name),
    chunkNames: 'parts/[name]-[hash]',
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    mainFields: ['module', 'main'],
    minifyWhitespace: true,
    minifySyntax: true,
    lineLimit: LINE_LIMIT,
    plugins: [withoutHttp2],
    legalComments: 'none',
    define: commonJsNames,
    banner: { js: commonJsBanner },
    logLevel: 'warning'
  })
}

await mkdir(join(root, directory), { recursive: true })
const present = []
for (const [name, source] of Object.entries(programs)) {
  if (wanted.length > 0 && !wanted.includes(name)) continue
  if (existsSync(join(root, source))) present.push([name, source])
  else console.log(`skipped ${directory}/${name}.js: there is no ${source}`)
}

const outcomes = await Promise.allSettled(present.map(([name, source]) => bundle(name, source)))
outcomes.forEach((outcome, index) => {
  const [name, source] = present[index]
  if (outcome.status === 'fulfilled') return
  console.error(`failed ${directory}/${name}.js: ${source} does not build, see the messages above`)
  process.exitCode = 1
})
