/** Collects the metrics of one placement simulation. */
import { build } from 'hdr-histogram-js'
import type { JobUsage } from '../../../emulator/createModelEngine/index.js'
import type { Clock } from '../../../types/index.js'

export type PlacementMetrics = {
  readonly turns: number
  readonly refused: number
  /** Share of the prompt tokens of returning turns that were in the cache. */
  readonly returningHitShare: number
  readonly hitShare: number
  /** 99th percentile and maximum of the ratio of highest to mean load over the samples. */
  readonly skew99: number
  readonly maximumSkew: number
  /** Share of samples in which at least one engine was above the limit, which is rounded up to a whole request. */
  readonly shareAboveLimit: number
  /** Share of placements that raised an engine above the limit. */
  readonly placementsAboveLimit: number
  readonly meanLoad: number
  readonly firstTokenMedianMs: number
  readonly firstToken95Ms: number
  readonly controlBytesPerSecond: number
  readonly maximumControlBytesPerSecond: number
}

export type Measurement = {
  readonly observePlacement: (loads: readonly number[], chosenLoad: number) => void
  readonly observeFirstToken: (durationMs: number, isReturning: boolean, usage: JobUsage) => void
  readonly sampleLoads: (loads: readonly number[]) => void
  readonly countRefused: () => void
  readonly recordControlBytes: (bytesPerSecond: readonly number[]) => void
  readonly read: () => PlacementMetrics
}

/** Below this mean load, rounding dominates the ratio, so samples are not meaningful for skew. */
const MINIMUM_MEAN_LOAD = 2
const RATIO_SCALE = 1000

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0)

const isAboveLimit = (load: number, loads: readonly number[], limit: number): boolean =>
  load > Math.ceil(limit * sum(loads) / loads.length)

/**
 * Creates an empty measurement.
 *
 * @param clock - Clock of the simulation.
 * @param options - The load limit, and the time in milliseconds from which events are counted.
 * @returns The measurement.
 */
export const createMeasurement = (clock: Clock, options: { readonly loadLimit: number, readonly from: number }): Measurement => {
  const firstTokens = build()
  const skews = build()
  const totals = { turns: 0, refused: 0, prompt: 0, cached: 0, returningPrompt: 0, returningCached: 0, samples: 0, above: 0, placements: 0, placementsAbove: 0, load: 0 }
  let controlBytes: readonly number[] = [0]
  const isMeasuring = (): boolean => clock.now() >= options.from

  return {
    observePlacement: (loads, chosenLoad) => {
      if (!isMeasuring()) return
      totals.placements += 1
      if (isAboveLimit(chosenLoad, loads, options.loadLimit)) totals.placementsAbove += 1
    },
    observeFirstToken: (durationMs, isReturning, usage) => {
      if (!isMeasuring()) return
      totals.turns += 1
      firstTokens.recordValue(Math.round(durationMs))
      totals.prompt += usage.promptTokens
      totals.cached += usage.cachedTokens
      if (!isReturning) return
      totals.returningPrompt += usage.promptTokens
      totals.returningCached += usage.cachedTokens
    },
    sampleLoads: (loads) => {
      const mean = sum(loads) / loads.length
      if (!isMeasuring() || mean < MINIMUM_MEAN_LOAD) return
      const highest = Math.max(...loads)
      totals.samples += 1
      totals.load += mean
      skews.recordValue(Math.round(highest / mean * RATIO_SCALE))
      if (isAboveLimit(highest, loads, options.loadLimit)) totals.above += 1
    },
    countRefused: () => { if (isMeasuring()) totals.refused += 1 },
    recordControlBytes: (bytesPerSecond) => { controlBytes = bytesPerSecond },
    read: () => ({
      turns: totals.turns,
      refused: totals.refused,
      returningHitShare: totals.returningCached / totals.returningPrompt,
      hitShare: totals.cached / totals.prompt,
      skew99: skews.getValueAtPercentile(99) / RATIO_SCALE,
      maximumSkew: skews.maxValue / RATIO_SCALE,
      shareAboveLimit: totals.above / totals.samples,
      placementsAboveLimit: totals.placementsAbove / totals.placements,
      meanLoad: totals.load / totals.samples,
      firstTokenMedianMs: firstTokens.getValueAtPercentile(50),
      firstToken95Ms: firstTokens.getValueAtPercentile(95),
      controlBytesPerSecond: sum(controlBytes) / controlBytes.length,
      maximumControlBytesPerSecond: Math.max(...controlBytes)
    })
  }
}
