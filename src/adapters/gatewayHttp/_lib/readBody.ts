/** Reads the complete body of a request, so that a retry can send it to another backend server. */
import type { IncomingMessage } from 'node:http'

export type BodyListener = {
  readonly onBody: (body: Uint8Array) => void
  readonly onTooLarge: () => void
  /** Returns whether there is room for a body of this size, in bytes; the rest of it is not kept otherwise. */
  readonly hasRoom: (bytes: number) => boolean
  readonly onNoRoom: () => void
  /** Called when the caller's connection ends before the body is complete. */
  readonly onBroken: () => void
}

/** Calls exactly one of the listener's functions. */
export const readBody = (message: IncomingMessage, maximumBytes: number, listener: BodyListener): void => {
  const chunks: Buffer[] = []
  let bytes = 0
  let isFinished = false
  const finish = (notify: () => void): void => {
    if (isFinished) return
    isFinished = true
    notify()
  }
  message.on('data', (chunk: Buffer) => {
    if (isFinished) return
    bytes += chunk.length
    if (bytes > maximumBytes) return finish(listener.onTooLarge)
    if (!listener.hasRoom(bytes)) return finish(listener.onNoRoom)
    chunks.push(chunk)
  })
  message.on('end', () => finish(() => listener.onBody(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))))
  message.on('error', () => finish(listener.onBroken))
  message.on('close', () => finish(listener.onBroken))
}
