import { describe, expect, it } from 'vitest'
import { estimateLoad } from './index.js'

describe('estimateLoad', () => {
  it('takes new counts as they are', () =>
    expect(estimateLoad({ ownLoad: 1, othersLoad: 4, averageOthersLoad: 9, countSurvival: 1 })).toEqual({ expected: 5, deviation: 0 }))

  it('expects the average where counts are older than the requests', () =>
    expect(estimateLoad({ ownLoad: 1, othersLoad: 0, averageOthersLoad: 9, countSurvival: 0 })).toEqual({ expected: 10, deviation: 3 }))

  it('lies between both otherwise', () => {
    const { expected, deviation } = estimateLoad({ ownLoad: 0, othersLoad: 8, averageOthersLoad: 4, countSurvival: 0.5 })
    expect(expected).toBe(6)
    expect(deviation).toBe(2)
  })

  it('knows the requests of its own node exactly', () =>
    expect(estimateLoad({ ownLoad: 7, othersLoad: 0, averageOthersLoad: 0, countSurvival: 0.3 })).toEqual({ expected: 7, deviation: 0 }))
})
