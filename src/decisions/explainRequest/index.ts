/** The story of one request out of the logs of several nodes. */

/** One log line: its event, its node, its wall time in milliseconds, and all its fields. */
export type LogRecord = {
  readonly event: string
  readonly node: string
  readonly time: number
  readonly fields: Readonly<Record<string, unknown>>
}

export type RequestStory = {
  /** What happened to the request, in the order of time. */
  readonly steps: readonly LogRecord[]
  /** What its nodes came to believe shortly before and while it was open. */
  readonly beliefs: readonly LogRecord[]
}

/** Beliefs from so long before a request are listed: a configuration or a held server is decided on for a few seconds. */
const BEFORE_MS = 5_000

const isBelief = ({ fields }: LogRecord): boolean => fields.requestId === undefined

/** Whether a belief bears on the steps: on one of their backend servers, or on what all requests rest on. */
const concerns = (belief: LogRecord, servers: ReadonlySet<unknown>): boolean => {
  const server = belief.fields.backendServer
  return server === undefined || servers.has(server)
}

/**
 * Explains a request.
 *
 * @param records - The lines of all nodes, in any order.
 * @param requestId - The request's id.
 * @returns Its steps, and the beliefs of the nodes that had it; both empty for an id that the lines don't have.
 *
 * @example
 * explainRequest([], 'r1') // => { steps: [], beliefs: [] }
 */
export const explainRequest = (records: readonly LogRecord[], requestId: string): RequestStory => {
  const byTime = [...records].sort((left, right) => left.time - right.time)
  const steps = byTime.filter(({ fields }) => fields.requestId === requestId)
  const first = steps[0]
  const last = steps.at(-1)
  if (first === undefined || last === undefined) return { steps: [], beliefs: [] }
  const nodes = new Set(steps.map(({ node }) => node))
  const servers = new Set(steps.map(({ fields }) => fields.backendServer))
  const isNear = ({ time }: LogRecord): boolean => time >= first.time - BEFORE_MS && time <= last.time
  const beliefs = byTime.filter((record) => isBelief(record) && nodes.has(record.node) && isNear(record) && concerns(record, servers))
  return { steps, beliefs }
}
