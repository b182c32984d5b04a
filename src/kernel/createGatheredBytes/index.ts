/**
 * Gathers bytes that arrive in pieces. Small pieces are copied together, so that the memory
 * taken follows the bytes: an object for each piece of one byte takes a hundred times as much.
 */
export type GatheredBytes = {
  readonly push: (piece: Uint8Array) => void
  readonly length: () => number
  /** Returns everything gathered so far, and begins anew. */
  readonly take: () => Buffer
}

/** Smaller pieces are copied; larger ones are kept as they are. */
const MINIMUM_KEPT_BYTES = 4_096
const MINIMUM_PAGE_BYTES = 1_024
const MAXIMUM_PAGE_BYTES = 65_536

const EMPTY = Buffer.alloc(0)

const toBuffer = (bytes: Uint8Array): Buffer => Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)

/**
 * Creates an empty gathering.
 *
 * @returns The gathering.
 *
 * @example
 * const gathered = createGatheredBytes()
 * gathered.push(Buffer.from('a'))
 * gathered.take().toString() // => 'a'
 */
export const createGatheredBytes = (): GatheredBytes => {
  let parts: Uint8Array[] = []
  let bytes = 0
  /** The page that small pieces are copied into, and how much of it is in use. */
  let page = EMPTY
  let used = 0

  const closePage = (): void => {
    if (used === 0) return
    parts.push(page.subarray(0, used))
    page = page.subarray(used)
    used = 0
  }

  const copy = (piece: Uint8Array): void => {
    if (used + piece.length > page.length) {
      closePage()
      // As large as what is gathered already, so that a page is at most half empty.
      page = Buffer.allocUnsafe(Math.min(MAXIMUM_PAGE_BYTES, Math.max(MINIMUM_PAGE_BYTES, bytes, piece.length)))
    }
    page.set(piece, used)
    used += piece.length
  }

  return {
    push: (piece) => {
      if (piece.length === 0) return
      // The only piece is not copied: most bodies are one piece.
      if (bytes > 0 && piece.length < MINIMUM_KEPT_BYTES) copy(piece)
      else {
        closePage()
        parts.push(piece)
      }
      bytes += piece.length
    },
    length: () => bytes,
    take: () => {
      closePage()
      const taken = parts.length === 1 ? toBuffer(parts[0]!) : Buffer.concat(parts, bytes)
      parts = []
      bytes = 0
      page = EMPTY
      return taken
    }
  }
}
