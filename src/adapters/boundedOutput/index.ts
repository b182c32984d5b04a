/**
 * A stream for log lines that never blocks its process: writes to a pipe from
 * the loop's thread wait for the reader, so lines go out by asynchronous writes,
 * one at a time, and a reader that falls behind costs lines, not requests.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

export type BoundedOutputOptions = {
  /** Where the lines go; standard output by default. */
  readonly descriptor?: number
  /** Bytes that wait at most while a write is under way. */
  readonly maximumBytes?: number
  /**
   * Lines of so many milliseconds go out together; 0 by default, for those of one turn of the loop. Each
   * write takes the loop and a worker thread some ten system calls; a killed process loses what waits.
   */
  readonly gatherMs?: number
  /** Told how many lines were dropped since it was told last, once a write is through. */
  readonly onDropped?: (lines: number) => void
}

const STANDARD_OUTPUT = 1
/** About a second of lines at worst load. */
const DEFAULT_MAXIMUM_BYTES = 256 * 1024
/** A pipe that is full takes nothing: try again after so many milliseconds. */
const FULL_PAUSE_MS = 20

/**
 * Creates the stream.
 *
 * @param options - Descriptor and the bound in bytes.
 * @returns A writable stream that takes every line at once, and drops what is over the bound.
 *
 * @example
 * createBoundedOutput().write('{"message":"started"}\n')
 */
export const createBoundedOutput = (options: BoundedOutputOptions = {}): Writable => {
  const { descriptor = STANDARD_OUTPUT, maximumBytes = DEFAULT_MAXIMUM_BYTES, gatherMs = 0, onDropped } = options
  let waiting: Buffer[] = []
  let waitingBytes = 0
  let dropped = 0
  let isWriting = false
  let onIdle: (() => void) | undefined

  const tellDropped = (): void => {
    if (dropped === 0) return
    const lines = dropped
    dropped = 0
    onDropped?.(lines)
  }

  const flush = (): void => {
    if (isWriting) return
    if (waiting.length === 0) return onIdle?.()
    const batch = Buffer.concat(waiting)
    waiting = []
    waitingBytes = 0
    writeAll(batch)
  }

  const writeAll = (bytes: Buffer): void => {
    isWriting = true
    write(descriptor, bytes, (error, count) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => writeAll(bytes), FULL_PAUSE_MS).unref()
        return
      }
      if (error === null && count < bytes.length) return writeAll(bytes.subarray(count))
      isWriting = false
      tellDropped()
      flush()
    })
  }

  return new Writable({
    decodeStrings: true,
    write: (line: Buffer, _encoding, callback) => {
      if (waitingBytes + line.length > maximumBytes) dropped += 1
      else {
        waiting.push(line)
        waitingBytes += line.length
        if (!isWriting && waiting.length === 1) setTimeout(flush, gatherMs).unref()
      }
      callback()
    },
    final: (callback) => {
      onIdle = callback
      flush()
    }
  })
}
