/** Runs a TCP proxy on loopback that injects faults of networks and failing hosts into its connections. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export type LinkFault =
  | { readonly kind: 'none' }
  /** Resets new connections at once, and all open ones. */
  | { readonly kind: 'refuse' }
  /** Accepts connections but holds back all data until another fault is set, as a network partition does to open connections. */
  | { readonly kind: 'blackhole' }
  /** Delays each chunk by `ms` milliseconds in both directions. */
  | { readonly kind: 'delay', readonly ms: number }
  /** Resets a connection after `bytes` bytes in the given direction. */
  | { readonly kind: 'cutAfter', readonly direction: 'toClient' | 'toServer', readonly bytes: number }
  /** Holds back the data of one direction; the other direction works. */
  | { readonly kind: 'holdDirection', readonly direction: 'toClient' | 'toServer' }

export type FaultProxy = {
  readonly port: number
  readonly address: string
  readonly url: string
  /** Sets the fault of open and new connections. */
  readonly setFault: (fault: LinkFault) => void
  /** Resets all connections that are open now. */
  readonly resetAll: () => void
  readonly connections: () => number
  /** Makes open connections silent for good, without a reset, while new ones work: all, or those whose last request begins with `request`. Returns their number. */
  readonly silenceOpen: (request?: string) => number
  /** How many clients have ended their connection so far, in order or by a reset. */
  readonly clientEnds: () => number
  /** Changes the target port of new connections, for a target that was restarted or is started after the proxy. */
  readonly setTarget: (port: number) => void
  readonly close: () => Promise<void>
}

type Direction = 'toClient' | 'toServer'

/** The connections of one client and to its target; what arrives on a silent one is lost, and its end is not passed on. */
type Link = { lastRequest: string, isSilent: boolean }

type Chunk = { readonly from: Socket, readonly to: Socket, readonly bytes: Buffer, readonly direction: Direction, readonly passed: { bytes: number }, readonly hold: (action: () => void) => void, readonly retry: () => void }

const MAXIMUM_REQUEST_START_BYTES = 200

const resetPair = (from: Socket, to: Socket): void => {
  from.resetAndDestroy()
  to.resetAndDestroy()
}

const write = ({ from, to, bytes, passed }: Chunk): void => {
  passed.bytes += bytes.byteLength
  if (to.destroyed) return
  if (to.write(bytes)) return
  from.pause()
  to.once('drain', () => from.resume())
}

const writeUntilCut = (chunk: Chunk, limit: number): void => {
  const remainingBytes = limit - chunk.passed.bytes
  if (chunk.bytes.byteLength < remainingBytes) return write(chunk)
  if (remainingBytes <= 0) return resetPair(chunk.from, chunk.to)
  chunk.passed.bytes = limit
  chunk.to.write(chunk.bytes.subarray(0, remainingBytes), () => { resetPair(chunk.from, chunk.to) })
}

const faultHandlers: { readonly [Kind in LinkFault['kind']]: (chunk: Chunk, fault: Extract<LinkFault, { kind: Kind }>) => void } = {
  none: write,
  refuse: ({ from, to }) => { resetPair(from, to) },
  blackhole: ({ hold, retry }) => { hold(retry) },
  delay: (chunk, { ms }) => { setTimeout(() => { write(chunk) }, ms) },
  cutAfter: (chunk, { direction, bytes }) => { direction === chunk.direction ? writeUntilCut(chunk, bytes) : write(chunk) },
  holdDirection: (chunk, { direction }) => { direction === chunk.direction ? chunk.hold(chunk.retry) : write(chunk) }
}

/**
 * Starts a proxy in front of a loopback port.
 *
 * @param firstTargetPort - Port that connections are forwarded to; 0 while there is none yet.
 * @returns The running proxy, with no fault set.
 */
export const createFaultProxy = async (firstTargetPort: number): Promise<FaultProxy> => {
  let fault: LinkFault = { kind: 'none' }
  let targetPort = firstTargetPort
  let held: (() => void)[] = []
  const sockets = new Set<Socket>()
  const links = new Set<Link>()
  const endedClients = new WeakSet<Socket>()
  let clientEnds = 0
  const recordClientEnd = (client: Socket): void => {
    if (!endedClients.has(client)) clientEnds += 1
    endedClients.add(client)
  }
  const hold = (action: () => void): void => { held.push(action) }
  const isHeld = (direction: Direction): boolean => fault.kind === 'blackhole' || (fault.kind === 'holdDirection' && fault.direction === direction)

  const track = (socket: Socket): void => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  }

  const forward = (link: Link, from: Socket, to: Socket, direction: Direction): void => {
    const passed = { bytes: 0 }
    let isReset = false
    // The sender of lost packets sends them again, unless it has reset the connection.
    from.on('error', ({ code }: NodeJS.ErrnoException) => { isReset ||= code === 'ECONNRESET' })
    const forwardChunk = (bytes: Buffer): void => {
      if (isReset || link.isSilent) return
      if (direction === 'toServer') link.lastRequest = bytes.subarray(0, MAXIMUM_REQUEST_START_BYTES).toString('latin1')
      const handler = faultHandlers[fault.kind] as (chunk: Chunk, fault: LinkFault) => void
      handler({ from, to, bytes, direction, passed, hold, retry: () => { forwardChunk(bytes) } }, fault)
    }
    const runOrHold = (action: () => void): void => { isHeld(direction) ? hold(() => { runOrHold(action) }) : action() }
    from.on('data', forwardChunk)
    from.on('end', () => { if (!link.isSilent) runOrHold(() => { to.end() }) })
    from.on('close', () => {
      links.delete(link)
      runOrHold(() => { isReset ? to.resetAndDestroy() : to.destroy() })
    })
  }

  const server = createServer({ allowHalfOpen: true }, (client) => {
    track(client)
    for (const event of ['end', 'error', 'close']) client.on(event, () => recordClientEnd(client))
    if (fault.kind === 'refuse' || targetPort === 0) {
      client.resetAndDestroy()
      return
    }
    const upstream = connect({ host: '127.0.0.1', port: targetPort, allowHalfOpen: true })
    track(upstream)
    upstream.on('error', () => client.resetAndDestroy())
    const link: Link = { lastRequest: '', isSilent: false }
    links.add(link)
    forward(link, client, upstream, 'toServer')
    forward(link, upstream, client, 'toClient')
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo

  const resetAll = (): void => { for (const socket of [...sockets]) socket.resetAndDestroy() }

  return {
    port,
    address: `127.0.0.1:${port}`,
    url: `http://127.0.0.1:${port}`,
    setFault: (next) => {
      fault = next
      const released = held
      held = []
      for (const action of released) action()
      if (next.kind === 'refuse') resetAll()
    },
    resetAll,
    connections: () => sockets.size / 2,
    silenceOpen: (request = '') => {
      const chosen = [...links].filter(({ lastRequest }) => lastRequest.startsWith(request))
      for (const link of chosen) link.isSilent = true
      return chosen.length
    },
    clientEnds: () => clientEnds,
    setTarget: (port) => { targetPort = port },
    close: async () => {
      held = []
      resetAll()
      await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
    }
  }
}
