/** Tests answers that a server in trouble begins while the body of the request is still on its way, and answers without a valid status. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createExchangeHttp } from './index.js'
import { createSystemClock } from '../systemClock/index.js'
import type { InstanceAnswer } from '../../types/index.js'

/** More than the buffers of the kernel take on loopback, so that a server that does not read keeps it on its way. */
const LONG_UPLOAD = new Uint8Array(16_000_000)
const SHORT_UPLOAD = new Uint8Array(10)

const FRAMINGS = {
  'without a length': { head: 'HTTP/1.1 200 OK\r\n\r\n', part: 'part' },
  'that closes, without a length': { head: 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', part: 'part' },
  'in chunks': { head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', part: '4\r\npart\r\n' },
  'with a length': { head: 'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n', part: 'part' },
  'that is a stream': { head: 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n', part: 'id: 1\ndata: x\n\n' }
} as const

type Framing = (typeof FRAMINGS)[keyof typeof FRAMINGS]

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** How the answer is written until the reset. */
const COURSES: Readonly<Record<string, (socket: Socket, framing: Framing) => Promise<void> | void>> = {
  'right behind the head': (socket, { head }) => { socket.write(head) },
  'right behind a part': (socket, { head, part }) => { socket.write(head + part) },
  'a while after a part': async (socket, { head, part }) => {
    socket.write(head + part)
    await pause(20)
  },
  'after small parts': async (socket, { head, part }) => {
    socket.write(head)
    for (let written = 0; written < 3; written++) {
      await pause(2)
      socket.write(part)
    }
  }
}

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

/** Sends a request to a server that handles each connection as given; resolves with what the client told of the exchange. */
const exchangeWith = async (handle: (socket: Socket) => void, body: Uint8Array, method = 'POST'): Promise<string> => {
  const server = createServer((socket) => {
    closing.push(() => socket.destroy())
    socket.on('error', () => {})
    handle(socket)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const errors: string[] = []
  const client = createExchangeHttp({ clock: createSystemClock(), connectTimeoutMs: 2_000, decodeAnswer: (status) => ({ status }) as InstanceAnswer, reportError: (_subject, event) => { errors.push(event) } })
  closing.push(() => { server.close() }, client.close)
  const outcome = await new Promise<string>((resolve) => {
    client.send({ key: 'k', address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port }, method, target: '/', headers: ['Host', 'a'], body }, { maySend: () => true, onSent: () => {}, onHead: ({ status }) => { if (status !== 200) resolve(`head ${status}`) }, onData: () => {}, onEnd: () => resolve('complete'), onFailure: ({ kind }) => resolve(kind) })
  })
  return [outcome, ...errors].join(' ')
}

const UPLOADS = { 'a long upload': LONG_UPLOAD, 'a short upload': SHORT_UPLOAD } as const

describe.each(Object.keys(FRAMINGS) as (keyof typeof FRAMINGS)[])('an early answer %s', (framing) => {
  // Guards against a part of an answer that passes for the whole, where its connection is reset while the request is still being written.
  test.each(Object.keys(COURSES).flatMap((course) => (Object.keys(UPLOADS) as (keyof typeof UPLOADS)[]).flatMap((upload) => [true, false].map((isRead) => [course, upload, isRead ? 'read' : 'not read'] as const))))('that is reset %s is broken (%s that is %s)', async (course, upload, reading) => {
    const outcome = await exchangeWith((socket) => {
      if (reading === 'not read') socket.pause()
      const begin = async (): Promise<void> => {
        await COURSES[course]!(socket, FRAMINGS[framing])
        socket.resetAndDestroy()
      }
      // The head of the request is enough for a server in trouble; one that does not read can't know when it came.
      if (reading === 'read') socket.once('data', begin)
      else setTimeout(begin, 20)
    }, UPLOADS[upload])
    expect(outcome).toBe('broken')
  })
})

describe('an answer that its server ends in order', () => {
  const ANSWER = 'HTTP/1.1 200 OK\r\n\r\nwhole'

  // Guards against the same where the server closes without reading: its end arrives first, and the reset follows the bytes that it did not take.
  test('is broken without a length while the request is still being written', async () => {
    const outcomes: string[] = []
    for (let round = 0; round < 20; round++) {
      outcomes.push(await exchangeWith((socket) => {
        socket.pause()
        setTimeout(() => socket.end(ANSWER, () => { setTimeout(() => socket.resetAndDestroy(), round) }), 20)
      }, LONG_UPLOAD))
    }
    expect([...new Set(outcomes)]).toEqual(['broken'])
  })

  test('is whole once the request is written', async () => {
    expect(await exchangeWith((socket) => {
      let received = 0
      socket.on('data', (bytes) => {
        received += bytes.length
        if (received > LONG_UPLOAD.length) socket.end(ANSWER)
      })
    }, LONG_UPLOAD)).toBe('complete')
  })

  test('is whole with a length although the request is still being written', async () => {
    expect(await exchangeWith((socket) => {
      socket.pause()
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'), 20)
    }, LONG_UPLOAD)).toBe('complete')
  })
})

describe('an answer whose status is none of the protocol', () => {
  // Guards against a status that no caller can read, passed on as an answer.
  test.each(['000', '001', '099', '600', '999'])('is broken (%s)', async (status) => {
    const answer = `HTTP/1.1 ${status} Trouble\r\nContent-Length: 2\r\n\r\nok`
    const outcomes = await Promise.all(['POST', 'HEAD'].map((method) => exchangeWith((socket) => { socket.on('data', () => { socket.write(answer) }) }, method === 'POST' ? SHORT_UPLOAD : new Uint8Array(), method)))
    expect(outcomes.map((outcome) => outcome.split(' ')[0])).toEqual(['broken', 'broken'])
  })
})
