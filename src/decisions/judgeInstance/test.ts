import { describe, expect, test } from 'vitest'
import { judgeInstance } from './index.js'
import type { InstanceStanding } from './index.js'

const createStanding = (changes: Partial<InstanceStanding> = {}): InstanceStanding => ({ region: 'north', isZoneDrained: false, isAtWarmUpRate: false, ...changes })

describe('judgeInstance', () => {
  test('lets a server that nothing bars have the request', () => expect(judgeInstance(createStanding(), [])).toBe('open'))
  test('bars the servers of a drained zone', () => expect(judgeInstance(createStanding({ isZoneDrained: true }), [])).toBe('zoneDrained'))
  test('bars a warming server at its rate', () => expect(judgeInstance(createStanding({ isAtWarmUpRate: true }), [])).toBe('warmingUp'))
  test.each([
    ['an empty list binds nothing', [[]], 'open'],
    ['its own region is allowed', [['south', 'north']], 'open'],
    ['another region is allowed', [['south']], 'regionNotAllowed'],
    ['one of two lists leaves its region out', [['north'], ['south']], 'regionNotAllowed'],
    ['both lists name its region', [['north'], ['north', 'south']], 'open']
  ] as const)('when %s', (_name, allowed, verdict) => expect(judgeInstance(createStanding(), allowed)).toBe(verdict))
  // A zone that the settings don't name may lie anywhere.
  test('bars a server of unknown region from a request that is bound', () => expect(judgeInstance(createStanding({ region: undefined }), [['north']])).toBe('regionNotAllowed'))
})
