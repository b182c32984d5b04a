/**
 * Runs a backend server on a bare TCP listener, so that a test can break an
 * answer at any byte. Each request runs the next step of a script.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net'

export type RawRequest = {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

export type RawStep = (socket: Socket, request: RawRequest) => void

export type RawBackend = {
  readonly url: string
  /** Requests whose headers and body arrived completely. */
  readonly requests: readonly RawRequest[]
  readonly close: () => Promise<void>
}

const HEADER_END = '\r\n\r\n'

const parseRequest = (text: string): { readonly request: RawRequest, readonly size: number } | undefined => {
  const headerEnd = text.indexOf(HEADER_END)
  if (headerEnd < 0) return undefined
  const [requestLine = '', ...lines] = text.slice(0, headerEnd).split('\r\n')
  const [method = '', path = ''] = requestLine.split(' ')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const size = headerEnd + HEADER_END.length + Number(headers['content-length'] ?? 0)
  if (text.length < size) return undefined
  return { request: { method, path, headers, body: text.slice(headerEnd + HEADER_END.length, size) }, size }
}

/** Starts the server; the last step also handles all later requests. */
export const createRawBackend = async (...steps: readonly RawStep[]): Promise<RawBackend> => {
  const requests: RawRequest[] = []
  const sockets = new Set<Socket>()

  const serve = (socket: Socket): void => {
    let text = ''
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    socket.setEncoding('latin1')
    socket.on('data', (chunk) => {
      text += String(chunk)
      for (let parsed = parseRequest(text); parsed !== undefined; parsed = parseRequest(text)) {
        text = text.slice(parsed.size)
        const step = steps[Math.min(requests.length, steps.length - 1)]
        requests.push(parsed.request)
        step?.(socket, parsed.request)
      }
    })
  }

  const server = createServer(serve)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>((resolve) => { server.close(() => resolve()) })
    }
  }
}

/** Returns an origin whose port no process listens on. */
export const findClosedOrigin = async (): Promise<string> => {
  const backend = await createRawBackend()
  await backend.close()
  return backend.url
}

export const resetConnection: RawStep = (socket) => { socket.resetAndDestroy() }

export const neverAnswer: RawStep = () => {}

const formatHead = (request: RawRequest, status: number, headers: Readonly<Record<string, string>>): string => {
  const all = { 'x-request-id': request.headers['x-request-id'] ?? '', ...headers }
  return [`HTTP/1.1 ${status} Answer`, ...Object.entries(all).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

const formatChunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`

/** Sends a complete answer with its content-length. */
export const answerCompletely = (body: string, headers: Readonly<Record<string, string>> = {}, status = 200): RawStep => (socket, request) => {
  socket.write(formatHead(request, status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), ...headers }) + body)
}

/** Writes the text as given and closes the connection before the answer is complete. */
export const answerThenClose = (headers: Readonly<Record<string, string>>, body: string): RawStep => (socket, request) => {
  socket.end(formatHead(request, 200, headers) + body)
}

export const closeInHeaders: RawStep = (socket) => { socket.end('HTTP/1.1 200 Answer\r\ncontent-ty') }

export const refuseWith = (reason: string): RawStep => answerCompletely('{}', { 'x-not-run': reason }, 503)

export const formatEvent = (id: number, text: string): string =>
  `id: ${id}\ndata: ${JSON.stringify({ id: 'c', object: 'chat.completion.chunk', created: 1, model: 'm', choices: [{ index: 0, delta: { content: text }, finish_reason: null }] })}\n\n`

export const END_EVENT = 'data: [DONE]\n\n'

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' }

/** Sends events in a chunked body that ends with the last chunk. */
export const answerEvents = (events: readonly string[], headers: Readonly<Record<string, string>> = {}): RawStep => (socket, request) => {
  socket.write(formatHead(request, 200, { ...STREAM_HEADERS, ...headers }) + events.map(formatChunk).join('') + '0\r\n\r\n')
}

/** Sends events in a chunked body and closes the connection before the last chunk. */
export const answerEventsThenClose = (events: readonly string[]): RawStep => (socket, request) => {
  socket.end(formatHead(request, 200, STREAM_HEADERS) + events.map(formatChunk).join(''))
}

/** Sends events in a chunked body and leaves the connection open. */
export const answerEventsThenWait = (events: readonly string[]): RawStep => (socket, request) => {
  socket.write(formatHead(request, 200, STREAM_HEADERS) + events.map(formatChunk).join(''))
}
