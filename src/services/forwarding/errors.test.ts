/** Tests that an unexpected error ends one request, and neither the process nor the other requests. */
import { describe, expect, test } from 'vitest'
import { STREAM_HEAD, startForwardingNode, type ThrowingPart } from '../../../test/_lib/startForwardingNode.js'

type Node = ReturnType<typeof startForwardingNode>

const start = (): Node => {
  const node = startForwardingNode()
  node.provideInitialState()
  return node
}

/** Begins a stream at its server, if it is sent; each step calls the node as a connection does. */
const beginStream = (node: Node): void => {
  node.call('r1', '/stream/1')
  const exchange = node.exchanges.at(-1)
  exchange?.onSent()
  exchange?.onHead(STREAM_HEAD)
  exchange?.onData(Buffer.from('id: 1\ndata: x\n\n'))
}

describe('an error in the handling of a request', () => {
  // Nothing stood between one request and the process: all of its requests were lost with it.
  test.each<[ThrowingPart, readonly string[]]>([
    ['choice', ['503 internalError']],
    ['head', ['502 internalError']],
    ['bytes', ['502 internalError']]
  ])('ends this request alone (%s)', (part, answers) => {
    const node = start()
    node.state.throwsAt = part
    beginStream(node)
    expect([node.answers, node.countOpen(), node.state.contained]).toEqual([answers, 0, 1])
  })

  test('in the timer ends the request that it concerns, and the timer goes on for the others', async () => {
    const node = start()
    beginStream(node)
    node.state.throwsAt = 'timer'
    await node.clock.advanceAndSettle(50)
    node.state.throwsAt = undefined
    expect([node.answers, node.countOpen(), node.state.contained]).toEqual([['broken off'], 0, 1])
    node.call('r2', '/short/1')
    await node.clock.advanceAndSettle(6_000)
    expect([node.answers.at(-1), node.countOpen()]).toEqual(['503 deadlineBeforeSend', 0])
  })

  test('in a send is a failure to reach that server', () => {
    const node = start()
    node.state.throwsAt = 'send'
    for (const id of ['r1', 'r2', 'r3']) node.call(id, '/short/1')
    expect([new Set(node.targets).size, node.sent, node.answers]).toEqual([1, ['r1', 'r2', 'r3'], []])
    expect(node.state.contained).toBeGreaterThan(0)
  })

  test('in the final answer leaves no request behind', () => {
    const node = start()
    node.state.throwsAt = 'answer'
    node.call('r1', '/nowhere/1')
    expect([node.answers, node.countOpen()]).toEqual([[], 0])
  })
})
