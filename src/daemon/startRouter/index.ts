/**
 * Starts the router daemon: a node with the real adapters and listeners, and a
 * graceful shutdown that lets requests in flight finish.
 */
import { createBackendHttp } from '../../adapters/backendHttp/index.js'
import { createCallerHttp } from '../../adapters/callerHttp/index.js'
import { countPlatformCalls } from '../../adapters/countedPlatform/index.js'
import { createOperatorHttp } from '../../adapters/operatorHttp/index.js'
import { createPeerTcp } from '../../adapters/peerTcp/index.js'
import { createPlatformHttp } from '../../adapters/platformHttp/index.js'
import { createPromMetrics } from '../../adapters/promMetrics/index.js'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { createSystemRandom } from '../../adapters/systemRandom/index.js'
import { createWinstonLogger } from '../../adapters/winstonLogger/index.js'
import { createRouterNode } from '../../node/createRouterNode/index.js'
import type { Clock, Logger, PeerAddress, RouterSettings } from '../../types/index.js'

export type RouterAddresses = {
  /** Origin for callers. */
  readonly caller: string
  /** Origin for operators. */
  readonly operator: string
  /** `host:port` for peers. */
  readonly peer: string
}

export type Router = {
  readonly addresses: RouterAddresses
  /** Fails the readiness check, lets requests in flight finish, and closes everything. */
  readonly stop: () => Promise<void>
}

export type RouterOptions = {
  /** Destination of the logs; standard error by default. */
  readonly logger?: Logger
}

const formatAddress = ({ host, port }: PeerAddress): string => `${host}:${port}`

const wait = (clock: Clock, delayMs: number): Promise<void> => new Promise((resolve) => { clock.setTimer(delayMs, resolve) })

// The timer is cancelled at the end because a pending timer keeps the process
// alive: a router with nothing in flight would run for its whole grace period
// without a listener and delay the replacement of its VM.
const waitWithTimeout = (clock: Clock, limitMs: number, completion: Promise<unknown>): Promise<void> =>
  new Promise((resolve, reject) => {
    const timer = clock.setTimer(limitMs, resolve)
    completion.then(() => resolve(), reject).finally(timer.cancel)
  })

/**
 * Starts a router.
 *
 * The order of the shutdown lets no caller see an error. First the readiness
 * check fails, answers end their connections and peers are notified while requests
 * are still accepted, so that a load balancer has time to stop sending. Then no
 * new requests are accepted and those in flight finish. Then everything else is closed.
 *
 * @param settings - Validated settings.
 * @param options - The logger.
 * @returns The running router.
 *
 * @example
 * const router = await startRouter(settings)
 * console.log(router.addresses.caller)
 */
export const startRouter = async (settings: RouterSettings, options: RouterOptions = {}): Promise<Router> => {
  const clock = createSystemClock()
  const random = createSystemRandom()
  const metrics = createPromMetrics()
  const logger = options.logger ?? createWinstonLogger({ level: settings.logLevel, fields: { node: settings.nodeId } })
  const platform = countPlatformCalls(createPlatformHttp({ url: settings.platformUrl, timeoutMs: settings.platformTimeoutMs }), metrics)
  const backendClient = createBackendHttp(settings)
  const transport = createPeerTcp({
    host: settings.peerHost,
    port: settings.peerPort,
    fleetKey: settings.fleetKey,
    maximumFrameBytes: settings.maximumFrameBytes,
    clock,
    random,
    logger,
    metrics
  })
  const listenAddress = await transport.listen()
  const peerAddress: PeerAddress = {
    host: settings.advertisedHost === '' ? listenAddress.host : settings.advertisedHost,
    port: settings.advertisedPort === 0 ? listenAddress.port : settings.advertisedPort
  }
  const node = createRouterNode({ settings, clock, random, platform, transport, peerAddress: () => peerAddress, backendClient, logger, metrics })
  await node.start()
  const dispatch = node.resolve('dispatch')
  const callerHttp = createCallerHttp({ dispatch, clock, random, logger }, { host: settings.callerHost, port: settings.callerPort, maximumBodyBytes: settings.maximumBodyBytes })
  const operatorHttp = createOperatorHttp({
    host: settings.operatorHost,
    port: settings.operatorPort,
    operatorToken: settings.operatorToken,
    readStatus: node.status,
    renderMetrics: metrics.render,
    metricsContentType: metrics.contentType
  })
  const caller = await callerHttp.listen()
  const operator = await operatorHttp.listen()
  node.resolve('configuration').onChange(() => callerHttp.setReady(node.status().ready))
  callerHttp.setReady(node.status().ready)
  logger.info('router started', { caller: formatAddress(caller), operator, peer: formatAddress(peerAddress) })

  const shutDown = async (): Promise<void> => {
    logger.info('router stopping', { open: dispatch.ledger().open })
    node.beginLeaving()
    // Callers leave with their next answer: a kept connection that is closed later may have a request on its way.
    callerHttp.beginClosing()
    await wait(clock, settings.shutdownDelayMs)
    await waitWithTimeout(clock, settings.shutdownGraceMs, Promise.all([callerHttp.close(), dispatch.whenIdle()]))
    logger.info('router stopped', { open: dispatch.ledger().open })
    await node.stop()
    await Promise.all([operatorHttp.close(), transport.close(), backendClient.close(), platform.close()])
  }

  let ongoingShutdown: Promise<void> | undefined
  return {
    addresses: { caller: `http://${formatAddress(caller)}`, operator, peer: formatAddress(peerAddress) },
    stop: () => {
      ongoingShutdown ??= shutDown()
      return ongoingShutdown
    }
  }
}
