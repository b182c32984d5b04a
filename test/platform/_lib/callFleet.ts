/** Calls to a fleet of gateways, and what reached its backend servers. */
import { callGateway, promptHeaders, type CallResult } from '../../../platform/standIn/callGateway/index.js'
import type { GatewayFleet } from './startGatewayFleet.js'

const POLL_INTERVAL_MS = 5

export const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Number of requests that reached a backend server, refused ones included. */
export const countArrivals = (fleet: GatewayFleet, id: string): number => fleet.backends.get(id)!.records().length

export const callLookup = (fleet: GatewayFleet, node = 0): Promise<CallResult> => callGateway(fleet.callerAddress(node), { path: '/lookup/1' })

export const callStream = (fleet: GatewayFleet, subject: string): Promise<CallResult> =>
  callGateway(fleet.callerAddress(), { path: '/chat/1', body: 'hello', headers: promptHeaders(subject) })

/** Sends lookups one by one and returns their different statuses. */
export const callLookups = async (fleet: GatewayFleet, count = 20): Promise<readonly number[]> => {
  const statuses = new Set<number>()
  for (let index = 0; index < count; index++) statuses.add((await callLookup(fleet)).status)
  return [...statuses]
}

/** Calls one by one until one more request has reached the server, and returns how many have. */
export const callUntilArrival = async (fleet: GatewayFleet, id: string, callOnce: (index: number) => Promise<unknown>): Promise<number> => {
  const before = countArrivals(fleet, id)
  for (let index = 0; countArrivals(fleet, id) === before; index++) await callOnce(index)
  return countArrivals(fleet, id)
}

/** Waits until the nodes have logged an event of a backend server `count` times. */
export const waitForEvent = async (fleet: GatewayFleet, message: string, id: string, count = 1): Promise<void> => {
  while (fleet.logs.filter((line) => line.message === message && line['backendServer'] === id).length < count) await pause(POLL_INTERVAL_MS)
}
