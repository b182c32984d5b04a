/**
 * Opens the listener of a server. While its port can't be had, for instance because the
 * process before still holds it, the listener says so once and tries again: a process
 * that ended would lose what else it serves, and find the port held at its next start too.
 */
import type { AddressInfo, Server } from 'node:net'
import { createSystemClock } from '../systemClock/index.js'
import type { Logger, PeerAddress } from '../../types/index.js'

export type OpenListenerOptions = {
  readonly server: Server
  /** Port 0 lets the operating system choose. */
  readonly address: PeerAddress
  /** What the listener is for, in log lines. */
  readonly part: string
  readonly logger?: Pick<Logger, 'warn' | 'info'> | undefined
  readonly backlog?: number | undefined
  readonly retryMs?: number | undefined
}

export type Listener = {
  /** Resolves after the first try with the address it listens on, or will listen on. */
  readonly tried: Promise<PeerAddress>
  /** Resolves with the address it listens on once it does. */
  readonly opened: Promise<PeerAddress>
  readonly isOpen: () => boolean
  /** Ends the tries and closes the listener; connections that were accepted stay open. */
  readonly close: () => void
}

/** Delay before the next try. A try costs a few system calls. */
const RETRY_MS = 100

/** Logs errors of a server, such as a connection that can't be accepted for want of a file descriptor. */
export const logServerErrors = (server: Server, part: string, logger?: Pick<Logger, 'warn'>): void => {
  server.on('error', (error) => logger?.warn('listener failed', { part, reason: error.message }))
}

/**
 * Opens the listener.
 *
 * @param options - The server, where it listens, and what for.
 * @returns The listener; it tries until it is open or closed.
 *
 * @example
 * const listener = openListener({ server, address: { host: '127.0.0.1', port: 8080 }, part: 'metrics', logger })
 * await listener.opened
 */
export const openListener = ({ server, address, part, logger, backlog, retryMs = RETRY_MS }: OpenListenerOptions): Listener => {
  const clock = createSystemClock()
  const begunAt = clock.now()
  let timer: ReturnType<typeof setTimeout> | undefined
  let isOpen = false
  let isClosed = false
  let isWaiting = false
  let resolveTried: (address: PeerAddress) => void
  let resolveOpened: (address: PeerAddress) => void
  const tried = new Promise<PeerAddress>((resolve) => { resolveTried = resolve })
  const opened = new Promise<PeerAddress>((resolve) => { resolveOpened = resolve })

  const listen = (): void => { server.listen({ host: address.host, port: address.port, backlog }) }

  const waitForPort = (error: Error): void => {
    if (!isWaiting) logger?.warn('listener waits for its port', { part, host: address.host, port: address.port, reason: error.message })
    isWaiting = true
    timer = setTimeout(listen, retryMs)
    resolveTried(address)
  }

  server.on('error', (error) => {
    if (isClosed) return
    if (isOpen) return logger?.warn('listener failed', { part, reason: error.message })
    waitForPort(error)
  })
  server.on('listening', () => {
    isOpen = true
    const bound = { host: address.host, port: (server.address() as AddressInfo).port }
    if (isWaiting) logger?.info('listener got its port', { part, ...bound, waitedMs: Math.round(clock.now() - begunAt) })
    resolveOpened(bound)
    resolveTried(bound)
  })
  listen()
  return {
    tried,
    opened,
    isOpen: () => isOpen,
    close: () => {
      isClosed = true
      clearTimeout(timer)
      server.close()
    }
  }
}
