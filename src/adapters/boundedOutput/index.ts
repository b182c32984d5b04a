/**
 * A stream for log lines that never blocks the process. A synchronous write to a
 * pipe blocks the event loop until the reader reads, so lines are written
 * asynchronously, one write at a time. When the reader falls behind, lines are
 * dropped instead of requests being delayed.
 */
import { write } from 'node:fs'
import { Writable } from 'node:stream'

export type BoundedOutputOptions = {
  /** Where the lines go; standard output by default. */
  readonly descriptor?: number
  /** Maximum number of bytes that are queued while a write is in progress. */
  readonly maximumBytes?: number
  /**
   * Returns for how many milliseconds lines are gathered and then written together; 0 by default, for those of one turn
   * of the event loop. Each write costs about ten system calls of the event loop and a worker thread; a killed process
   * loses queued lines.
   */
  readonly readGatherMs?: () => number
  /** Called after a write with the number of lines dropped since the last call. */
  readonly onDropped?: (lines: number) => void
}

const STANDARD_OUTPUT = 1
/** About one second of lines at maximum load. */
const DEFAULT_MAXIMUM_BYTES = 256 * 1024
/** Delay before a write to a full pipe is retried. */
const FULL_PIPE_RETRY_MS = 20

/**
 * Creates the stream.
 *
 * @param options - Descriptor and the bound in bytes.
 * @returns A writable stream that accepts every line immediately, and drops lines above the bound.
 *
 * @example
 * createBoundedOutput().write('{"message":"started"}\n')
 */
export const createBoundedOutput = (options: BoundedOutputOptions = {}): Writable => {
  const { descriptor = STANDARD_OUTPUT, maximumBytes = DEFAULT_MAXIMUM_BYTES, readGatherMs = () => 0, onDropped } = options
  let waiting: Buffer[] = []
  let queuedBytes = 0
  let dropped = 0
  let isWriting = false
  let onIdle: (() => void) | undefined

  const reportDropped = (): void => {
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
    queuedBytes = 0
    writeAll(batch)
  }

  const writeAll = (bytes: Buffer): void => {
    isWriting = true
    write(descriptor, bytes, (error, count) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => writeAll(bytes), FULL_PIPE_RETRY_MS).unref()
        return
      }
      if (error === null && count < bytes.length) return writeAll(bytes.subarray(count))
      isWriting = false
      reportDropped()
      flush()
    })
  }

  const output = new Writable({
    decodeStrings: true,
    write: (line: Buffer, _encoding, callback) => {
      if (queuedBytes + line.length > maximumBytes) dropped += 1
      else {
        waiting.push(line)
        queuedBytes += line.length
        if (!isWriting && waiting.length === 1) setTimeout(flush, readGatherMs()).unref()
      }
      callback()
    },
    final: (callback) => {
      onIdle = callback
      flush()
    }
  })
  // A line after the end is left out. Nothing could log it, and without a listener the error would end the process.
  output.on('error', () => {})
  return output
}
