const POLL_MS = 20

/** Longer than any wait takes on a busy machine, so reaching it is a failure. */
const TIMEOUT_MS = 60_000

/** Polls a condition until it returns a value other than `undefined` or `false`, and returns that value. */
export const waitFor = async <Value>(description: string, condition: () => Promise<Value | undefined | false> | Value | undefined | false): Promise<Value> => {
  const deadline = performance.now() + TIMEOUT_MS
  for (;;) {
    const value = await condition()
    if (value !== undefined && value !== false) return value
    if (performance.now() > deadline) throw new Error(`condition not met within 60 s: ${description}`)
    await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }
}
