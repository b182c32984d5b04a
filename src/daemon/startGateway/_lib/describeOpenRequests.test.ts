import { describe, expect, test } from 'vitest'
import { describeOpenRequests } from './describeOpenRequests.js'
import type { OpenRequest } from '../../../types/index.js'

const createOpenRequest = (index: number, changes: Partial<OpenRequest> = {}): OpenRequest =>
  ({ requestId: `r${index}`, route: 'chat', receivedAt: index, target: undefined, lastBytesAt: undefined, ...changes })

describe('describeOpenRequests', () => {
  test('tells where each request runs, and since when nothing came from there', () => {
    const requests = [createOpenRequest(1), createOpenRequest(2, { target: 'engine-1', lastBytesAt: 700 })]
    expect(describeOpenRequests(requests, 1_000)).toEqual({ open: 2, requests: 'r1 age=999, r2 age=998 at=engine-1 silent=300' })
  })

  test('names only the oldest of many, so that the line stays short', () => {
    const requests = Array.from({ length: 500 }, (_, index) => createOpenRequest(index))
    const { open, requests: named } = describeOpenRequests(requests, 1_000)
    expect(open).toBe(500)
    expect(String(named).split(', ')).toHaveLength(32)
    expect(String(named)).toContain('r31 ')
  })
})
