import { describe, expect, test } from 'vitest'
import { selectGatewayRoute } from './index.js'
import { indexRoutes } from '../indexRoutes/index.js'
import type { GatewayRoute } from '../../types/index.js'

const createRoute = (name: string, host: string, pathPrefix: string): GatewayRoute => ({
  name, host, pathPrefix, targets: [{ service: 's', weight: 1 }], retryPolicy: 'safe', isResumable: false, timeoutMs: 1_000, latencyTargetMs: 300, eventGapTargetMs: 300, maximumAttempts: 1, priority: 0, isPublic: false
})

const index = indexRoutes([createRoute('root', 'shop.example', '/'), createRoute('chat', 'shop.example', '/chat/'), createRoute('deep', 'shop.example', '/chat/deep/'), createRoute('other', 'desk.example', '/chat/')])

const select = (host: string, target: string): string | undefined => selectGatewayRoute(index, host, target)?.name

describe('selectGatewayRoute', () => {
  test('selects the longest prefix', () => expect(select('shop.example', '/chat/deep/1')).toBe('deep'))
  test('selects only routes of the host', () => expect(select('desk.example', '/chat/deep/1')).toBe('other'))
  test('ignores the port and the case of the host', () => expect(select('SHOP.example:8080', '/chat/1')).toBe('chat'))
  test('ignores the query', () => expect(select('desk.example', '/x?/chat/')).toBeUndefined())
  test('requires the trailing slash of the prefix', () => expect(select('desk.example', '/chat')).toBeUndefined())
  test('finds nothing for an unknown host', () => expect(select('none.example', '/chat/1')).toBeUndefined())
})
