/** Counts the bytes that a node holds for waiting requests, over all its queues. */

export type HeldBytes = {
  /** Whether the node may hold this much more, for an account that holds `ofAccount` bytes already. */
  readonly hasRoom: (bytes: number, ofAccount: number) => boolean
  /** Adds bytes; a negative number when they are given up. */
  readonly add: (bytes: number) => void
}

/** No account alone fills the memory that is meant for all. */
const ACCOUNT_SHARE = 0.25

/** Creates the count; `maximumBytes` bounds all accounts together. */
export const createHeldBytes = (maximumBytes: number): HeldBytes => {
  let held = 0
  return {
    hasRoom: (bytes, ofAccount) => held + bytes <= maximumBytes && ofAccount + bytes <= ACCOUNT_SHARE * maximumBytes,
    add: (bytes) => { held += bytes }
  }
}
