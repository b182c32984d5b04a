/** A stand-in of a client: writes a request to a channel and reads its answer, byte by byte if need be. */
import { connect } from 'node:net'

export const HOST = 'ficu95.example'

/** Opens a channel; answers are read in the order of the requests. */
export const openChannel = ({ host, port }) => new Promise((resolve) => {
  const socket = connect({ host, port, noDelay: true })
  let pending = Buffer.alloc(0)
  let current
  let isEnded = false

  const finish = (end) => {
    if (current === undefined) return
    const { answer, done } = current
    current = undefined
    done({ ...answer, end, at: performance.now() })
  }

  const parse = () => {
    for (;;) {
      if (current === undefined) return
      const { answer } = current
      if (answer.status === undefined) {
        const at = pending.indexOf('\r\n\r\n')
        if (at < 0) return
        const [line, ...lines] = pending.subarray(0, at).toString('latin1').split('\r\n')
        pending = pending.subarray(at + 4)
        const status = Number(line.split(' ')[1])
        if (status < 200) continue
        answer.status = status
        answer.headers = Object.fromEntries(lines.map((text) => [text.slice(0, text.indexOf(':')).toLowerCase(), text.slice(text.indexOf(':') + 1).trim()]))
        answer.isChunked = answer.headers['transfer-encoding'] === 'chunked'
        answer.body = Buffer.alloc(0)
      }
      if (!answer.isChunked) {
        const missing = Number(answer.headers['content-length'] ?? 0) - answer.body.length
        answer.body = Buffer.concat([answer.body, pending.subarray(0, missing)])
        pending = pending.subarray(missing)
        if (answer.body.length < Number(answer.headers['content-length'] ?? 0)) return
        finish('complete')
        continue
      }
      const at = pending.indexOf('\r\n')
      if (at < 0) return
      const size = parseInt(pending.subarray(0, at).toString('latin1'), 16)
      if (pending.length < at + 2 + size + 2) return
      answer.body = Buffer.concat([answer.body, pending.subarray(at + 2, at + 2 + size)])
      pending = pending.subarray(at + 2 + size + 2)
      if (size === 0) finish('complete')
    }
  }

  const end = (how) => {
    isEnded = true
    finish(how)
  }
  socket.on('data', (chunk) => {
    pending = Buffer.concat([pending, chunk])
    parse()
  })
  socket.on('end', () => end('closed'))
  socket.on('error', (error) => end(error.code ?? 'error'))
  socket.on('close', () => end('closed'))

  const channel = {
    socket,
    isOpen: () => !isEnded && !socket.destroyed,
    /** Writes a request; resolves with its answer, whose `end` is `complete`, `closed`, an error code, or `timeout`. */
    send: ({ method = 'GET', path, headers = {}, body, timeoutMs = 20_000 }) => new Promise((resolve) => {
      const bytes = body === undefined ? Buffer.alloc(0) : Buffer.from(body)
      const lines = Object.entries({ Host: HOST, ...headers, ...(body === undefined ? {} : { 'Content-Length': bytes.length }) }).map(([name, value]) => `${name}: ${value}`)
      const timer = setTimeout(() => {
        finish('timeout')
        socket.destroy()
      }, timeoutMs)
      current = { answer: { sentAt: performance.now() }, done: (answer) => { clearTimeout(timer); resolve(answer) } }
      if (isEnded) return finish('closed')
      socket.write(Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`, 'latin1'), bytes]))
      parse()
    }),
    close: () => socket.destroy()
  }
  socket.once('connect', () => resolve(channel))
  socket.once('error', () => resolve(channel))
})
