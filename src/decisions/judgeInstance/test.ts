import { describe, expect, test } from 'vitest'
import { judgeInstance } from './index.js'
import type { InstanceStanding } from './index.js'

const createStanding = (changes: Partial<InstanceStanding> = {}): InstanceStanding => ({ region: 'north', isZoneDrained: false, isAtWarmUpRate: false, ...changes })

describe('judgeInstance', () => {
  test('accepts a server without restrictions', () => expect(judgeInstance(createStanding(), [])).toBe('open'))
  test('rejects a server in a drained zone', () => expect(judgeInstance(createStanding({ isZoneDrained: true }), [])).toBe('zoneDrained'))
  test('rejects a server that has reached its warm-up rate', () => expect(judgeInstance(createStanding({ isAtWarmUpRate: true }), [])).toBe('warmingUp'))
  test.each([
    ['an empty list allows all regions', [[]], 'open'],
    ['its region is allowed', [['south', 'north']], 'open'],
    ['only another region is allowed', [['south']], 'regionNotAllowed'],
    ['one of two lists does not contain its region', [['north'], ['south']], 'regionNotAllowed'],
    ['both lists contain its region', [['north'], ['north', 'south']], 'open']
  ] as const)('when %s', (_name, allowed, verdict) => expect(judgeInstance(createStanding(), allowed)).toBe(verdict))
  // A zone that is missing in the settings may be in any region.
  test('rejects a server of unknown region when regions are restricted', () => expect(judgeInstance(createStanding({ region: undefined }), [['north']])).toBe('regionNotAllowed'))
})
