import { describe, expect, test } from 'vitest'
import { selectSendPath, type SendPathInput } from './index.js'

const select = (changes: Partial<SendPathInput>) =>
  selectSendPath({ direct: 'usable', hasPeer: true, isRelayed: false, failedConnects: 0, unheardMs: 0, ...changes })

describe('selectSendPath', () => {
  test('sends directly while a server responds', () => {
    expect(select({})).toBe('direct')
  })

  test('goes on directly when one connection fails and other servers respond', () => {
    expect(select({ failedConnects: 1, unheardMs: 20 })).toBe('direct')
  })

  test('takes a peer when a connection fails and nothing arrives from any server', () => {
    expect(select({ failedConnects: 1, unheardMs: 1_000 })).toBe('peer')
  })

  test.each(['suspended', 'unreached'] as const)('takes a peer when all servers are %s', (direct) => {
    expect(select({ direct })).toBe('peer')
  })

  test('tries suspended servers as a last resort when no peer is left', () => {
    expect(select({ direct: 'suspended', hasPeer: false })).toBe('direct')
    expect(select({ direct: 'unreached', hasPeer: false })).toBe('none')
  })

  // Guards against holding a caller at a node that can't serve it until its deadline.
  test('refuses after two such tries', () => {
    expect(select({ direct: 'suspended', hasPeer: false, failedConnects: 1 })).toBe('direct')
    expect(select({ direct: 'suspended', hasPeer: false, failedConnects: 2 })).toBe('none')
  })

  // A drain, a backoff or a region binds every node: a peer must not be a way round it.
  test('takes no peer for a request that no server may get', () => {
    expect(select({ direct: 'none' })).toBe('none')
  })

  // Guards against requests that go round between nodes that are all cut off.
  test.each(['suspended', 'unreached'] as const)('refuses a relayed request when its servers are %s', (direct) => {
    expect(select({ direct, isRelayed: true })).toBe('none')
    expect(select({ isRelayed: true, failedConnects: 1, unheardMs: 5_000 })).toBe('direct')
  })
})
