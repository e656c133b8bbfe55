import { readFileSync } from 'node:fs'
import { playDay } from './src/day.ts'
import { readExperiment } from './src/experiment.ts'
const [file, policy, seed] = process.argv.slice(2)
const e = readExperiment(readFileSync(file as string, 'utf8'))._unsafeUnwrap()
const jobs = new Map<string, string[]>()
const lines: string[] = []
const { figures } = (playDay as any)(e, Number(seed ?? 1), JSON.parse(policy ?? '{"partitions":true}'), (at: number, process: string, what: string, fields: any) => {
  if (what.startsWith('partition') || what.startsWith('holder') || what.includes('slow') || what.includes('given up')) lines.push(`${at.toFixed(0)} ${process} ${what} ${JSON.stringify({ ...fields, names: undefined })}`)
  if (typeof fields.job === 'string') { const l = jobs.get(fields.job) ?? []; l.push(`${at.toFixed(0)} ${process} ${what} ${JSON.stringify(fields)}`); jobs.set(fields.job, l)
    if (what === 'job ended' && (fields.age > fields.objective || fields.kind !== 'completed')) console.log(l.join('\n'), '\n') }
})
console.log(lines.slice(0, 60).join('\n'), lines.length)
console.log(figures)
