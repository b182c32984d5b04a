/**
 * Limits the memory for the bodies of all open requests: each body is within its
 * own limit, but together they could take more memory than a small VM has. The
 * bytes of a body are reserved before its first byte is read, and a request that
 * exceeds the budget is refused at once.
 */

export type BodyBudget = {
  readonly reserve: (bytes: number) => boolean
  readonly release: (bytes: number) => void
}

export const createBodyBudget = (totalBytes: number): BodyBudget => {
  let reservedBytes = 0
  return {
    reserve: (bytes) => {
      if (reservedBytes + bytes > totalBytes) return false
      reservedBytes += bytes
      return true
    },
    release: (bytes) => { reservedBytes -= bytes }
  }
}
