/**
 * Compares what the nodes believed of the load of backend servers with the loads that
 * follow from the merged logs of all nodes. Load pattern: late or differing views of
 * the load, by which many nodes send to the same server.
 */
import type { LogRecord } from '../explainRequest/index.js'
import { groupBy } from '../../kernel/groupBy/index.js'

export type LoadSummary = {
  readonly service: string
  /** Backend servers that the lines name together with the service. */
  readonly backendServers: number
  readonly sends: number
  /** Mean number of requests in flight per backend server, at the sends. */
  readonly meanLoad: number
  /** Mean distance of the believed load of the chosen server from its load. */
  readonly meanError: number
  /** Mean and highest age in milliseconds of the sums by which the nodes chose; `undefined` where no send had a sum. */
  readonly meanAgeMs: number | undefined
  readonly maximumAgeMs: number | undefined
  /** Sends of nodes that had no sum. */
  readonly sendsWithoutSum: number
  /** Sends to a server that held more than the limit, this request included. */
  readonly sendsOverLimit: number
  /** Highest share of such sends in a window. */
  readonly worstShare: number
}

export type LoadSummaryOptions = {
  /** The limit: `factor` times the mean load of the service plus `slack` requests. */
  readonly factor?: number
  readonly slack?: number
  /** Length in milliseconds of the windows for the worst share; a new one begins each tenth of it. */
  readonly windowMs?: number
}

type Send = { readonly time: number, readonly backendServer: string, readonly load: number, readonly meanLoad: number, readonly believedLoad: number, readonly ageMs: number | undefined }

const SEND_EVENTS: ReadonlySet<string> = new Set(['request sent', 'request sent again'])
const END_EVENTS: ReadonlySet<string> = new Set(['request complete', 'request ended', 'backend server refused', 'backend server failed', 'exchange failed', 'backend server silent'])
const DEFAULT_OPTIONS = { factor: 2, slack: 3, windowMs: 5_000 }
const STEPS_PER_WINDOW = 10
/** Service of the backend servers that no line names together with theirs. */
const UNKNOWN_SERVICE = 'unknown'

const toNumber = (value: unknown): number | undefined => typeof value === 'number' ? value : undefined

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

/** Service of each backend server that a line names together with it. The mean load counts also those that got no request. */
const mapServices = (records: readonly LogRecord[]): ReadonlyMap<string, string> => new Map(records.flatMap(({ fields: { service, backendServer } }) =>
  service === undefined || backendServer === undefined ? [] : [[String(backendServer), String(service)]]))

/** Replays sends and ends in the order of their times. */
const replaySends = (records: readonly LogRecord[]): ReadonlyMap<string, readonly Send[]> => {
  const services = mapServices(records)
  const backendServersByService = groupBy([...services.keys()], (backendServer) => services.get(backendServer)!)
  const loads = new Map<string, number>()
  const openSends = new Map<string, string>()
  const sends = new Map<string, Send[]>()
  const readLoad = (backendServer: string): number => loads.get(backendServer) ?? 0
  const endSend = (requestId: string): void => {
    const backendServer = openSends.get(requestId)
    if (backendServer === undefined || !openSends.delete(requestId)) return
    loads.set(backendServer, readLoad(backendServer) - 1)
  }
  for (const { event, time, fields } of [...records].sort((left, right) => left.time - right.time)) {
    const requestId = String(fields.requestId)
    if (SEND_EVENTS.has(event) || END_EVENTS.has(event)) endSend(requestId)
    if (!SEND_EVENTS.has(event)) continue
    const backendServer = String(fields.backendServer)
    const service = services.get(backendServer) ?? UNKNOWN_SERVICE
    const send = {
      time,
      backendServer,
      load: readLoad(backendServer),
      meanLoad: mean((backendServersByService.get(service) ?? [backendServer]).map(readLoad)),
      believedLoad: toNumber(fields.load) ?? 0,
      ageMs: toNumber(fields.loadAgeMs)
    }
    const sendsOfService = sends.get(service) ?? []
    sendsOfService.push(send)
    sends.set(service, sendsOfService)
    loads.set(backendServer, send.load + 1)
    openSends.set(requestId, backendServer)
  }
  return sends
}

const computeWorstShare = (sends: readonly Send[], isOver: (send: Send) => boolean, windowMs: number): number => {
  const [first, last] = [sends[0]!.time, sends.at(-1)!.time]
  let worst = 0
  for (let from = first; from === first || from + windowMs <= last; from += windowMs / STEPS_PER_WINDOW) {
    const inWindow = sends.filter(({ time }) => time >= from && time < from + windowMs)
    if (inWindow.length > 0) worst = Math.max(worst, inWindow.filter(isOver).length / inWindow.length)
  }
  return worst
}

const summarizeService = (service: string, backendServers: number, sends: readonly Send[], { factor, slack, windowMs }: Required<LoadSummaryOptions>): LoadSummary => {
  const isOver = ({ load, meanLoad }: Send): boolean => load + 1 > factor * meanLoad + slack
  const ages = sends.map(({ ageMs }) => ageMs).filter((ageMs) => ageMs !== undefined)
  return {
    service,
    backendServers,
    sends: sends.length,
    meanLoad: mean(sends.map(({ meanLoad }) => meanLoad)),
    meanError: mean(sends.map(({ load, believedLoad }) => Math.abs(load - believedLoad))),
    meanAgeMs: ages.length === 0 ? undefined : mean(ages),
    maximumAgeMs: ages.length === 0 ? undefined : Math.max(...ages),
    sendsWithoutSum: sends.length - ages.length,
    sendsOverLimit: sends.filter(isOver).length,
    worstShare: computeWorstShare(sends, isOver, windowMs)
  }
}

/**
 * Summarizes the loads by service. The true loads are exact only where the nodes' wall clocks
 * agree and no lines were left out; `statedRunning` in the lines of answers does not depend on either.
 *
 * @param records - Records of all nodes, in any order.
 * @param options - Limit on the load, and the length of a window in milliseconds.
 * @returns One summary per service that got requests.
 *
 * @example
 * summarizeLoads([]) // => []
 */
export const summarizeLoads = (records: readonly LogRecord[], options: LoadSummaryOptions = {}): readonly LoadSummary[] => {
  const services = [...mapServices(records).values()]
  return [...replaySends(records)].map(([service, sends]) => summarizeService(service, services.filter((other) => other === service).length, sends, { ...DEFAULT_OPTIONS, ...options }))
}
