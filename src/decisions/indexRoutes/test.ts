import { expect, test } from 'vitest'
import { indexRoutes } from './index.js'

test('indexRoutes keeps nothing of no routes', () => expect(indexRoutes([]).size).toBe(0))
