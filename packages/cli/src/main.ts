/** Entry point of the command-line tool. */
import { openContext } from './context.ts'
import { runProgram } from './program.ts'

const output = {
  out: (text: string) => { process.stdout.write(text) },
  err: (text: string) => { process.stderr.write(text) }
}

process.exitCode = await runProgram(process.argv.slice(2), { output, environment: process.env, open: openContext })
