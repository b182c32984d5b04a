/**
 * Opens the listener for requests of peers on the first free port of a range. Callers are
 * served without it, and heartbeats tell peers its port, so a port that is held is left out
 * instead of being waited for.
 */
import { openHandoverListener, type HandoverListener } from '../../../adapters/handoverListener/index.js'
import type { Logger, PeerAddress } from '../../../types/index.js'

/** Resolves with the open listener; `undefined` when no port of the range can be had. */
export const openRelayListener = async (address: PeerAddress, lastPort: number | undefined, logger: Pick<Logger, 'warn' | 'info'>): Promise<HandoverListener | undefined> => {
  const part = 'relayedRequests'
  for (let port = address.port; port <= Math.max(address.port, lastPort ?? 0); port += 1) {
    const listener = openHandoverListener({ ...address, port }, { part })
    await listener.tried
    if (listener.isOpen()) {
      if (port !== address.port) logger.info('listener takes another port', { part, port, instead: address.port })
      return listener
    }
    listener.stopAccepting()
  }
  logger.warn('listener left out', { part, host: address.host, port: address.port, lastPort, reason: 'no port of the range can be had' })
  return undefined
}
