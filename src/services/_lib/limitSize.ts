/** Removes the oldest entries of a map until it has at most `maximum` of them. */
export const limitSize = (entries: Map<string, unknown>, maximum: number): void => {
  for (const key of entries.keys()) {
    if (entries.size <= maximum) return
    entries.delete(key)
  }
}
