/**
 * What the request path costs a router: processor time a request and an event,
 * and memory an open stream. Callers and backend server run in processes of
 * their own, so that this process's figures are the router's.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import type { Bench, Cell } from '../types.js'
import { BENCH_MODEL, END_MARKER, EVENTS_A_STREAM, PLAIN_ANSWER, type LoadOrder, type LoadResult } from './_lib/messages.js'
import { startBenchRouter } from './_lib/startBenchRouter.js'

type Run = { readonly name: string, readonly order: LoadOrder, readonly eventsARequest: number }

const PROMPT_CHARACTERS = 8_000
const MEGABYTE = 1_000_000
const COLUMNS = ['requests', 'at once', 'whole answers', 'a second', 'processor ms a request', 'processor µs an event', 'share of a core', 'resident MB at most']

const start = (file: string): ChildProcess => fork(new URL(`./_lib/${file}`, import.meta.url))

const chatBody = JSON.stringify({
  model: BENCH_MODEL,
  stream: true,
  messages: [{ role: 'system', content: 's'.repeat(PROMPT_CHARACTERS / 2) }, { role: 'user', content: 'u'.repeat(PROMPT_CHARACTERS / 2) }]
})

const createPlainRun = (port: number, requests: number): Run =>
  ({ name: 'plain', eventsARequest: 0, order: { port, path: '/stock/penne', body: '{"query":"penne"}', concurrency: 20, requests, ending: PLAIN_ANSWER } })

const createStreamRun = (port: number, concurrency: number): Run =>
  ({ name: 'stream', eventsARequest: EVENTS_A_STREAM, order: { port, path: '/v1/chat/completions', body: chatBody, concurrency, requests: concurrency * 2, ending: END_MARKER } })

/** Watches resident memory while the load runs. */
const watchMemory = (): (() => number) => {
  let most = 0
  const timer = setInterval(() => { most = Math.max(most, process.memoryUsage().rss) }, 100)
  return () => {
    clearInterval(timer)
    return most
  }
}

const measure = async (load: ChildProcess, { name, order, eventsARequest }: Run): Promise<readonly Cell[]> => {
  const stopWatching = watchMemory()
  const before = process.cpuUsage()
  load.send(order)
  const [{ whole, elapsedMs }] = await once(load, 'message') as [LoadResult]
  const { user, system } = process.cpuUsage(before)
  const processorMs = (user + system) / 1_000
  return [
    `${name}, ${order.requests}`,
    order.concurrency,
    whole,
    Math.round(order.requests / elapsedMs * 1_000),
    (processorMs / order.requests).toFixed(3),
    eventsARequest === 0 ? '' : (processorMs * 1_000 / order.requests / eventsARequest).toFixed(1),
    (processorMs / elapsedMs).toFixed(2),
    Math.round(stopWatching() / MEGABYTE)
  ]
}

/**
 * Measures the request path on this machine.
 *
 * @param options - With `fast`, fewer requests.
 * @returns One table; the first row warms the router up and is not to be quoted.
 */
export const runRequestsBench: Bench = async ({ fast }) => {
  const backend = start('serveBackend.js')
  const [backendPort] = await once(backend, 'message') as [number]
  const load = start('sendLoad.js')
  const router = await startBenchRouter(backendPort)
  const runs = [
    createPlainRun(router.port, 3_000),
    createPlainRun(router.port, fast ? 5_000 : 20_000),
    ...(fast ? [20, 100] : [20, 100, 300]).map((concurrency) => createStreamRun(router.port, concurrency))
  ]
  const rows: (readonly Cell[])[] = []
  for (const run of runs) rows.push(await measure(load, run))
  load.disconnect()
  backend.disconnect()
  await router.close()
  return [{ title: 'The request path of one router (the first row warms it up)', columns: COLUMNS, rows }]
}
