/** Failure detector: records when the last heartbeat of each watched peer arrived. */

export type Silence = {
  readonly heard: (nodeId: string, now: number) => void
  /** Replaces the set of watched peers. The time without heartbeats of a newly watched peer counts from `now`. */
  readonly watch: (nodeIds: readonly string[], now: number) => void
  /** Treats all watched peers as if their last heartbeat had just arrived. */
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
