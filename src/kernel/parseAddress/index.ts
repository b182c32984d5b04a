import { isIPv4 } from 'node:net'
import type { PeerAddress } from '../../types/index.js'

const ADDRESS = /^([\d.]{7,15}):(0|[1-9]\d{0,4})$/
const MAXIMUM_PORT = 65_535

/**
 * Parses an address of the form `IP:PORT`, with an IPv4 address and a port in decimal digits without leading zeros.
 *
 * @param text - The text, from a program that may write anything.
 * @param minimumPort - 1 by default; 0 for a listener, whose port the operating system may choose.
 * @returns The address, or `undefined` when no client or listener could use it.
 *
 * @example
 * parseAddress('10.1.0.40:8227') // => { host: '10.1.0.40', port: 8227 }
 */
export const parseAddress = (text: string, minimumPort: 0 | 1 = 1): PeerAddress | undefined => {
  const [, host = '', digits] = ADDRESS.exec(text) ?? []
  const port = Number(digits)
  return isIPv4(host) && port >= minimumPort && port <= MAXIMUM_PORT ? { host, port } : undefined
}
