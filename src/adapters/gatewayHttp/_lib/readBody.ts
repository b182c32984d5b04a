/** Reads a request's body whole, so that it can be sent to another backend server once more. */
import type { IncomingMessage } from 'node:http'

export type BodyListener = {
  readonly onBody: (body: Uint8Array) => void
  readonly onTooLarge: () => void
  /** The caller's connection ended first. */
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
