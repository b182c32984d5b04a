const POLL_MS = 20

/** Above what a busy machine needs; a test that reaches it has failed. */
const LIMIT_MS = 60_000

/** Waits until a condition gives a value other than `undefined` or `false`, and gives that. */
export const waitFor = async <Value>(description: string, condition: () => Promise<Value | undefined | false> | Value | undefined | false): Promise<Value> => {
  const giveUpAt = performance.now() + LIMIT_MS
  for (;;) {
    const value = await condition()
    if (value !== undefined && value !== false) return value
    if (performance.now() > giveUpAt) throw new Error(`waited in vain for: ${description}`)
    await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }
}
