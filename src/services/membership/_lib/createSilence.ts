/**
 * Since when each watched peer has been silent, and since when each member
 * has been under suspicion.
 */

export type Silence = {
  readonly heard: (nodeId: string, now: number) => void
  /** Starts the count for those newly watched and drops those no longer watched. */
  readonly watch: (nodeIds: readonly string[], now: number) => void
  /** Resets all silence so far. */
  readonly reset: (now: number) => void
  readonly findSilent: (now: number, limitMs: number) => readonly string[]
}

export const createSilence = (): Silence => {
  let heardAt = new Map<string, number>()
  return {
    heard: (nodeId, now) => { if (heardAt.has(nodeId)) heardAt.set(nodeId, now) },
    watch: (nodeIds, now) => {
      heardAt = new Map(nodeIds.map((nodeId) => [nodeId, heardAt.get(nodeId) ?? now]))
    },
    reset: (now) => { for (const nodeId of heardAt.keys()) heardAt.set(nodeId, now) },
    findSilent: (now, limitMs) => [...heardAt].filter(([, at]) => now - at >= limitMs).map(([nodeId]) => nodeId)
  }
}
