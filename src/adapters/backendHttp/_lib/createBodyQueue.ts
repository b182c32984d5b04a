/**
 * Queues the body of one answer between the connection that fills it and the
 * reader that empties it. Above the high-water mark the connection is paused, so
 * that a slow caller slows the backend server down instead of filling memory.
 */
import type { BackendBodyPart } from '../../../types/index.js'

const HIGH_WATER_MARK_BYTES = 262_144

export type LastPart = Extract<BackendBodyPart, { kind: 'end' | 'cut' }>

export type BodyQueue = {
  readonly push: (bytes: Uint8Array) => void
  /** Adds the last part; later ones are ignored. */
  readonly finish: (part: LastPart) => void
  readonly body: AsyncIterable<BackendBodyPart>
}

export type BodyFlow = {
  readonly pause: () => void
  readonly resume: () => void
  /** Called when the reader stops before the last part. */
  readonly abandon: () => void
}

export const createBodyQueue = (flow: BodyFlow): BodyQueue => {
  const parts: BackendBodyPart[] = []
  let queuedBytes = 0
  let isFinished = false
  let isPaused = false
  let resumeReader: (() => void) | undefined

  const add = (part: BackendBodyPart): void => {
    parts.push(part)
    resumeReader?.()
    resumeReader = undefined
  }

  const take = (part: BackendBodyPart): BackendBodyPart => {
    if (part.kind === 'data') queuedBytes -= part.bytes.length
    if (isPaused && queuedBytes < HIGH_WATER_MARK_BYTES / 2) {
      isPaused = false
      flow.resume()
    }
    return part
  }

  async function * read (): AsyncGenerator<BackendBodyPart> {
    let last: BackendBodyPart | undefined
    try {
      while (last === undefined || last.kind === 'data') {
        const next = parts.shift()
        if (next === undefined) {
          await new Promise<void>((resolve) => { resumeReader = resolve })
          continue
        }
        last = take(next)
        yield last
      }
    } finally {
      if (last === undefined || last.kind === 'data') flow.abandon()
    }
  }

  return {
    push: (bytes) => {
      if (isFinished) return
      queuedBytes += bytes.length
      add({ kind: 'data', bytes })
      if (isPaused || queuedBytes < HIGH_WATER_MARK_BYTES) return
      isPaused = true
      flow.pause()
    },
    finish: (part) => {
      if (isFinished) return
      isFinished = true
      add(part)
    },
    body: read()
  }
}
