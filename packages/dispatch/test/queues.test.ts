import type { Queue } from '../src/queues.ts'
import { test } from 'node:test'
import { expect } from 'earl'
import { QueueTable } from '../src/queues.ts'

function queue (name: string, host: string, prefix: string): Queue {
  return { name, host, prefix, service: 's', priority: 0, attempts: 3, slackFactor: 1.6, latency: 60, timeout: 0 }
}

const TABLE = new QueueTable([
  queue('all', 'one.example', '/'),
  queue('checks', 'one.example', '/checks/'),
  queue('deep', 'one.example', '/checks/deep/'),
  queue('short', 'two.example', '/c'),
  queue('again', 'One.Example', '/checks/')
])

function nameOf (host: string, path: string): string | undefined {
  return TABLE.find(host, path)?.name
}

test('the queue with the longest prefix of the path is found', () => {
  expect(nameOf('one.example', '/checks/deep/1')).toEqual('deep')
  expect(nameOf('one.example', '/checks/1')).toEqual('checks')
  expect(nameOf('one.example', '/check')).toEqual('all')
})

test('hosts are distinguished, ignoring case', () => {
  expect(nameOf('TWO.example', '/checks/1')).toEqual('short')
  expect(nameOf('two.example', '/other')).toEqual(undefined)
  expect(nameOf('three.example', '/')).toEqual(undefined)
})

test('of two queues with one host and prefix the first is found', () => {
  expect(nameOf('ONE.EXAMPLE', '/checks/')).toEqual('checks')
})
