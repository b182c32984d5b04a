/**
 * Shares reads among callers that each need one which begins after they asked: what was
 * written meanwhile must be in it. One read runs at a time, and the next one serves all
 * that asked during it.
 */

/** Creates the function that reads; a read that rejects does so for those it serves, and the next one begins. */
export const createFreshRead = <Value>(read: () => Promise<Value>): () => Promise<Value> => {
  let running: Promise<Value> | undefined
  let next: Promise<Value> | undefined

  const start = (): Promise<Value> => {
    const reading = read().finally(() => { if (running === reading) running = undefined })
    running = reading
    return reading
  }

  const startNext = (): Promise<Value> => {
    next = undefined
    return start()
  }

  return () => {
    if (running === undefined) return start()
    next ??= running.then(startNext, startNext)
    return next
  }
}
