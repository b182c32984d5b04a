/**
 * Lets a socket give no bytes for a while. The bytes wait in its buffer, of bounded size, and
 * then at the sender; neither they nor the end after them reach the parser. A parser that is
 * paused instead throws when its connection ends meanwhile.
 */
import type { Socket } from 'node:net'

export type ReadGate = {
  readonly close: () => void
  readonly open: () => void
  /** Opens the gate and has read what has arrived meanwhile, bytes and end. Must not be called from an event of a parser. */
  readonly readOn: () => void
}

/** Replaces the socket's `read`. */
export const createReadGate = (socket: Pick<Socket, 'read' | 'emit' | 'destroyed'>): ReadGate => {
  const read = socket.read.bind(socket)
  let isOpen = true
  const open = (): void => { isOpen = true }

  socket.read = (size?: number): unknown => isOpen ? read(size) : null

  return {
    close: () => { isOpen = false },
    open,
    readOn: () => {
      open()
      if (!socket.destroyed) socket.emit('readable')
    }
  }
}
