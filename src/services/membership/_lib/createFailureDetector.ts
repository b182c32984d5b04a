/** Failure detector: records when the last heartbeat of each watched peer arrived. */

export type FailureDetector = {
  readonly recordHeartbeat: (nodeId: string, now: number) => void
  /** Replaces the set of watched peers. The time without heartbeats of a newly watched peer counts from `now`. */
  readonly watch: (nodeIds: readonly string[], now: number) => void
  /** Treats all watched peers as if their last heartbeat had just arrived. */
  readonly reset: (now: number) => void
  readonly findUnresponsive: (now: number, limitMs: number) => readonly string[]
}

export const createFailureDetector = (): FailureDetector => {
  let lastHeartbeatAt = new Map<string, number>()
  return {
    recordHeartbeat: (nodeId, now) => { if (lastHeartbeatAt.has(nodeId)) lastHeartbeatAt.set(nodeId, now) },
    watch: (nodeIds, now) => {
      lastHeartbeatAt = new Map(nodeIds.map((nodeId) => [nodeId, lastHeartbeatAt.get(nodeId) ?? now]))
    },
    reset: (now) => { for (const nodeId of lastHeartbeatAt.keys()) lastHeartbeatAt.set(nodeId, now) },
    findUnresponsive: (now, limitMs) => [...lastHeartbeatAt].filter(([, at]) => now - at >= limitMs).map(([nodeId]) => nodeId)
  }
}
