/** A minimal entry for tests of the stand-ins. It runs the tasks of a job at one target and does not detect duplicates. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

import { closeServer, listen, sendJson } from '@amaranthmast/standins/httpserver'
import type { JobSubmission, StandInResult } from '@amaranthmast/standins/records'
import { AnswerKind } from '@amaranthmast/standins/records'

/** Handles a submission: answers it and returns true, or returns false to run it. */
export type Script = (request: IncomingMessage, response: ServerResponse, job: JobSubmission) => boolean

/** An entry whose answers a {@link Script} controls. */
export class FakeEntry {
  readonly #target: string
  readonly #script: Script
  readonly #server: Server
  /** Bodies of the submissions as received. */
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
