/** Reconstructs the timeline of one request from the logs of several nodes. */

/** One log line: its event, its node, its wall time in milliseconds, and all its fields. */
export type LogRecord = {
  readonly event: string
  readonly node: string
  readonly time: number
  readonly fields: Readonly<Record<string, unknown>>
}

export type RequestTimeline = {
  /** The log records of the request in chronological order. */
  readonly steps: readonly LogRecord[]
  /** State changes that its nodes logged shortly before the request and while it was open. */
  readonly stateChanges: readonly LogRecord[]
}

/** State changes up to this long before a request are listed: a configuration or the suspension of a server affects requests for a few seconds. */
const LOOKBACK_MS = 5_000

const isStateChange = ({ fields }: LogRecord): boolean => fields.requestId === undefined

/** Returns whether a state change affects the request: it concerns one of its backend servers, or no particular server. */
const isRelevant = (stateChange: LogRecord, servers: ReadonlySet<unknown>): boolean => {
  const server = stateChange.fields.backendServer
  return server === undefined || servers.has(server)
}

/**
 * Collects the log records that explain the outcome of a request.
 *
 * @param records - The log records of all nodes, in any order.
 * @param requestId - The id of the request.
 * @returns Its steps, and the state changes of the nodes that handled it; both empty for an unknown id.
 *
 * @example
 * explainRequest([], 'r1') // => { steps: [], stateChanges: [] }
 */
export const explainRequest = (records: readonly LogRecord[], requestId: string): RequestTimeline => {
  const byTime = [...records].sort((left, right) => left.time - right.time)
  const steps = byTime.filter(({ fields }) => fields.requestId === requestId)
  const first = steps[0]
  const last = steps.at(-1)
  if (first === undefined || last === undefined) return { steps: [], stateChanges: [] }
  const nodes = new Set(steps.map(({ node }) => node))
  const servers = new Set(steps.map(({ fields }) => fields.backendServer))
  const isInPeriod = ({ time }: LogRecord): boolean => time >= first.time - LOOKBACK_MS && time <= last.time
  const stateChanges = byTime.filter((record) => isStateChange(record) && nodes.has(record.node) && isInPeriod(record) && isRelevant(record, servers))
  return { steps, stateChanges }
}
