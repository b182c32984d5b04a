import { createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createExchangeHttp } from './index.js'
import { createSystemClock } from '../systemClock/index.js'
import type { InstanceAnswer } from '../../types/index.js'

const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
const HEADS: Readonly<Record<string, string>> = {
  length: 'HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n',
  chunked: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
  closing: 'HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\r\n\r\n',
  informed: 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
  empty: 'HTTP/1.1 204 No Content\r\n\r\n',
  unchanged: 'HTTP/1.1 304 Not Modified\r\nETag: "a"\r\n\r\n'
}

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

const ENDINGS: readonly ((socket: Socket, head: string) => void)[] = [
  (socket, head) => { socket.end(head) },
  (socket, head) => { socket.write(head, () => { socket.resetAndDestroy() }) },
  (socket, head) => {
    socket.write(head.slice(0, head.length / 2))
    setTimeout(() => socket.end(head.slice(head.length / 2)), 2)
  }
]

// A head that is cut short must never pass for an answer: its caller would get an empty or short body as a whole one.
test.each(Object.keys(HEADS))('a head that is cut at any byte is no answer (%s)', async (kind) => {
  const head = HEADS[kind]!
  const server = createServer((socket) => {
    closing.push(() => socket.destroy())
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      const [, cut, ending] = /\/(\d+)\/(\d) /.exec(bytes.toString()) ?? []
      if (cut === undefined) socket.write(WHOLE)
      else ENDINGS[Number(ending)]!(socket, head.slice(0, Number(cut)))
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = createExchangeHttp({ clock: createSystemClock(), connectTimeoutMs: 2_000, decodeAnswer: (status) => ({ status }) as InstanceAnswer })
  closing.push(() => { server.close() }, client.close)
  const { port } = server.address() as AddressInfo
  const send = (key: string, method: string, target: string): Promise<string> => new Promise((resolve) => {
    let answer = ''
    client.send({ key, address: { host: '127.0.0.1', port }, method, target, headers: ['Host', 'a'], body: new Uint8Array() }, { maySend: () => true, onSent: () => {}, onHead: ({ status }) => { answer = `head ${status} ` }, onData: () => {}, onEnd: () => resolve(`${answer}end`), onFailure: (failure) => resolve(answer + failure.kind) })
  })
  const outcomes: string[] = []
  for (let cut = 0; cut < head.length; cut++) {
    outcomes.push(...await Promise.all(ENDINGS.flatMap((_, ending) => ['GET', 'HEAD'].map(async (method) => {
      const key = `${ending}${method}`
      const isKept = cut % 2 === 0 && method === 'GET'
      if (isKept && await send(key, method, '/') !== 'head 200 end') return 'no whole answer before'
      return await send(key, method, `/${cut}/${ending}`)
    }))))
  }
  expect([...new Set(outcomes)]).toEqual(['broken'])
})
