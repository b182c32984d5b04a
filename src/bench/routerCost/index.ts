/**
 * Measures the overhead of one router process: the latency that it adds, and its
 * processor time and memory. The baseline is the same client with direct requests
 * to the same engines, in the same run.
 */
import { round } from '../_lib/statistics.js'
import { Agent } from 'undici'
import { measureChat, type ChatShape, type ChatTarget, type ChatTimes } from './_lib/measureChat.js'
import { pickQuantile } from './_lib/pickQuantile.js'
import { readProcessFigures } from './_lib/readProcessFigures.js'
import { BENCH_MODEL, startBenchEnvironment, type BenchEnvironment } from '../_lib/startBenchEnvironment.js'
import type { Bench, Cell, Table } from '../types.js'

type Path = 'direct' | 'router'

type Workload = { readonly title: string, readonly shape: ChatShape }

type Throughput = {
  readonly requestsPerSecond: number
  readonly eventsPerSecond: number
  readonly cpuSeconds: number
  readonly requests: number
  readonly events: number
  readonly seconds: number
  readonly memoryMegabytes: number
}

type SendRequest = (path: Path, shape: ChatShape) => Promise<ChatTimes>

const ENGINE_FLAGS = ['--decode-interval', '1', '--decode-interval-per-request', '0', '--prefill-rate', '100000000', '--cache-tokens', '1000000']
const ENVIRONMENT = { routers: 1, engines: 3, services: 0, accounts: 1, slots: 512, engineFlags: ENGINE_FLAGS }
const WARM_UP_MS = 2000
const CONCURRENCY = 64

const LATENCY_WORKLOADS: readonly Workload[] = [
  { title: 'whole answer of 1 token', shape: { stream: false, maximumTokens: 1 } },
  { title: 'stream of 16 tokens', shape: { stream: true, maximumTokens: 16 } }
]

const THROUGHPUT_WORKLOADS: readonly Workload[] = [
  { title: 'whole answers of 1 token', shape: { stream: false, maximumTokens: 1 } },
  { title: 'streams of up to 200 tokens', shape: { stream: true, maximumTokens: 200 } }
]

/**
 * Runs the benchmark.
 *
 * Latency is measured one request at a time, alternating between direct and routed
 * requests, so that both run under the same conditions. Throughput is measured with
 * a fixed number of open requests. The client is also a single process: where direct
 * and routed throughput are close, the client is the bottleneck, and the processor
 * time per request or event is the meaningful result.
 *
 * @param options - `fast` sends fewer requests; `seed` is part of the questions.
 * @returns Tables of latency, throughput and memory.
 *
 * @example
 * await runRouterCostBench({ fast: true, seed: 1 })
 */
export const runRouterCostBench: Bench = async ({ fast, seed }) => {
  const environment = await startBenchEnvironment(ENVIRONMENT)
  const { operatorUrl } = environment.routers[0]!
  const agent = new Agent({ connections: null, pipelining: 1 })
  const sendRequest = createRequestSender(environment, agent, seed)
  try {
    for (const { shape } of THROUGHPUT_WORKLOADS) await runClosedLoop(operatorUrl, () => sendRequest('router', shape), WARM_UP_MS)
    const idle = await readProcessFigures(operatorUrl)
    const latency = await measureLatency(sendRequest, fast ? 200 : 1000)
    const throughput = await measureThroughput(operatorUrl, sendRequest, fast ? 3000 : 10_000)
    return [latency, throughput, { title: 'memory of the router process after the warm-up', columns: ['MB'], rows: [[round(idle.memoryMegabytes)]] }]
  } finally {
    await agent.destroy()
    await environment.stop()
  }
}

const createRequestSender = (environment: BenchEnvironment, agent: Agent, seed: number): SendRequest => {
  let sentCount = 0
  const pickOrigin = (path: Path): string => path === 'router' ? environment.routers[0]!.callerUrl : environment.engineUrls[sentCount % environment.engineUrls.length]!
  return (path, shape) => {
    sentCount += 1
    const target: ChatTarget = { origin: pickOrigin(path), key: environment.keys[0]!, model: BENCH_MODEL }
    return measureChat(agent, target, shape, `question ${seed}-${sentCount}`)
  }
}

const measureBoth = async (sendRequest: SendRequest, shape: ChatShape): Promise<Readonly<Record<Path, ChatTimes>>> => {
  const direct = await sendRequest('direct', shape)
  const router = await sendRequest('router', shape)
  return { direct, router }
}

const measureLatency = async (sendRequest: SendRequest, count: number): Promise<Table> => {
  const rows: Cell[][] = []
  for (const { title, shape } of LATENCY_WORKLOADS) {
    const pairs: Readonly<Record<Path, ChatTimes>>[] = []
    for (let index = 0; index < count; index += 1) pairs.push(await measureBoth(sendRequest, shape))
    rows.push(describeLatency(`${title}, first byte`, pairs, ({ firstByteMs }) => firstByteMs))
    rows.push(describeLatency(`${title}, to its end`, pairs, ({ totalMs }) => totalMs))
  }
  return {
    title: `latency in ms, one request at a time, ${count} each`,
    columns: ['answer', 'direct p50', 'router p50', 'added p50', 'direct p99', 'router p99', 'added p99'],
    rows
  }
}

const describeLatency = (title: string, pairs: readonly Readonly<Record<Path, ChatTimes>>[], read: (times: ChatTimes) => number): Cell[] => {
  const direct = pairs.map((pair) => read(pair.direct))
  const router = pairs.map((pair) => read(pair.router))
  const cells = [0.5, 0.99].flatMap((quantile) => {
    const [without, through] = [pickQuantile(direct, quantile), pickQuantile(router, quantile)]
    return [round(without), round(through), round(through - without)]
  })
  return [title, ...cells]
}

const measureThroughput = async (operatorUrl: string, sendRequest: SendRequest, durationMs: number): Promise<Table> => {
  const rows: Cell[][] = []
  for (const { title, shape } of THROUGHPUT_WORKLOADS) {
    for (const path of ['direct', 'router'] as const) {
      rows.push(describeThroughput(title, path, await runClosedLoop(operatorUrl, () => sendRequest(path, shape), durationMs)))
    }
  }
  return {
    title: `throughput with ${CONCURRENCY} requests open, ${durationMs / 1000} s each; processor time and memory are the router's`,
    columns: ['answers', 'path', 'requests/s', 'events/s', 'cores used', 'CPU µs/request', 'CPU µs/event', 'MB'],
    rows
  }
}

const runClosedLoop = async (operatorUrl: string, sendOnce: () => Promise<ChatTimes>, durationMs: number): Promise<Throughput> => {
  const before = await readProcessFigures(operatorUrl)
  const startedAt = performance.now()
  let requests = 0
  let events = 0
  const work = async (): Promise<void> => {
    while (performance.now() - startedAt < durationMs) {
      const times = await sendOnce()
      requests += 1
      events += times.events
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, work))
  const seconds = (performance.now() - startedAt) / 1000
  const after = await readProcessFigures(operatorUrl)
  return {
    requests,
    events,
    seconds,
    requestsPerSecond: requests / seconds,
    eventsPerSecond: events / seconds,
    cpuSeconds: after.cpuSeconds - before.cpuSeconds,
    memoryMegabytes: after.memoryMegabytes
  }
}

const describeThroughput = (title: string, path: Path, result: Throughput): Cell[] => {
  const rates = [title, path, Math.round(result.requestsPerSecond), Math.round(result.eventsPerSecond)]
  if (path === 'direct') return [...rates, '', '', '', '']
  const microseconds = result.cpuSeconds * 1e6
  return [...rates, round(result.cpuSeconds / result.seconds), round(microseconds / result.requests), round(microseconds / result.events), round(result.memoryMegabytes)]
}
