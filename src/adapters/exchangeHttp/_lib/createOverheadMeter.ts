/**
 * Bounds the bytes of an answer that are no body: its head, interim heads, blank bytes before
 * it, the framing of chunks, and trailers. A faulty receiver may send them without end, and the
 * parser reports none of them.
 */

export type OverheadMeter = {
  /** Begins with the answer to the next request, at this many bytes parsed on the connection so far. */
  readonly begin: (parsedBytes: number) => void
  /** A piece of the body was parsed. */
  readonly recordBody: (bytes: number) => void
  /** Returns whether too many of the bytes parsed so far were no body. */
  readonly exceeds: (parsedBytes: number) => boolean
}

/** Four heads of the largest size: interim heads and trailers count as well. */
const MAXIMUM_OVERHEAD_BYTES = 65_536
/** Framing that a piece of the body may have beside it: small chunks have more framing than body. */
const PIECE_ALLOWANCE_BYTES = 16
const BODY_MULTIPLE = 2

/** Creates the meter of one connection. */
export const createOverheadMeter = (): OverheadMeter => {
  let overhead = 0
  let parsed = 0
  let allowance = 0
  return {
    begin: (parsedBytes) => {
      overhead = 0
      parsed = parsedBytes
      allowance = 0
    },
    recordBody: (bytes) => { allowance += (1 + BODY_MULTIPLE) * bytes + PIECE_ALLOWANCE_BYTES },
    exceeds: (parsedBytes) => {
      overhead = Math.max(0, overhead + parsedBytes - parsed - allowance)
      parsed = parsedBytes
      allowance = 0
      return overhead > MAXIMUM_OVERHEAD_BYTES
    }
  }
}
