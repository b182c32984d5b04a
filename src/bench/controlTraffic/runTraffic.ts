/** Generates requests that start and end on random servers, so that load counts change as in a real fleet. */
import type { Fleet, FleetNode } from './createFleet.js'

export type Traffic = { readonly stop: () => void }

/** Peak rate: 3,400 requests per second over 360 nodes. */
const REQUESTS_PER_NODE_SECOND = 3400 / 360
const MEAN_DURATION_MS = 10_000
const MS_PER_SECOND = 1000
/** Number of chats that the requests belong to. */
const CHATS = 100_000
/** Length of the chat keys that dispatch passes to the directory. */
const CHAT_KEY_LENGTH = 64

export const runTraffic = (fleet: Fleet): Traffic => {
  const { clock, random, servers } = fleet
  let isStopped = false

  const drawExponential = (mean: number): number => -mean * Math.log(1 - random.next())

  const startRequest = (node: FleetNode): void => {
    const server = servers[Math.floor(random.next() * servers.length)]!.name
    const chatKey = String(Math.floor(random.next() * CHATS)).padStart(CHAT_KEY_LENGTH, '0')
    // The reply is not used: only the bytes that it takes are measured.
    node.chatDirectory.lookUp(chatKey)
    node.loadView.recordStart(server)
    clock.setTimer(drawExponential(MEAN_DURATION_MS), () => {
      node.loadView.recordEnd(server)
      node.chatDirectory.store(chatKey, server)
    })
  }

  const arrive = (node: FleetNode): void => {
    if (isStopped) return
    startRequest(node)
    clock.setTimer(drawExponential(MS_PER_SECOND / REQUESTS_PER_NODE_SECOND), () => arrive(node))
  }

  for (const node of fleet.nodes) clock.setTimer(drawExponential(MS_PER_SECOND / REQUESTS_PER_NODE_SECOND), () => arrive(node))
  return { stop: () => { isStopped = true } }
}
