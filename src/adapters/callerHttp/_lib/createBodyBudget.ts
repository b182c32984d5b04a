/**
 * Limits the memory for the bodies of all open requests: each body is within its
 * own limit, but together they could take more memory than a small VM has. The
 * bytes of a body are reserved before its first byte is read, and a request that
 * exceeds the budget is refused at once.
 */

export type BodyBudget = {
  readonly take: (bytes: number) => boolean
  readonly giveBack: (bytes: number) => void
}

export const createBodyBudget = (totalBytes: number): BodyBudget => {
  let takenBytes = 0
  return {
    take: (bytes) => {
      if (takenBytes + bytes > totalBytes) return false
      takenBytes += bytes
      return true
    },
    giveBack: (bytes) => { takenBytes -= bytes }
  }
}
