/**
 * Decides whether a failed test run may pass: only when every failed test is listed in
 * KNOWN-RED.txt, whose lines are `test | what was seen | issue | command and seed`, three at
 * the most. A test is recognised by its name alone, whatever its file.
 */
import { existsSync, readFileSync } from 'node:fs'

const MOST_KNOWN = 3

function linesOf (path) {
  if (!existsSync(path)) return []
  return readFileSync(path, 'utf8').split('\n').filter(line => line.trim() !== '')
}

const known = linesOf('KNOWN-RED.txt')
const failed = linesOf('dist/failures.txt')
const names = new Set(known.map(line => line.split('|')[0].trim()))
const unexpected = failed.filter(name => !names.has(name.trim()))

for (const line of known) console.log(`known red: ${line}`)
for (const name of unexpected) console.log(`failed: ${name}`)
const passes = failed.length > 0 && unexpected.length === 0 && known.length <= MOST_KNOWN
process.exit(passes ? 0 : 1)
