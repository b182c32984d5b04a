/**
 * A loopback port in front of another one whose new connections can be let through, left
 * hanging, or refused, while the connections that are already open live on.
 */
import { randomInt } from 'node:crypto'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

export type Gate = {
  readonly port: number
  /** New connections pass. */
  readonly open: () => Promise<void>
  /** The first packet of new connections is dropped, so that connecting hangs. */
  readonly hang: () => Promise<void>
  /** New connections are refused. */
  readonly refuse: () => Promise<void>
  readonly close: () => Promise<void>
}

/** Connections that fill the queue of a listener with a backlog of 1. */
const QUEUE_LENGTH = 2

/** Below the ports that the system gives to connections: one of these could take the port of a gate that refuses, and keep it. */
const PORTS = { from: 12_000, to: 32_000 }

/** A thread that listens and accepts nothing: once its queue is full, the kernel drops the first packet of each connection. */
const HANGING_LISTENER = `
  const { parentPort, workerData } = require('node:worker_threads')
  const server = require('node:net').createServer()
  server.listen({ host: '127.0.0.1', port: workerData.port, backlog: 1 }, () => {
    parentPort.postMessage('listening')
    setImmediate(() => {
      Atomics.wait(new Int32Array(workerData.released), 0, 0)
      process.exit()
    })
  })
`

const openPair = (client: Socket, port: number, sockets: Set<Socket>): void => {
  const upstream = connect({ host: '127.0.0.1', port, allowHalfOpen: true })
  for (const [from, to] of [[client, upstream], [upstream, client]] as const) {
    sockets.add(from)
    from.setNoDelay(true)
    from.pipe(to)
    from.on('error', () => to.resetAndDestroy())
    from.on('close', () => {
      sockets.delete(from)
      to.destroy()
    })
  }
}

/** Not awaited: connections of the node under test may take the places first, and then these hang. */
const fillQueue = (port: number): readonly Socket[] => Array.from({ length: QUEUE_LENGTH }, () => {
  const socket = connect({ host: '127.0.0.1', port })
  socket.on('error', () => { /* reset when the listener is released */ })
  return socket
})

const startHangingListener = async (port: number): Promise<() => Promise<void>> => {
  const released = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)
  const worker = new Worker(HANGING_LISTENER, { eval: true, workerData: { port, released } })
  const ended = new Promise<void>((resolve) => { worker.once('exit', () => resolve()) })
  await new Promise<void>((resolve, reject) => {
    worker.once('message', () => resolve())
    worker.once('error', reject)
  })
  const fillers = fillQueue(port)
  return async () => {
    Atomics.store(new Int32Array(released), 0, 1)
    Atomics.notify(new Int32Array(released), 0)
    await ended
    for (const filler of fillers) filler.destroy()
  }
}

/** Opens the gate in front of a port. */
export const createGate = async (targetPort: number): Promise<Gate> => {
  const sockets = new Set<Socket>()
  let release: () => Promise<void> = async () => {}
  let changes = Promise.resolve()

  const listen = async (port: number): Promise<Server> => {
    const server = createServer({ allowHalfOpen: true }, (client) => openPair(client, targetPort, sockets))
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, '127.0.0.1', resolve)
    })
    // Not awaited: the listener is closed at once, but the event comes only after the open connections.
    release = async () => { server.close() }
    return server
  }

  const listenAnywhere = async (): Promise<Server> => {
    try {
      return await listen(randomInt(PORTS.from, PORTS.to))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error
      return await listenAnywhere()
    }
  }

  const { port } = (await listenAnywhere()).address() as AddressInfo

  /** Changes run one after another, as the port can have one listener only. */
  const change = (start: () => Promise<unknown>): Promise<void> => {
    changes = changes.then(async () => {
      await release()
      release = async () => {}
      await start()
    })
    return changes
  }

  return {
    port,
    open: () => change(() => listen(port)),
    hang: () => change(async () => { release = await startHangingListener(port) }),
    refuse: () => change(async () => {}),
    close: async () => {
      await change(async () => {})
      for (const socket of sockets) socket.destroy()
    }
  }
}
