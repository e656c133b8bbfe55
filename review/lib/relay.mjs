/** TCP relay on loopback addresses: it can silence the connections that are open for good, delay bytes, and drop answers. */
import { connect, createServer } from 'node:net'

export class Relay {
  #target
  #server = createServer({ allowHalfOpen: true }, client => this.#accept(client))
  #pairs = new Set()
  /** Delay of each chunk in both directions, in milliseconds. */
  delay = 0
  /** Resets a connection as soon as its server has sent something, which is dropped. */
  resetsAtAnswer = false

  /** @param target `host:port` to which connections are forwarded */
  constructor (target) {
    const [host, port] = target.split(':')
    this.#target = { host, port: Number(port) }
  }

  listen (host, port) {
    return new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
  }

  /** Forwards nothing more on the connections that are open now, without closing them; new connections work. Returns their number. */
  silenceOpenConnections () {
    let silenced = 0
    for (const pair of this.#pairs) {
      if (!pair.silent) silenced += 1
      pair.silent = true
    }
    return silenced
  }

  close () {
    this.#server.close()
    for (const { client, server } of this.#pairs) {
      client.destroy()
      server.destroy()
    }
  }

  #accept (client) {
    const server = connect({ ...this.#target, allowHalfOpen: true, noDelay: true })
    client.setNoDelay(true)
    const pair = { client, server, silent: false }
    this.#pairs.add(pair)
    this.#pipe(pair, client, server, () => true)
    this.#pipe(pair, server, client, () => {
      if (!this.resetsAtAnswer) return true
      client.resetAndDestroy()
      server.destroy()
      return false
    })
  }

  #pipe (pair, from, to, passes) {
    const later = action => {
      if (this.delay === 0) action()
      else setTimeout(action, this.delay)
    }
    from.on('data', bytes => { if (!pair.silent && passes()) later(() => { if (!to.destroyed) to.write(bytes) }) })
    from.on('end', () => { if (!pair.silent) later(() => to.end()) })
    from.on('error', () => { if (!pair.silent) to.destroy() })
    from.on('close', () => {
      if (pair.silent) return
      this.#pairs.delete(pair)
      later(() => to.destroySoon())
    })
  }
}
