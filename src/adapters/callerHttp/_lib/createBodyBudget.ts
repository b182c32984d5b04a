/**
 * Guards against many large bodies at once: each is within its limit, but
 * together they would take more memory than a small VM has. Room for a body is
 * taken before the first byte of it is read, and a request that finds none is
 * refused at once.
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
