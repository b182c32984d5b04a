/**
 * An entry of kind `servers` from another writer has an address that can't be read. Counts how
 * often gateways end by themselves, and which requests on kept channels they lose by that.
 */
import { runClient } from '../client.mjs'
import { startGateways, waitUntilReady } from '../gateways.mjs'
import { KEY, SERVICE, startPlatform } from '../platform.mjs'
import { main } from '../main.mjs'
import { now, pause } from '../record.mjs'

const MACHINES = 2
const CLIENTS_PER_MACHINE = 10
/** More than `contact_ms`: both gateways are in touch by then. */
const QUIET_MS = 6_000
const ENTRY_MS = 8_000
const END_MS = 18_000
/** The rules allow three lost requests of a machine, and two own ends of a process. */
const ALLOWED_LOSSES = 3
const ALLOWED_ENDS = 2
const MINIMUM_ANSWERS = 200

/** What PROTOCOL.md says of entries from another writer, with an address of a free port; no server is there. */
const unreadable = { service: SERVICE, address: '127.0.0.1:1', zone: 'zone-a', version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, seq_no: 1, born: 1 }
const otherForms = {
  'w-missing': { service: SERVICE, zone: 'zone-a', state: 'ready' },
  'w-type': { ...unreadable, slots: 'six', address: 7 },
  'w-state': { ...unreadable, state: 'asleep' },
  'w-service': { ...unreadable, service: 'nobody-app' },
  'w-bytes': '\ufffd\u0000\u0001'
}

main(import.meta.dirname, async ({ record, hasTrouble }) => {
  const runs = []
  const platform = await startPlatform({ count: 3, workMs: () => 60 + 80 * Math.random(), runs, record })
  // These are present with and without the disruption.
  for (const [name, spec] of Object.entries(otherForms)) platform.store.put('servers', name, spec)
  const fleet = await startGateways({ count: MACHINES, store: platform.storeAddress, record })
  await waitUntilReady(fleet.gateways)
  const beganAt = now()
  record.note('traffic begins')
  const isOver = () => now() - beganAt > END_MS
  const clients = fleet.gateways.flatMap((gateway, machine) => Array.from({ length: CLIENTS_PER_MACHINE }, (_, index) =>
    runClient({ name: `c${machine + 1}.${index + 1}`, port: gateway.front, machine: gateway.name, path: '/order/1', key: KEY, limitMs: 2_500, thinkMs: () => 10 + 30 * Math.random(), isOver, record })))
  await pause(QUIET_MS)
  if (hasTrouble) {
    record.note('another writer writes the entry w-address with address 127.0.0.1:82233')
    platform.store.put('servers', 'w-address', { ...unreadable, address: '127.0.0.1:82233' })
  }
  await pause(ENTRY_MS)
  if (hasTrouble) {
    record.note('the entry w-address is removed')
    platform.store.remove('servers', 'w-address')
  }
  const requests = (await Promise.all(clients)).flat()
  const ends = new Map(fleet.gateways.map((gateway) => [gateway.name, gateway.ownEnds().length]))
  for (const gateway of fleet.gateways) record.note(`${gateway.name} wrote: ${/TypeError[^\n]*/.exec(gateway.readOutput())?.[0] ?? 'no error'}`)
  await fleet.close()
  await platform.close()

  const ran = new Set(runs.map(({ requestId }) => requestId))
  const answered = requests.filter(({ kind }) => kind === 'answer')
  const served = answered.filter(({ status }) => status === 200)
  const lost = requests.filter(({ kind, isKept, requestId }) => kind === 'closed' && isKept && ran.has(requestId))
  const lossesBy = new Map(fleet.gateways.map(({ name }) => [name, lost.filter(({ machine }) => machine === name).length]))
  record.tell(`requests ${requests.length}, answered ${answered.length}, served ${served.length}, no connection ${requests.filter(({ kind }) => kind === 'noConnection').length}`)
  for (const [name, count] of lossesBy) record.tell(`${name}: ended by itself ${ends.get(name)} times; ${count} requests on kept channels ran and got no answer, their channels were closed`)
  if (served.length < MINIMUM_ANSWERS) throw new Error(`only ${served.length} requests were served`)
  const isLost = [...lossesBy.values()].some((count) => count > ALLOWED_LOSSES)
  const isFault = [...ends.values()].filter((count) => count > ALLOWED_ENDS).length >= 2
  record.tell(`LOST ${isLost ? 'broken' : 'held'}; Fault (processes end by themselves) ${isFault ? 'broken' : 'held'}`)
  return isLost || isFault
})
