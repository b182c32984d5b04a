/** Starts real daemons that reach the platform's store over a proxy with faults, and callers of an order service. */
import { Agent } from 'node:http'
import { callGateway, nextRequestId } from '../../../platform/standIn/callGateway/index.js'
import { createPlatform, createRoute, type PlatformStandIn } from '../../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../../platform/standIn/startGatewayProcess/index.js'
import { createFaultProxy, type FaultProxy } from '../../_lib/createFaultProxy.js'

/** One run of a daemon, when it was ready and when it was asked to stop; its name is the same after a restart. */
export type StoreFleetNode = { readonly name: string, readonly process: GatewayProcess, readonly startedAt: number, stoppedAt: number, isGone: boolean }

export type Order = { readonly requestId: string, readonly node: StoreFleetNode, readonly sentAt: number, readonly status: number }

export type StoreFleet = {
  readonly platform: PlatformStandIn
  readonly proxy: FaultProxy
  readonly orders: readonly Order[]
  readonly find: (name: string) => StoreFleetNode | undefined
  readonly start: (name: string) => Promise<void>
  /** Lets callers call the node of a name, and its next runs, until `stopCalling`. */
  readonly callNode: (name: string, callers: number) => void
  readonly stopCalling: () => Promise<void>
  readonly close: () => Promise<void>
}

const PAUSE_MS = 40
const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** The built daemon, whose open connections go silent at SIGUSR2 and SIGWINCH. */
export const SILENCEABLE_PROGRAM = ['--max-old-space-size=160', '--require', './test/_lib/silenceSockets.cjs', 'target/gateway.cjs']

export type StoreFleetOptions = {
  /** Fields of the settings that differ from the defaults. */
  readonly fields?: Readonly<Record<string, string>>
  /** Arguments of node; the built daemon by default. */
  readonly program?: readonly string[]
}

export const startStoreFleet = async (servers: readonly string[], { fields = {}, program }: StoreFleetOptions = {}): Promise<StoreFleet> => {
  const platform = await createPlatform({
    engines: [],
    plain: servers.map((id) => ({ id, workMs: 50 })),
    routes: [createRoute('order', { route_type: 'unsafe', max_attempts: 1 })]
  })
  const proxy = await createFaultProxy(platform.store.address().port)
  const nodes = new Map<string, StoreFleetNode>()
  const processes: GatewayProcess[] = []
  const orders: Order[] = []
  const callers: Promise<void>[] = []
  const calling = { isOver: false }

  const find = (name: string): StoreFleetNode | undefined => nodes.get(name)?.isGone === false ? nodes.get(name) : undefined

  const order = async (node: StoreFleetNode, agent: Agent): Promise<void> => {
    const requestId = nextRequestId()
    const sentAt = performance.now()
    const { status } = await callGateway(node.process.callerAddress, { path: '/order/1', requestId, body: 'x', agent })
    orders.push({ requestId, node, sentAt, status })
    await pause(PAUSE_MS)
  }

  const call = async (name: string): Promise<void> => {
    while (!calling.isOver) {
      const node = find(name)
      const agent = new Agent({ keepAlive: true, maxSockets: 1 })
      if (node === undefined) await pause(PAUSE_MS)
      else while (!calling.isOver && !node.isGone) await order(node, agent)
      agent.destroy()
    }
  }

  return {
    platform,
    proxy,
    orders,
    find,
    start: async (name) => {
      const seeds = [...nodes.values()].filter(({ isGone }) => !isGone).map((node) => node.process.peerAddress)
      const process = await startGatewayProcess({ name, store: { host: '127.0.0.1', port: proxy.port }, seeds, fields, ...(program === undefined ? {} : { program }) })
      const node: StoreFleetNode = { name, process, startedAt: performance.now(), stoppedAt: Infinity, isGone: false }
      process.ended.then(() => { node.isGone = true }, () => { node.isGone = true })
      processes.push(process)
      nodes.set(name, node)
    },
    callNode: (name, count) => { for (let index = 0; index < count; index++) callers.push(call(name)) },
    stopCalling: async () => {
      calling.isOver = true
      await Promise.all(callers)
    },
    close: async () => {
      calling.isOver = true
      await Promise.all(callers)
      for (const process of processes) await process.close()
      await proxy.close()
      await platform.close()
    }
  }
}
