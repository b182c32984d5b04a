/**
 * Plays a soak of the platform's store. Callers order from real daemons over open connections, until the process is gone,
 * while connections to the store go silent, the store is away, entries of servers are removed, expire, drain and come back,
 * and daemons are stopped and started, at random times that overlap. Further disruptions may be drawn among these.
 */
import { startStoreFleet, type Order, type StoreFleet } from './startStoreFleet.js'
import { createSeededRandom } from '../../../src/adapters/seededRandom/index.js'

export const NODES = ['node-1', 'node-2', 'node-3']
const SERVERS = ['plain-1', 'plain-2', 'plain-3', 'plain-4', 'plain-5']
export const CALLERS_PER_NODE = 4
const EVENTS = 26
const MAXIMUM_GAP_MS = 2_500
/** A server serves for this long after its entry has shown that it leaves; a node in touch sends it nothing later. */
const DRAIN_MS = 2_000
/** A node is in touch this long after the last disruption of its process, its connections or the store. */
const CONTACT_MS = 3_000
/** Entries expire after three of the servers' heartbeats, and are back this long after an outage. */
const EXPIRY_MS = 3_600
const REAPPEAR_MS = 1_900

/** A time in which a server must get nothing: from its removal, or its draining, until it starts again. */
type Leaving = { readonly server: string, readonly from: number, until: number }

type Span = { readonly from: number, until: number }

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

export type SoakEvent = (fleet: StoreFleet, pick: <Item>(items: readonly Item[]) => Item) => void

export type SoakOptions = {
  /** Called with the function that stops the fleet, before anything can fail. */
  readonly onStarted: (close: () => Promise<void>) => void
  /** Further disruptions, each for a moment, which are drawn among the others. */
  readonly disruptions?: readonly SoakEvent[]
  readonly program?: readonly string[]
}

export const playStoreSoak = async (seed: number, options: SoakOptions) => {
  const random = createSeededRandom(seed)
  const draw = (maximum: number): number => Math.floor(random.next() * maximum)
  const pick = <Item>(items: readonly Item[]): Item => items[draw(items.length)]!
  const fleet = await startStoreFleet(SERVERS, options.program === undefined ? {} : { program: options.program })
  options.onStarted(fleet.close)
  for (const name of NODES) await fleet.start(name)
  for (const name of NODES) fleet.callNode(name, CALLERS_PER_NODE)
  const { platform: { store, backends, register }, proxy } = fleet
  const leavings: Leaving[] = []
  const disruptions: Span[] = []
  const exits: (number | string)[] = []
  const state = { born: 1, isAway: false }
  const now = (): number => performance.now()
  const findLeaving = (server: string): Leaving | undefined => leavings.find((leaving) => leaving.server === server && leaving.until === Infinity)
  const listServing = (): readonly string[] => SERVERS.filter((server) => findLeaving(server) === undefined)
  const registerAgain = (server: string): void => register(backends.get(server)!, 'plain', { born: state.born })

  /** A new run of a server under its id, which earlier ones had until they exited. */
  const startAgain = (server: string): void => {
    const leaving = findLeaving(server)
    if (leaving === undefined) return
    state.born += 1
    leaving.until = now()
    registerAgain(server)
  }

  const leave = async (isDraining: boolean): Promise<void> => {
    const serving = listServing()
    if (serving.length <= 2 || state.isAway) return
    const server = pick(serving)
    if (isDraining) register(backends.get(server)!, 'plain', { born: state.born, state: 'draining' })
    else store.remove('servers', server)
    leavings.push({ server, from: now(), until: Infinity })
    await pause(DRAIN_MS + CONTACT_MS + draw(4_000))
    while (state.isAway) await pause(100)
    startAgain(server)
  }

  /** An outage just shorter or just longer than an entry lives; in a longer one entries expire, and some of their servers are gone. */
  const takeAway = async (): Promise<void> => {
    if (state.isAway) return
    state.isAway = true
    const span = { from: now(), until: Infinity }
    disruptions.push(span)
    const outageMs = EXPIRY_MS + draw(2_400) - 1_200
    store.setFault(pick(['reset', 'silent'] as const))
    await pause(outageMs)
    const expired = outageMs < EXPIRY_MS ? [] : listServing().filter(() => draw(2) === 0)
    const gone = expired.length > 2 ? expired[0] : undefined
    for (const server of expired) store.remove('servers', server)
    store.setFault('none')
    span.until = now()
    state.isAway = false
    if (gone !== undefined) leavings.push({ server: gone, from: span.until + REAPPEAR_MS, until: Infinity })
    await pause(draw(REAPPEAR_MS))
    for (const server of expired) if (findLeaving(server) === undefined) registerAgain(server)
    await pause(DRAIN_MS + CONTACT_MS)
    if (gone !== undefined) startAgain(gone)
  }

  const silence = (): void => {
    proxy.silenceOpen(pick(['', '', 'GET /objects/servers?watch', 'GET /objects/config']))
    disruptions.push({ from: now(), until: now() })
  }

  const restart = async (): Promise<void> => {
    const node = fleet.find(pick(NODES))
    if (node === undefined) return
    node.stoppedAt = Math.min(node.stoppedAt, now())
    node.process.signal('SIGTERM')
    exits.push(await node.process.ended)
    if (fleet.find(node.name) === undefined) await fleet.start(node.name)
  }

  const further = (options.disruptions ?? []).map((disrupt) => (): void => {
    disrupt(fleet, pick)
    disruptions.push({ from: now(), until: now() })
  })
  const events: readonly (() => Promise<void> | void)[] = [...further, silence, silence, silence, () => leave(false), () => leave(false), () => leave(true), takeAway, restart]
  const underWay: (Promise<void> | void)[] = []
  for (let index = 0; index < EVENTS; index++) {
    underWay.push(pick(events)())
    await pause(draw(MAXIMUM_GAP_MS))
  }
  await Promise.all(underWay)
  await fleet.stopCalling()
  return { fleet, leavings, disruptions, exits }
}

export type Soak = Awaited<ReturnType<typeof playStoreSoak>>

/** Whether the node had been in touch with a stable store for long enough when the order was sent. */
export const isInTouch = ({ disruptions }: Soak, { sentAt, node }: Order): boolean =>
  sentAt > node.startedAt + CONTACT_MS && sentAt < node.stoppedAt && disruptions.every(({ from, until }) => sentAt < from || sentAt > until + CONTACT_MS)

export const listRuns = ({ platform }: StoreFleet) =>
  [...platform.backends].flatMap(([server, backend]) => backend.records().filter(({ isRun }) => isRun).map(({ requestId, arrivedAt }) => ({ server, requestId, arrivedAt })))

/** Orders that reached a server later than its drain time, from callers and nodes in touch. */
export const listLate = (soak: Soak): readonly string[] => {
  const orders = new Map(soak.fleet.orders.map((order) => [order.requestId, order]))
  return listRuns(soak.fleet).flatMap(({ server, requestId, arrivedAt }) => {
    const order = orders.get(requestId)
    const leaving = soak.leavings.find(({ from, until, ...one }) => one.server === server && arrivedAt > from + DRAIN_MS && arrivedAt < until)
    return order === undefined || leaving === undefined || !isInTouch(soak, order) ? [] : [`${requestId} from ${order.node.name} at ${server}, ${Math.round(arrivedAt - leaving.from)} ms after it began to leave`]
  })
}

/** What must hold after every soak; all lists are empty. */
export const listBrokenPromises = (soak: Soak) => {
  const { orders, find } = soak.fleet
  const runs = listRuns(soak.fleet).map(({ requestId }) => requestId)
  return {
    late: listLate(soak),
    repeated: runs.filter((id, index) => runs.indexOf(id) !== index),
    refusedAndRun: orders.filter(({ requestId, status }) => status === 503 && runs.includes(requestId)).map(({ requestId }) => requestId),
    ends: soak.exits.filter((code) => code !== 0),
    gone: NODES.filter((name) => find(name) === undefined)
  }
}

/** Share of the orders of callers and nodes in touch that were served, and their number. */
export const measureServed = (soak: Soak): { readonly count: number, readonly share: number } => {
  const inTouch = soak.fleet.orders.filter((order) => isInTouch(soak, order))
  return { count: inTouch.length, share: inTouch.filter(({ status }) => status === 200).length / inTouch.length }
}

export const NONE_BROKEN = { late: [], repeated: [], refusedAndRun: [], ends: [], gone: [] }
