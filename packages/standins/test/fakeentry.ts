/** A tiny entry for tests of the stand-ins: it runs a job's tasks at one target, with no guard at all. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { closeServer, listen, sendJson } from '@amaranthmast/standins/httpserver'
import type { JobSubmission, StandInResult } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'

/** What the entry does with a submission: answers it, or returns false to run it. */
export type Script = (request: IncomingMessage, response: ServerResponse, job: JobSubmission) => boolean

export class FakeEntry {
  readonly #target: string
  readonly #script: Script
  readonly #server: Server
  /** Bodies of the submissions as they came. */
  readonly bodies: string[] = []
  url = ''

  constructor (target = '', script: Script = () => false) {
    this.#target = target
    this.#script = script
    this.#server = createServer((request, response) => { this.#route(request, response) })
  }

  async listen (): Promise<string> {
    this.url = `http://127.0.0.1:${await listen(this.#server, 0)}`
    return this.url
  }

  close (): Promise<void> {
    return closeServer(this.#server)
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/readyz') return sendJson(response, 200, {})
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const body = Buffer.concat(chunks).toString()
    this.bodies.push(body)
    const job = JSON.parse(body) as JobSubmission
    if (this.#script(request, response, job)) return
    const results = await Promise.all(job.tasks.map((_task, index) => this.#runTask(job, index)))
    sendJson(response, 200, { kind: AnswerKind.Complete, job: job.job, results })
  }

  async #runTask (job: JobSubmission, index: number): Promise<StandInResult> {
    const response = await fetch(`${this.#target}/run`, {
      method: 'POST',
      headers: {
        'x-amaranthmast-tenant': job.tenant,
        'x-amaranthmast-service': job.service,
        'x-amaranthmast-job': job.job,
        'x-amaranthmast-task': String(index)
      },
      body: JSON.stringify(job.tasks[index]?.payload)
    })
    return await response.json() as StandInResult
  }
}
