/**
 * A server of a plain service as PROTOCOL.md describes it: it echoes the id of each request,
 * signs its answers, tells its load, answers 421 to requests for another server, and refuses
 * with 503 and `X-Not-Executed` when it is full.
 */
import { createServer } from 'node:net'

/** The answer of a server that sheds, as `fleetbench wire` shows it. */
export const SHED = 'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'

const SLOTS = 6
const QUEUE = 24

const parseHead = (text) => {
  const [first, ...lines] = text.split('\r\n')
  const [method, target] = first.split(' ')
  const headers = new Map(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return { method, target, headers }
}

/** Splits what arrives on a channel into requests with a length. */
const readRequests = (socket, onRequest) => {
  let pending = Buffer.alloc(0)
  socket.on('data', (chunk) => {
    pending = Buffer.concat([pending, chunk])
    for (;;) {
      const end = pending.indexOf('\r\n\r\n')
      if (end < 0) return
      const head = parseHead(pending.subarray(0, end).toString('latin1'))
      const total = end + 4 + Number(head.headers.get('content-length') ?? 0)
      if (pending.length < total) return
      const body = pending.subarray(end + 4, total).toString('utf8')
      pending = pending.subarray(total)
      onRequest({ ...head, body })
    }
  })
}

/**
 * Starts a server. `runs` gets an entry for each request that it begins to work on.
 * A `disturbance` is told of
 * each answer and its channel, and asked for bytes that are written when a request arrives.
 */
export const startPlainServer = async ({ id, workMs, runs, record, disturbance }) => {
  const sockets = new Set()
  const timers = new Set()
  const waiting = []
  let running = 0
  let answered = 0
  let isLeaving = false

  const readLoad = () => `${running},${waiting.length},${SLOTS}`

  const write = (socket, text) => { if (socket.writable) socket.write(text, 'utf8') }

  const beginNext = () => {
    if (running >= SLOTS || waiting.length === 0) return
    const { socket, channel, request } = waiting.shift()
    const requestId = request.headers.get('x-attempt-id')
    running += 1
    const run = { requestId, server: id, tenant: request.headers.get('x-tenant'), at: performance.now(), answeredAt: undefined }
    runs.push(run)
    record.note(`server ${id} runs ${requestId}, tenant ${run.tenant}`)
    const timer = setTimeout(() => {
      timers.delete(timer)
      running -= 1
      answered += 1
      run.answeredAt = performance.now()
      const text = JSON.stringify({ done: requestId, by: id }).padEnd(800)
      record.note(`server ${id} has run ${requestId}${socket.writable ? '' : ', its channel is closed'}`)
      write(socket, `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestId}\r\nX-Server-Stamp: stamp-${id}\r\nX-Server-Load: ${readLoad()}\r\n${isLeaving ? 'Connection: close\r\n' : ''}Content-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`)
      if (isLeaving) socket.end()
      disturbance?.onAnswer(channel)
      beginNext()
    }, workMs())
    timers.add(timer)
    beginNext()
  }

  const accept = (socket, channel) => (request) => {
    const requestId = request.headers.get('x-attempt-id')
    record.note(`server ${id} channel ${channel} gets ${requestId ?? `${request.method} ${request.target}`}`)
    if (requestId === undefined) return write(socket, 'HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    const expected = request.headers.get('x-expect-instance')
    if (expected !== undefined && expected !== id) return write(socket, `HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    if (waiting.length >= QUEUE) return write(socket, SHED)
    waiting.push({ socket, channel, request })
    beginNext()
    const bytes = disturbance?.disturb({ channel, requestId })
    if (bytes !== undefined) write(socket, bytes)
  }

  let channels = 0
  const server = createServer((socket) => {
    channels += 1
    sockets.add(socket)
    socket.on('error', () => { /* the other side has reset the channel */ })
    socket.on('close', () => sockets.delete(socket))
    readRequests(socket, accept(socket, channels))
  })
  await new Promise((resolve) => { server.listen(0, '127.0.0.1', resolve) })

  /** Ends it: what it is working on is broken off. */
  const close = () => new Promise((resolve) => {
    for (const timer of timers) clearTimeout(timer)
    server.close(resolve)
    for (const socket of sockets) socket.destroy()
  })

  return {
    id,
    address: `127.0.0.1:${server.address().port}`,
    countAnswers: () => answered,
    /** From now on its answers say that their channel is closed, and it closes them. */
    startLeaving: () => { isLeaving = true },
    close
  }
}
