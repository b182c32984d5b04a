import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import { afterTurn } from './index.js'

test('runs after what had arrived before the call was read', async () => {
  const received: string[] = []
  const server = createServer((socket) => { socket.on('data', (chunk) => received.push(chunk.toString())) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  await new Promise<void>((resolve) => { server.once('connection', () => resolve()) })
  socket.write('sent before the call')
  await new Promise<void>(afterTurn)
  expect(received).toEqual(['sent before the call'])
  socket.destroy()
  server.close()
})
