/** Latest statements of the peers about prompt tokens that the backend servers have still to read for them. */
import type { UnreadReading } from '../../fleetLoad/index.js'

export type PeerUnread = {
  /** Applies what a source states, by the hash of the server's name; what it does not mention stays. */
  readonly apply: (source: string, tokensByServer: ReadonlyMap<string, number>, now: number) => void
  /** The sum over all sources, with the time of the oldest statement in it; `undefined` when there is nothing unread. */
  readonly read: (backendServer: string) => UnreadReading | undefined
  readonly remove: (source: string) => void
}

/** Creates an empty record. */
export const createPeerUnread = (): PeerUnread => {
  const readingsBySource = new Map<string, Map<string, UnreadReading>>()
  return {
    apply: (source, tokensByServer, now) => {
      const readings = readingsBySource.get(source) ?? new Map<string, UnreadReading>()
      readingsBySource.set(source, readings)
      for (const [server, tokens] of tokensByServer) {
        if (tokens > 0) readings.set(server, { tokens, at: now })
        else readings.delete(server)
      }
    },
    read: (backendServer) => {
      const known = [...readingsBySource.values()].flatMap((readings) => readings.get(backendServer) ?? [])
      if (known.length === 0) return undefined
      return { tokens: known.reduce((sum, { tokens }) => sum + tokens, 0), at: Math.min(...known.map(({ at }) => at)) }
    },
    remove: (source) => { readingsBySource.delete(source) }
  }
}
