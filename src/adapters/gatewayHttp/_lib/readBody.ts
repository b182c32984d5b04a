/** Reads the complete body of a request, so that a retry can send it to another backend server. */
import type { IncomingMessage } from 'node:http'
import { createGatheredBytes } from '../../../kernel/index.js'

export type BodyListener = {
  readonly onBody: (body: Uint8Array) => void
  readonly onTooLarge: () => void
  /** Returns whether there is room for a body of this size, in bytes; the rest of it is not kept otherwise. */
  readonly hasRoom: (bytes: number) => boolean
  readonly onNoRoom: () => void
  /** Called when the caller's connection ends before the body is complete. */
  readonly onBroken: () => void
}

/** A body that is being read. */
export type BodyReading = {
  /** Drops what was read. The rest is still read, since the next request on the connection lies behind it, and none of it is kept. */
  readonly drop: () => void
}

/** Calls one of the listener's functions, and none after the body was dropped. */
export const readBody = (message: IncomingMessage, maximumBytes: number, listener: BodyListener): BodyReading => {
  let gathered = createGatheredBytes()
  let isFinished = false
  const finish = (notify: () => void): void => {
    if (isFinished) return
    isFinished = true
    notify()
    gathered = createGatheredBytes()
  }
  message.on('data', (chunk: Buffer) => {
    if (isFinished) return
    const bytes = gathered.length() + chunk.length
    if (bytes > maximumBytes) return finish(listener.onTooLarge)
    if (!listener.hasRoom(bytes)) return finish(listener.onNoRoom)
    gathered.push(chunk)
  })
  message.on('end', () => finish(() => listener.onBody(gathered.take())))
  message.on('error', () => finish(listener.onBroken))
  message.on('close', () => finish(listener.onBroken))
  return { drop: () => finish(() => { /* nobody waits for it any more */ }) }
}
