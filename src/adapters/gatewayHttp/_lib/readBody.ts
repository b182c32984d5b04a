/** Reads the complete body of a request, so that a retry can send it to another backend server. */
import type { IncomingMessage } from 'node:http'

export type BodyListener = {
  readonly onBody: (body: Uint8Array) => void
  readonly onTooLarge: () => void
  /** Called when the caller's connection ends before the body is complete. */
  readonly onBroken: () => void
}

/** Calls exactly one of the listener's functions. */
export const readBody = (message: IncomingMessage, maximumBytes: number, listener: BodyListener): void => {
  const chunks: Buffer[] = []
  let bytes = 0
  let isOver = false
  const finish = (tell: () => void): void => {
    if (isOver) return
    isOver = true
    tell()
  }
  message.on('data', (chunk: Buffer) => {
    if (isOver) return
    bytes += chunk.length
    if (bytes > maximumBytes) return finish(listener.onTooLarge)
    chunks.push(chunk)
  })
  message.on('end', () => finish(() => listener.onBody(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))))
  message.on('error', () => finish(listener.onBroken))
  message.on('close', () => finish(listener.onBroken))
}
