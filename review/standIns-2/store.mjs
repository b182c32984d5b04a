/** A stand-in of the platform's store: reads, paged lists, watches by long poll and conditional writes, as PROTOCOL.md says. */
import { createServer } from 'node:http'

const PAGE = 500
const HISTORY_MS = 20_000

const readText = async (request) => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}

const toWire = ({ name, revision, created, spec }) => ({ metadata: { name, revision, created, finalizers: [], deleting: false }, spec, status: null })

/** Starts a store; `choose` may name a fault for a call: `busy`, `reset`, `silent` or `done` (done, but not answered). */
export const createStore = async (host = '127.0.0.1') => {
  const kinds = new Map()
  const waiters = new Set()
  const changes = []
  let revision = 100
  let droppedUpTo = 100
  let choose = () => 'none'

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map())
    return kinds.get(kind)
  }

  const record = (kind, object, deleted) => {
    const now = Date.now()
    changes.push({ kind, object, deleted, revision, at: now })
    while (changes.length > 0 && changes[0].at < now - HISTORY_MS) droppedUpTo = changes.shift().revision
    for (const waiter of [...waiters]) if (waiter.kind === kind) waiter.finish()
  }

  const put = (kind, name, spec) => {
    const known = objectsOf(kind).get(name)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known
    revision += 1
    const object = { name, revision, created: known?.created ?? revision, spec }
    objectsOf(kind).set(name, object)
    record(kind, object, false)
    return object
  }

  const remove = (kind, name) => {
    const object = objectsOf(kind).get(name)
    if (object === undefined) return undefined
    revision += 1
    objectsOf(kind).delete(name)
    record(kind, { ...object, revision }, true)
    return object
  }

  const reply = (response, status, body) => {
    if (response.destroyed) return
    const bytes = Buffer.from(JSON.stringify(body))
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
    response.end(bytes)
  }

  const replyList = (response, kind, after) => {
    const names = [...objectsOf(kind).keys()].sort().filter((name) => after === null || name > after)
    reply(response, 200, { items: names.slice(0, PAGE).map((name) => toWire(objectsOf(kind).get(name))), has_more: names.length > PAGE, current_rev: revision })
  }

  const replyWatch = (response, kind, from, waitMs) => {
    if (from < droppedUpTo) return reply(response, 410, { error: 'history is gone' })
    const list = () => changes.filter((change) => change.kind === kind && change.revision > from)
    const finish = () => {
      waiters.delete(waiter)
      clearTimeout(timer)
      reply(response, 200, { events: list().map(({ object, deleted }) => ({ object: toWire(object), deleted })), current_rev: revision })
    }
    const waiter = { kind, finish }
    const timer = setTimeout(finish, Math.min(waitMs, 30_000))
    waiters.add(waiter)
    response.on('close', () => {
      waiters.delete(waiter)
      clearTimeout(timer)
    })
    if (list().length > 0) finish()
  }

  const write = (method, kind, name, text, stated) => {
    const { metadata, spec } = text === '' ? {} : JSON.parse(text)
    const target = name ?? metadata?.name
    const object = objectsOf(kind).get(target)
    if (method === 'POST' && object !== undefined) return [409, toWire(object)]
    if (method !== 'POST' && object === undefined) return [404, { error: 'not found' }]
    const condition = metadata?.revision ?? (stated === null ? undefined : Number(stated))
    if (object !== undefined && condition !== undefined && condition !== object.revision) return [409, toWire(object)]
    return [200, toWire(method === 'DELETE' ? remove(kind, target) : put(kind, target, spec))]
  }

  const handle = async (request, response) => {
    const url = new URL(request.url, 'http://store')
    const [, , kind = '', encoded] = url.pathname.split('/')
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded)
    const fault = choose({ method: request.method, kind, name, remotePort: request.socket.remotePort, remoteAddress: request.socket.remoteAddress })
    if (fault === 'silent') return
    if (fault === 'reset') return request.socket.resetAndDestroy()
    if (fault === 'busy') return reply(response, 503, { error: 'busy' })
    if (request.method !== 'GET') {
      const [status, body] = write(request.method, kind, name, await readText(request), url.searchParams.get('revision'))
      return fault === 'done' ? undefined : reply(response, status, body)
    }
    if (name !== undefined) {
      const object = objectsOf(kind).get(name)
      return object === undefined ? reply(response, 404, { error: 'not found' }) : reply(response, 200, toWire(object))
    }
    const from = url.searchParams.get('watch')
    if (from === null) return replyList(response, kind, url.searchParams.get('after_rev'))
    replyWatch(response, kind, Number(from), Number(url.searchParams.get('wait_ms') ?? 0))
  }

  const server = createServer((request, response) => { handle(request, response).catch(() => response.destroy()) })
  server.keepAliveTimeout = 30_000
  await new Promise((resolve) => { server.listen(0, host, resolve) })
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    setFault: (next) => { choose = next ?? (() => 'none') },
    cutAll: () => server.closeAllConnections(),
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
