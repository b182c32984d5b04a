/** Callers in a process of their own: runs each order that the parent sends and reports back. */
import { Agent, request } from 'node:http'
import { BENCH_KEY, type LoadOrder, type LoadResult } from './messages.js'

const MAXIMUM_SOCKETS = 2_000
const agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS })

/** Resolves with whether the whole answer came. */
const askOnce = ({ port, path, body, ending }: LoadOrder): Promise<boolean> => new Promise((resolve) => {
  const headers = { authorization: `Bearer ${BENCH_KEY}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  const sent = request({ host: '127.0.0.1', port, path, method: 'POST', agent, headers }, (response) => {
    let text = ''
    response.setEncoding('utf8')
    response.on('data', (chunk: string) => { text = (text + chunk).slice(-ending.length) })
    response.on('end', () => resolve(text === ending))
    response.on('error', () => resolve(false))
  })
  sent.on('error', () => resolve(false))
  sent.end(body)
})

const runOrder = async (order: LoadOrder): Promise<LoadResult> => {
  const startedAt = performance.now()
  let left = order.requests
  let whole = 0
  const ask = async (): Promise<void> => {
    while (left > 0) {
      left -= 1
      if (await askOnce(order)) whole += 1
    }
  }
  await Promise.all(Array.from({ length: order.concurrency }, ask))
  return { whole, elapsedMs: performance.now() - startedAt }
}

process.on('message', async (order: LoadOrder) => { process.send?.(await runOrder(order)) })
process.on('disconnect', () => process.exit())
