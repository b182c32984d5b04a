import { describe, expect, test } from 'vitest'
import { checkInstanceEligibility } from './index.js'
import type { InstanceStatus } from './index.js'

const createStatus = (changes: Partial<InstanceStatus> = {}): InstanceStatus => ({ region: 'north', isZoneDrained: false, isBackingOff: false, isAtWarmUpRate: false, isAtRefusalLimit: false, ...changes })

describe('checkInstanceEligibility', () => {
  test('accepts a server without restrictions', () => expect(checkInstanceEligibility(createStatus(), [])).toBe('open'))
  test('rejects a server in a drained zone', () => expect(checkInstanceEligibility(createStatus({ isZoneDrained: true }), [])).toBe('zoneDrained'))
  test('rejects a server in backoff', () => expect(checkInstanceEligibility(createStatus({ isBackingOff: true, isAtWarmUpRate: true }), [])).toBe('backingOff'))
  test('rejects a server that has reached its warm-up rate', () => expect(checkInstanceEligibility(createStatus({ isAtWarmUpRate: true }), [])).toBe('warmingUp'))
  test('rejects a server whose refusals are used up', () => expect(checkInstanceEligibility(createStatus({ isAtRefusalLimit: true }), [])).toBe('serviceFull'))
  test.each([
    ['an empty list allows all regions', [[]], 'open'],
    ['its region is allowed', [['south', 'north']], 'open'],
    ['only another region is allowed', [['south']], 'regionNotAllowed'],
    ['one of two lists does not contain its region', [['north'], ['south']], 'regionNotAllowed'],
    ['both lists contain its region', [['north'], ['north', 'south']], 'open']
  ] as const)('when %s', (_name, allowed, eligibility) => expect(checkInstanceEligibility(createStatus(), allowed)).toBe(eligibility))
  // A zone that is missing in the settings may be in any region.
  test('rejects a server of unknown region when regions are restricted', () => expect(checkInstanceEligibility(createStatus({ region: undefined }), [['north']])).toBe('regionNotAllowed'))
})
