/** A backend server in a process of its own, as lean as can be: it sends its port to the parent. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { END_MARKER, EVENT_INTERVAL_MS, EVENTS_A_STREAM, PLAIN_ANSWER } from './messages.js'

const formatEvent = (id: number): string => {
  const chunk = { id: 'c', object: 'chat.completion.chunk', created: 0, model: 'bench', choices: [{ index: 0, delta: { content: ` word ${id}` }, finish_reason: null }] }
  return `id: ${id}\ndata: ${JSON.stringify(chunk)}\n\n`
}

const answerStream = (requestId: string, response: ServerResponse): void => {
  let sent = 0
  response.writeHead(200, { 'x-request-id': requestId, 'content-type': 'text/event-stream' })
  const timer = setInterval(() => {
    sent += 1
    if (sent <= EVENTS_A_STREAM) {
      response.write(formatEvent(sent))
      return
    }
    clearInterval(timer)
    response.end(`id: ${sent}\n${END_MARKER}`)
  }, EVENT_INTERVAL_MS)
  response.on('close', () => clearInterval(timer))
}

const answer = (request: IncomingMessage, response: ServerResponse): void => {
  const requestId = String(request.headers['x-request-id'])
  if (request.url?.startsWith('/v1/') === true) {
    answerStream(requestId, response)
    return
  }
  response.writeHead(200, { 'x-request-id': requestId, 'content-type': 'application/json', 'content-length': PLAIN_ANSWER.length })
  response.end(PLAIN_ANSWER)
}

const server = createServer((request, response) => {
  request.resume()
  request.on('end', () => answer(request, response))
})

server.listen(0, '127.0.0.1', () => process.send?.((server.address() as AddressInfo).port))
process.on('disconnect', () => process.exit())
