import { parseAddress } from '../parseAddress/index.js'
import type { PeerAddress } from '../../types/index.js'

/**
 * Checks an address that another process has decoded, and that may be of any type.
 *
 * @param value - The address as it was received.
 * @returns Whether it has an IPv4 address and a port that a client can connect to.
 *
 * @example
 * isAddress({ host: '10.1.0.40', port: 82233 }) // => false
 */
export const isAddress = (value: unknown): value is PeerAddress => {
  const { host, port } = (value ?? {}) as Partial<Record<keyof PeerAddress, unknown>>
  return typeof host === 'string' && typeof port === 'number' && parseAddress(`${host}:${port}`) !== undefined
}
