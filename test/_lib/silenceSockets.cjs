/**
 * Loaded into a daemon by tests: makes its open outgoing connections silent for good, without a reset, while new ones
 * work. SIGUSR2 does so for connections to peers, SIGWINCH for those to backend servers and the store.
 */
'use strict'
const net = require('node:net')

/** A peer is dialled with its host and port alone; HTTP clients give more options. */
const PEER_OPTIONS = 2

const open = { SIGUSR2: new Set(), SIGWINCH: new Set() }

const silence = (socket) => {
  socket.push = () => true
  socket._write = (_chunk, _encoding, done) => { done() }
  socket._writev = (_chunks, done) => { done() }
}

const { connect } = net
net.connect = (...words) => {
  const socket = connect(...words)
  const kind = Object.keys(words[0] ?? {}).length === PEER_OPTIONS ? open.SIGUSR2 : open.SIGWINCH
  socket.once('connect', () => kind.add(socket))
  socket.once('close', () => kind.delete(socket))
  return socket
}

for (const [signal, sockets] of Object.entries(open)) {
  process.on(signal, () => {
    for (const socket of sockets) silence(socket)
    process.stdout.write(`${JSON.stringify({ message: 'connections silenced', signal, count: sockets.size })}\n`)
  })
}
