import { describe, expect, it } from 'vitest'
import { normalizePath } from './index.js'

describe('normalizePath', () => {
  it.each([
    ['/', '/', ''],
    ['/orders?x=/../y', '/orders', '?x=/../y'],
    ['/%6frders/%7Ea', '/orders/~a', ''],
    ['/a%20b%c3%a9', '/a%20b%C3%A9', ''],
    ['/..a/b..', '/..a/b..', ''],
    ['/a%252e%252e/b', '/a%252e%252e/b', '']
  ])('normalises %s', (target, path, query) => {
    expect(normalizePath(target)).toEqual({ ok: true, value: { path, query } })
  })

  // If the router and the backend server interpreted a path differently, a caller could run a request
  // that must not be retried under the rules of a route whose requests may be retried.
  it.each([
    [''], ['orders'], ['*'], ['http://other/orders'], ['//other/orders'], ['/a//b'], ['/a/../orders'], ['/a/./b'], ['/a/..'],
    ['/a/%2e%2e/orders'], ['/a/.%2E/orders'], ['/a%2forders'], ['/a%5corders'], ['/a\\orders'], ['/orders;x=1'], ['/a/..;/orders'],
    ['/orders%3bx'], ['/orders%00'], ['/orders%'], ['/orders%zz'], ['/orders#x'], ['/orders?x#y'], ['/orders x'], ['/ordé'], ['/\u0000'],
    [`/${'a'.repeat(9_000)}`]
  ])('refuses %s', (target) => {
    expect(normalizePath(target).ok).toBe(false)
  })
})
