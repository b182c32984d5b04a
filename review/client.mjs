/**
 * A client as PROTOCOL.md describes it: it keeps its channel open for many requests and opens a
 * new one when it has ended. It does not repeat requests; each one has an id of its own.
 */
import { connect } from 'node:net'
import { pause } from './record.mjs'

const CONNECT_LIMIT_MS = 1_000

const openChannel = (port) => new Promise((resolve) => {
  const socket = connect({ host: '127.0.0.1', port, noDelay: true })
  const limit = setTimeout(() => socket.destroy(), CONNECT_LIMIT_MS)
  socket.once('connect', () => {
    clearTimeout(limit)
    resolve(socket)
  })
  socket.once('close', () => {
    clearTimeout(limit)
    resolve(undefined)
  })
  socket.on('error', () => { /* the close that follows is what counts */ })
})

/** Reads one answer with a length; `undefined` when the channel ends before it is complete. */
const readAnswer = (socket, limitMs) => new Promise((resolve) => {
  let pending = Buffer.alloc(0)
  const finish = (result) => {
    clearTimeout(limit)
    socket.off('data', onData)
    socket.off('close', onClose)
    socket.off('end', onClose)
    resolve(result)
  }
  const onClose = () => finish({ kind: 'closed', bytes: pending.length })
  const limit = setTimeout(() => finish({ kind: 'late' }), limitMs)
  const onData = (chunk) => {
    pending = Buffer.concat([pending, chunk])
    const end = pending.indexOf('\r\n\r\n')
    if (end < 0) return
    const head = pending.subarray(0, end).toString('latin1')
    const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0)
    if (pending.length < end + 4 + length) return
    finish({ kind: 'answer', status: Number(head.slice(9, 12)), head, body: pending.subarray(end + 4, end + 4 + length).toString('utf8'), isLast: /^connection: *close/im.test(head) })
  }
  socket.on('data', onData)
  socket.on('close', onClose)
  socket.on('end', onClose)
})

export const formatRequest = ({ requestId, path, key, limitMs, body }) =>
  `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ${requestId}\r\nX-Deadline-Ms: ${limitMs}\r\nAuthorization: Bearer ${key}\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`

/**
 * Sends requests one after the other until `isOver()`; resolves with all of them. `isKept` tells
 * whether the request was sent on a channel that had carried an answer before.
 */
export const runClient = async ({ name, port, machine, path, key, limitMs, thinkMs, isOver, record }) => {
  const requests = []
  let socket
  let answersOnChannel = 0
  let count = 0
  while (!isOver()) {
    if (socket === undefined || socket.destroyed || socket.readableEnded) {
      socket = await openChannel(port)
      answersOnChannel = 0
      if (socket === undefined) {
        record.note(`client ${name} gets no connection to ${machine}`)
        requests.push({ requestId: undefined, machine, kind: 'noConnection', isKept: false })
        await pause(200)
        continue
      }
    }
    count += 1
    const requestId = `${name}-${count}`
    const sentAt = performance.now()
    const isKept = answersOnChannel > 0
    record.note(`client ${name} sends ${requestId} to ${machine} on a ${isKept ? 'kept' : 'new'} channel`)
    const reading = readAnswer(socket, limitMs + 500)
    socket.write(formatRequest({ requestId, path, key, limitMs, body: `order ${requestId}` }))
    const result = await reading
    record.note(`client ${name} ${requestId}: ${result.kind === 'answer' ? `status ${result.status}` : result.kind}`)
    requests.push({ requestId, machine, sentAt, endedAt: performance.now(), isKept, ...result })
    if (result.kind !== 'answer' || result.isLast) {
      socket.destroy()
      socket = undefined
    } else {
      answersOnChannel += 1
    }
    await pause(thinkMs())
  }
  socket?.destroy()
  return requests
}
