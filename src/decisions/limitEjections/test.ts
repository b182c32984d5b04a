import { describe, expect, it } from 'vitest'
import { limitEjections } from './index.js'
import type { EjectionCandidate } from './index.js'

type Health = 'well' | 'failing' | 'unreachable'

const createCandidates = (healths: readonly Health[]): readonly EjectionCandidate[] => healths.map((health, index) => ({
  backendServer: `engine-${index}`, slots: 8, isEjected: health !== 'well', isUnreachable: health === 'unreachable', since: index
}))

describe('limitEjections', () => {
  it.each<{ healths: readonly Health[], out: readonly string[] }>([
    { healths: [], out: [] },
    { healths: ['well', 'well'], out: [] },
    { healths: ['failing', 'well'], out: ['engine-0'] },
    { healths: ['failing', 'failing'], out: ['engine-0'] },
    { healths: ['failing'], out: [] },
    { healths: ['failing', 'failing', 'failing', 'failing'], out: ['engine-0', 'engine-1'] },
    { healths: ['unreachable', 'unreachable', 'well'], out: ['engine-0', 'engine-1'] },
    { healths: ['unreachable', 'failing', 'failing'], out: ['engine-0', 'engine-1'] },
    { healths: ['unreachable', 'failing'], out: ['engine-0'] },
    { healths: ['unreachable', 'unreachable'], out: [] }
  ])('ejects $out of $healths', ({ healths, out }) => {
    expect([...limitEjections(createCandidates(healths), 0.5)].sort()).toEqual(out)
  })
})
