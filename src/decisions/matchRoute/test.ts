import { describe, expect, it } from 'vitest'
import type { Route } from '../../types/index.js'
import { matchRoute, type PathRoute } from './index.js'

const createPathRoute = (prefix: string): PathRoute => {
  const route: Route = { name: prefix, service: 's', path: prefix, repeatable: true, backendIdempotent: false, deadlineSeconds: 1, priority: 'interactive' }
  return { prefix, route }
}

const ROUTES = ['/shop', '/shop/orders', '/stock'].map(createPathRoute)

describe('matchRoute', () => {
  it.each([
    ['/shop', '/shop'],
    ['/shop/', '/shop'],
    ['/shop/ordersX', '/shop'],
    ['/shop/orders', '/shop/orders'],
    ['/shop/orders/7', '/shop/orders'],
    ['/SHOP/Orders', '/shop/orders'],
    ['/shopping', undefined],
    ['/', undefined]
  ])('matches %s to route %s', (path, name) => {
    expect(matchRoute(ROUTES, path)?.name).toBe(name)
  })

  it('matches every path with the empty prefix', () => {
    expect(matchRoute([createPathRoute('')], '/any')?.name).toBe('')
  })
})
