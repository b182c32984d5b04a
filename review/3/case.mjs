/**
 * Open channels to the store go silent, and a server leaves without having reported `draining`.
 * Counts the orders that reach it later than `drain_ms` after the store has removed its entry,
 * from gateways that are in touch again, and those that it breaks off when it exits.
 */
import { runClient } from '../client.mjs'
import { startGateways, waitUntilReady } from '../gateways.mjs'
import { main } from '../main.mjs'
import { KEY, startPlatform } from '../platform.mjs'
import { startProxy } from '../proxy.mjs'
import { pause } from '../record.mjs'

const MACHINES = 2
const CLIENTS_PER_MACHINE = 6
const QUIET_MS = 5_000
const DRAIN_MS = 2_000
const CONTACT_MS = 3_000
/** The channels go silent in the middle of a watch, not right at its beginning. */
const WATCH_TO_SILENCE_MS = 500
const SILENCE_TO_REMOVAL_MS = 300
/** The server serves for `drain_ms` and this much longer: "a little longer (at times many seconds)". */
const LINGER_MS = 2_000
const END_MS = 4_000
/** Times of different processes are compared, so that this much is left out after each bound. */
const MARGIN_MS = 50
const MINIMUM_SERVED = 200
const WATCH = 'GET /objects/servers?watch='

main(import.meta.dirname, async ({ record, hasTrouble }) => {
  const runs = []
  const watchers = new Set()
  const platform = await startPlatform({ count: 3, workMs: () => 60 + 50 * Math.random(), runs, record })
  const proxy = await startProxy({ target: platform.storeAddress, onRequest: (text) => { if (text.startsWith(WATCH)) for (const watcher of watchers) watcher() } })
  const whenWatchBegins = () => new Promise((resolve) => {
    const watcher = () => {
      watchers.delete(watcher)
      resolve()
    }
    watchers.add(watcher)
  })
  const fleet = await startGateways({ count: MACHINES, store: proxy.address, record })
  await waitUntilReady(fleet.gateways)
  record.note('traffic begins')
  let isOver = false
  const clients = fleet.gateways.map((gateway, machine) => Promise.all(Array.from({ length: CLIENTS_PER_MACHINE }, (_, index) =>
    runClient({ name: `c${machine + 1}.${index + 1}`, port: gateway.front, machine: gateway.name, path: '/order/1', key: KEY, limitMs: 2_500, thinkMs: () => 30 + 60 * Math.random(), isOver: () => isOver, record }))))
  await pause(QUIET_MS)
  await whenWatchBegins()
  await pause(WATCH_TO_SILENCE_MS)
  const silentAt = performance.now()
  if (hasTrouble) record.note(`${proxy.silenceOpenChannels()} open channels to the store go silent; new ones work`)
  await pause(SILENCE_TO_REMOVAL_MS)
  const leaving = platform.servers[0]
  platform.store.remove('servers', leaving.id)
  leaving.startLeaving()
  const removedAt = performance.now()
  record.note(`the store has removed the entry of ${leaving.id}, which had not reported draining`)
  await pause(DRAIN_MS + LINGER_MS)
  record.note(`server ${leaving.id} exits`)
  await leaving.close()
  await pause(END_MS)
  isOver = true
  const requests = new Map((await Promise.all(clients)).flat(2).map((request) => [request.requestId, request]))
  await fleet.close()
  await proxy.close()
  await platform.close()

  const inTouchFrom = hasTrouble ? silentAt + CONTACT_MS + MARGIN_MS : 0
  const late = runs.filter(({ server, at, requestId }) =>
    server === leaving.id && at > removedAt + DRAIN_MS + MARGIN_MS && requests.get(requestId)?.sentAt > inTouchFrom)
  const brokenOff = late.filter(({ answeredAt }) => answeredAt === undefined)
  for (const { requestId, at, answeredAt } of late) {
    const { machine, kind, status } = requests.get(requestId)
    record.note(`DRAIN: ${requestId} from ${machine} ran at ${leaving.id} ${Math.round(at - removedAt)} ms after its entry was removed; ${answeredAt === undefined ? `broken off, its client got ${kind === 'answer' ? `status ${status}` : kind}` : 'answered'}`)
  }
  const served = [...requests.values()].filter(({ status }) => status === 200).length
  record.tell(`orders ${requests.size}, served ${served}`)
  record.tell(`${late.length} orders reached ${leaving.id} later than ${DRAIN_MS} ms after its entry was removed, sent by clients and gateways in touch; it broke ${brokenOff.length} of them off when it exited`)
  if (served < MINIMUM_SERVED) throw new Error(`only ${served} orders were served`)
  record.tell(`DRAIN ${late.length > 0 ? 'broken' : 'held'}`)
  return late.length > 0
})
