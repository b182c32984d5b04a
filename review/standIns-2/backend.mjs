/** A stand-in of a backend server: the part of PROTOCOL.md that a plain service and a model server have in common. */
import { createServer } from 'node:http'
import { createHash } from 'node:crypto'

const HEARTBEAT_MS = 1_200

export const hash = (bytes) => createHash('sha256').update(bytes).digest('hex').slice(0, 16)

/** The whole body of the answer to an attempt. */
export const composeBody = (attemptId, bodyHash) => JSON.stringify({ attemptId, bodyHash }).padEnd(800)

export const composeEvent = (attemptId, id, mark = '') => `id: ${id}\ndata: piece ${id} of ${attemptId}${mark}\n\n`

const readBytes = (request) => new Promise((resolve) => {
  const chunks = []
  request.on('data', (chunk) => chunks.push(chunk))
  request.on('end', () => resolve(Buffer.concat(chunks)))
  request.on('error', () => resolve(undefined))
  request.on('close', () => resolve(undefined))
})

/**
 * Starts a server and registers it in the store.
 *
 * @param options - `id`, `service`, `zone`, `slots`, `workMs`, `events`, `gapMs`; `onRun(run)` is told of each run;
 * `spoil(run, request, response)` may answer instead of the server, and returns true if it does. `version` is that of its
 * software, `mark` a text in each event, `port` a fixed one, `firstBeatMs` the time until its first heartbeat.
 */
export const createBackend = async ({ id, service, zone, store, host = '127.0.0.1', slots = 6, queue = 24, workMs = 60, events = 10, gapMs = 20, onRun = () => {}, spoil = () => false, register = true, advertised, version = 'v1', mark, port = 0, firstBeatMs = 0 }) => {
  const sockets = new Set()
  const waiting = []
  const born = Date.now()
  let running = 0
  let sequence = 0
  let state = 'ready'
  let timer
  let isGone = false

  const load = () => `${running},${waiting.length},${slots}`

  const head = (attemptId) => ({ 'X-Attempt-Id': attemptId, 'X-Server-Stamp': `stamp.${id}.${attemptId}`, 'X-Server-Load': load() })

  const refuse = (response, status, attemptId) => {
    response.writeHead(status, { 'X-Not-Executed': '1', 'X-Instance-Id': id, 'X-Server-Load': load(), ...(attemptId === undefined ? {} : { 'X-Attempt-Id': attemptId }), 'Content-Length': 0 })
    response.end()
  }

  const stream = (run, response) => {
    let next = Number(run.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, { ...head(run.attemptId), 'Content-Type': 'text/event-stream' })
    const step = () => {
      if (response.destroyed) return
      if (next > events) return response.end()
      response.write(composeEvent(run.attemptId, next, mark))
      next += 1
      setTimeout(step, gapMs)
    }
    step()
  }

  const work = (run, request, response) => {
    if (spoil(run, request, response)) return
    if (run.isStream) return setTimeout(() => stream(run, response), workMs)
    setTimeout(() => {
      if (response.destroyed) return
      const body = composeBody(run.attemptId, run.bodyHash)
      response.writeHead(200, { ...head(run.attemptId), 'Content-Length': body.length })
      response.end(body)
    }, workMs)
  }

  const startNext = () => {
    if (running >= slots) return
    const next = waiting.shift()
    if (next === undefined) return
    if (next.response.destroyed) return startNext()
    running += 1
    next.response.on('close', () => {
      running -= 1
      startNext()
    })
    onRun(next.run)
    work(next.run, next.request, next.response)
  }

  const handle = async (request, response) => {
    const attemptId = request.headers['x-attempt-id']
    if (request.url === '/health') {
      response.writeHead(state === 'ready' ? 200 : 503, { 'X-Instance-Id': id, 'X-Server-Load': load(), 'Content-Length': 0 })
      return response.end()
    }
    if (request.url.startsWith('/kv-list')) {
      response.writeHead(200, { 'Content-Type': 'application/json' })
      return response.end(JSON.stringify({ epoch: 1, next: 1, held: [] }))
    }
    if (attemptId === undefined) return refuse(response, 400)
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) return refuse(response, 421, attemptId)
    if (running >= slots && waiting.length >= queue) return refuse(response, 503, attemptId)
    const bytes = await readBytes(request)
    if (bytes === undefined) return
    const run = { server: id, service, attemptId, method: request.method, path: request.url, headers: request.headers, bodyHash: hash(bytes), bodyBytes: bytes.length, isStream: request.headers['x-prompt-prefix'] !== undefined, at: performance.now() }
    waiting.push({ run, request, response })
    startNext()
  }

  const server = createServer((request, response) => { handle(request, response).catch(() => response.destroy()) })
  server.keepAliveTimeout = 20_000
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise((resolve) => { server.listen(port, host, resolve) })
  const own = `${host}:${server.address().port}`

  const beat = () => {
    sequence += 1
    store.put('servers', id, { service, address: advertised?.(own) ?? own, zone, version, slots, state, cold_left_ms: 0, seq_no: sequence, born })
  }
  const startBeats = () => {
    beat()
    timer = setInterval(beat, HEARTBEAT_MS)
  }

  if (register) {
    if (firstBeatMs === 0) startBeats()
    else timer = setTimeout(startBeats, firstBeatMs)
  }

  return {
    id,
    address: own,
    countRunning: () => running,
    drain: () => {
      state = 'draining'
      beat()
    },
    leave: () => {
      clearInterval(timer)
      store.remove('servers', id)
    },
    crash: () => {
      isGone = true
      clearInterval(timer)
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    },
    close: () => {
      if (isGone) return
      clearInterval(timer)
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
