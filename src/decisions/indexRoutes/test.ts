import { expect, test } from 'vitest'
import { indexRoutes } from './index.js'

test('indexRoutes returns an empty index for no routes', () => expect(indexRoutes([]).size).toBe(0))
