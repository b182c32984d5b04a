/**
 * Splits a TCP byte stream into frames: a 4-byte big-endian length, then that
 * many bytes. Chunks are joined once per frame, not once per chunk.
 */
import { createGatheredBytes } from '../../../kernel/index.js'

const LENGTH_BYTES = 4

export type FrameReader = {
  /** Adds the next bytes; returns `false` when the length of a frame exceeds the maximum. */
  readonly push: (chunk: Uint8Array) => boolean
  readonly setMaximum: (bytes: number) => void
}

/** Calls `onFrame` with each complete frame, in order, each in a buffer of its own. */
export const createFrameReader = (initialMaximum: number, onFrame: (frame: Buffer) => void): FrameReader => {
  let maximum = initialMaximum
  const gathered = createGatheredBytes()
  let needed = LENGTH_BYTES
  let isReadingLength = true

  const hasNeeded = (): boolean => gathered.length() >= needed

  const takeNeeded = (): Buffer => {
    const joined = gathered.take()
    gathered.push(joined.subarray(needed))
    return Buffer.from(joined.subarray(0, needed))
  }

  const readLength = (): boolean => {
    needed = takeNeeded().readUInt32BE(0)
    isReadingLength = false
    return needed <= maximum
  }

  const readBody = (): boolean => {
    const frame = takeNeeded()
    needed = LENGTH_BYTES
    isReadingLength = true
    onFrame(frame)
    return true
  }

  return {
    setMaximum: (bytes) => { maximum = bytes },
    push: (chunk) => {
      gathered.push(chunk)
      while (hasNeeded()) {
        const isValid = isReadingLength ? readLength() : readBody()
        if (!isValid) return false
      }
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
