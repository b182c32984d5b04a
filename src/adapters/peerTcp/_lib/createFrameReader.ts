/**
 * Splits a TCP byte stream into frames: a 4-byte big-endian length, then that
 * many bytes. Frames that arrive in one chunk are cut from it; the chunks of
 * others are joined once per frame, not once per chunk.
 */
import { createGatheredBytes } from '../../../kernel/index.js'

const LENGTH_BYTES = 4

export type FrameReader = {
  /** Adds the next bytes; returns `false` when the length of a frame exceeds the maximum. */
  readonly push: (chunk: Uint8Array) => boolean
  readonly setMaximum: (bytes: number) => void
}

const toBuffer = (bytes: Uint8Array): Buffer => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)

/** Calls `onFrame` with each complete frame, in order, each in a buffer of its own. */
export const createFrameReader = (initialMaximum: number, onFrame: (frame: Buffer) => void): FrameReader => {
  let maximum = initialMaximum
  const gathered = createGatheredBytes()
  /** Bytes that the frame under way takes, with its length; only the length's own until it is known. */
  let needed = LENGTH_BYTES

  /** Reads the frames that are complete; returns the rest, or `undefined` when a length exceeds the maximum. */
  const readFrames = (bytes: Buffer): Buffer | undefined => {
    let at = 0
    needed = LENGTH_BYTES
    while (bytes.length - at >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(at)
      if (length > maximum) return undefined
      needed = LENGTH_BYTES + length
      if (bytes.length - at < needed) break
      const frame = Buffer.from(bytes.subarray(at + LENGTH_BYTES, at + needed))
      at += needed
      needed = LENGTH_BYTES
      onFrame(frame)
    }
    return bytes.subarray(at)
  }

  return {
    setMaximum: (bytes) => { maximum = bytes },
    push: (chunk) => {
      if (gathered.length() + chunk.length < needed) {
        gathered.push(chunk)
        return true
      }
      if (gathered.length() > 0) gathered.push(chunk)
      const rest = readFrames(gathered.length() > 0 ? gathered.take() : toBuffer(chunk))
      if (rest === undefined) return false
      gathered.push(rest)
      return true
    }
  }
}

/** Prepends the length to the bytes of a frame. */
export const prependLength = (bytes: Uint8Array): Buffer => {
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length)
  framed.writeUInt32BE(bytes.length, 0)
  framed.set(bytes, LENGTH_BYTES)
  return framed
}
