/**
 * One TCP connection between two nodes: the handshake, then frames in both
 * directions. The encoder and decoder live as long as the connection, so that
 * the field names of a message are sent once and referred to afterwards.
 */
import type { Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import { createFrameReader, prependLength } from './createFrameReader.js'
import { createNonce, isNonce, isValidProof, createProof } from './handshake.js'
import { containEvents, type ContainedErrorReporter } from '../../containedEvents/index.js'
import type { Role } from './handshake.js'
import type { Clock } from '../../../types/index.js'

const HANDSHAKE_FRAME_BYTES = 512

export type SendOutcome = 'sent' | 'queueFull' | 'tooLarge' | 'closed'

export type Connection = {
  readonly send: (frame: unknown, kind: string) => SendOutcome
  readonly close: () => void
}

export type ConnectionOptions = {
  readonly socket: Socket
  readonly role: Role
  readonly fleetKey: string
  readonly clock: Clock
  readonly maximumFrameBytes: number
  readonly maximumQueueBytes: number
  readonly handshakeTimeoutMs: number
  readonly countBytes: (kind: string, bytes: number) => void
  readonly reportError?: ContainedErrorReporter | undefined
  readonly onReady: () => void
  readonly onFrame: (frame: unknown) => void
  /** Called once, with the reason; also when the handshake fails. */
  readonly onClose: (reason: string) => void
}

type Handshake = { readonly start: () => void, readonly accept: (frame: unknown) => boolean }

/** Runs the handshake on a socket, then carries frames until either side closes. */
export const createConnection = (options: ConnectionOptions): Connection => {
  const { socket, clock, maximumFrameBytes, maximumQueueBytes, countBytes } = options
  // Two instances, since each keeps the field names of its own direction; a shared one would mix them up.
  const encoder = new Encoder({ sequential: true })
  const decoder = new Encoder({ sequential: true })
  let isReady = false
  let isClosed = false
  let isCorked = false

  const close = (reason: string): void => {
    if (isClosed) return
    isClosed = true
    handshakeTimer.cancel()
    socket.destroy()
    options.onClose(reason)
  }

  const write = (frame: unknown, kind: string): SendOutcome => {
    if (isClosed) return 'closed'
    if (socket.writableLength > maximumQueueBytes) return 'queueFull'
    const bytes = encodeFrame(encoder, frame)
    if (bytes === undefined || bytes.length > maximumFrameBytes) {
      // The encoder may have introduced field names in this frame that the peer
      // never receives, so that it would decode later frames wrongly. A new
      // connection starts with a new encoder.
      close(bytes === undefined ? 'an outgoing frame could not be encoded' : 'an outgoing frame exceeds the maximum frame size')
      return 'tooLarge'
    }
    const framed = prependLength(bytes)
    corkUntilNextTick()
    socket.write(framed)
    countBytes(kind, framed.length)
    return 'sent'
  }

  /** Sends the frames of one turn of the event loop in one packet: on a small VM a packet costs more than its bytes. */
  const corkUntilNextTick = (): void => {
    if (isCorked) return
    isCorked = true
    socket.cork()
    process.nextTick(() => {
      isCorked = false
      socket.uncork()
    })
  }

  const finishHandshake = (): boolean => {
    isReady = true
    handshakeTimer.cancel()
    reader.setMaximum(maximumFrameBytes)
    options.onReady()
    return true
  }

  const acceptFrame = (bytes: Buffer): void => {
    if (isClosed) return
    const frame = decodeFrame(decoder, bytes)
    if (frame === undefined) return close('a frame could not be decoded')
    if (isReady) return options.onFrame(frame)
    if (!handshake.accept(frame)) close('handshake failed: the peer did not prove that it has the fleet key')
  }

  const reader = createFrameReader(HANDSHAKE_FRAME_BYTES, acceptFrame)
  const createHandshake = options.role === 'dialer' ? createDialerHandshake : createListenerHandshake
  const handshake = createHandshake(options.fleetKey, (frame) => { write(frame, 'handshake') }, finishHandshake)
  // Without the timeout, a peer that connects and sends nothing would occupy a connection forever.
  const handshakeTimer = clock.setTimer(options.handshakeTimeoutMs, () => close('the handshake timed out'))

  containEvents(socket, (error, event) => {
    options.reportError?.({ adapter: 'peerTcp', remote: socket.remoteAddress }, event, error)
    close('a listener threw')
  })
  socket.setNoDelay(true)
  socket.on('data', (chunk) => { if (!reader.push(chunk)) close('an incoming frame exceeds the maximum frame size') })
  socket.on('error', (error) => close(error.message))
  socket.on('close', () => close('the connection was closed'))
  handshake.start()
  return { send: write, close: () => close('closed by this node') }
}

/** Encoding recurses: what is nested too deeply overflows the stack. */
const encodeFrame = (encoder: Encoder, frame: unknown): Uint8Array | undefined => {
  try {
    return encoder.encode(frame)
  } catch {
    return undefined
  }
}

const decodeFrame = (decoder: Encoder, bytes: Buffer): unknown => {
  try {
    const frame: unknown = decoder.decode(bytes)
    return typeof frame === 'object' && frame !== null ? frame : undefined
  } catch {
    return undefined
  }
}

const createListenerHandshake = (fleetKey: string, write: (frame: unknown) => void, finish: () => boolean): Handshake => {
  const ownNonce = createNonce()
  return {
    start: () => write({ nonce: ownNonce }),
    accept: (frame) => {
      const { nonce, proof } = frame as { readonly nonce?: unknown, readonly proof?: unknown }
      if (!isNonce(nonce)) return false
      if (!isValidProof(createProof(fleetKey, 'dialer', nonce, ownNonce), proof)) return false
      write({ proof: createProof(fleetKey, 'listener', nonce, ownNonce) })
      return finish()
    }
  }
}

const createDialerHandshake = (fleetKey: string, write: (frame: unknown) => void, finish: () => boolean): Handshake => {
  const ownNonce = createNonce()
  let listenerNonce: Uint8Array | undefined
  const answerChallenge = (nonce: unknown): boolean => {
    if (!isNonce(nonce)) return false
    listenerNonce = nonce
    write({ nonce: ownNonce, proof: createProof(fleetKey, 'dialer', ownNonce, nonce) })
    return true
  }
  return {
    start: () => {},
    accept: (frame) => {
      const { nonce, proof } = frame as { readonly nonce?: unknown, readonly proof?: unknown }
      if (listenerNonce === undefined) return answerChallenge(nonce)
      if (!isValidProof(createProof(fleetKey, 'listener', ownNonce, listenerNonce), proof)) return false
      return finish()
    }
  }
}
