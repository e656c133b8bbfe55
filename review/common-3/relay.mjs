/** TCP relays that play partitions: bytes of a pair that is cut are held until the cut heals. */
import { connect, createServer } from 'node:net'

/** Which pairs of machines, or a machine and the store, cannot reach each other. */
export class Cuts {
  #pairs = new Set()
  #healed = []

  cut (one, other) {
    this.#pairs.add(`${one}|${other}`)
    this.#pairs.add(`${other}|${one}`)
  }

  heal () {
    this.#pairs.clear()
    for (const flush of this.#healed) flush()
  }

  has (one, other) {
    return this.#pairs.has(`${one}|${other}`)
  }

  onHeal (flush) {
    this.#healed.push(flush)
  }
}

/** Relays the connections to one listener. The machine that connects is given, or read from its first line. */
export class Relay {
  #cuts
  #target
  #name
  #from
  #server
  #sockets = new Set()

  /**
   * @param target address of the listener, `host:port`
   * @param name name of the machine that listens
   * @param from name of the machine that connects; undefined if its first line names it
   */
  constructor (cuts, target, name, from) {
    this.#cuts = cuts
    this.#target = target
    this.#name = name
    this.#from = from
    this.#server = createServer(socket => this.#accept(socket))
  }

  async listen (host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, resolve)
    })
    return `${host}:${this.#server.address().port}`
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (inbound) {
    const [host, port] = this.#target.split(':')
    const outbound = connect({ host, port: Number(port) })
    let from = this.#from
    let firstLine = ''
    const isCut = () => from === undefined || this.#cuts.has(from, this.#name)
    const toTarget = new Held(outbound, isCut)
    const toDialer = new Held(inbound, isCut)
    this.#cuts.onHeal(() => {
      toTarget.flush()
      toDialer.flush()
    })
    for (const socket of [inbound, outbound]) {
      socket.setNoDelay(true)
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.#sockets.delete(socket))
    }
    inbound.on('data', chunk => {
      toTarget.write(chunk)
      if (from !== undefined) return
      firstLine += chunk.toString('utf8')
      if (!firstLine.includes('\n')) return
      from = JSON.parse(firstLine.slice(0, firstLine.indexOf('\n'))).name
      toTarget.flush()
      toDialer.flush()
    })
    outbound.on('data', chunk => toDialer.write(chunk))
    inbound.on('close', () => toTarget.end())
    outbound.on('close', () => toDialer.end())
  }
}

/** One direction of a connection. */
class Held {
  #socket
  #isCut
  #chunks = []
  #ended = false

  constructor (socket, isCut) {
    this.#socket = socket
    this.#isCut = isCut
  }

  write (chunk) {
    this.#chunks.push(chunk)
    this.flush()
  }

  /** The end of a connection crosses no cut either. */
  end () {
    this.#ended = true
    this.flush()
  }

  flush () {
    if (this.#isCut()) return
    for (const chunk of this.#chunks) if (!this.#socket.destroyed) this.#socket.write(chunk)
    this.#chunks = []
    if (this.#ended) this.#socket.destroy()
  }
}
