import { expect, test } from 'vitest'
import { isStreamToResume } from './index.js'

test.each([['stream', true, true], ['stream', false, false], ['safe', true, false]] as const)('streams of a "%s" route, resumable: %s', (retryPolicy, isResumable, expected) => {
  expect(isStreamToResume({ retryPolicy, isResumable })).toBe(expected)
})
