/**
 * Compares two summaries of latencies: a logarithmic histogram and a t-digest.
 * Both record the same latencies spread over nodes and are then merged. Reports the
 * relative error at the quantiles that time-outs and reports need, the encoded size,
 * and the processor time per observation.
 */
import { createRequire } from 'node:module'
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { RandomSource } from '../../types/index.js'
import type { BenchOptions, Cell, Table } from '../types.js'

/** Types of the part of the t-digest library that is used here; the library ships none. */
type Centroid = { readonly mean: number, readonly n: number }
type Digest = {
  readonly push: (value: number) => void
  readonly push_centroid: (centroids: readonly Centroid[]) => void
  readonly percentile: (share: number) => number
  readonly compress: () => void
  readonly toArray: () => readonly Centroid[]
}
type DigestLibrary = { readonly TDigest: new () => Digest }

type Summary = {
  readonly observe: (value: number) => void
  readonly encode: () => Uint8Array
  readonly mergeEncoded: (bytes: Uint8Array) => void
  readonly read: (share: number) => number
}

type Mix = { readonly name: string, readonly draw: (random: RandomSource) => number }

const NODES = 9
const FULL_SAMPLES = 200_000
const FAST_SAMPLES = 40_000
const QUANTILES = [0.5, 0.9, 0.99, 0.999]
const MAXIMUM_LATENCY_MS = 600_000
const SIGNIFICANT_DIGITS = 2
const SCALE = 10
const DOUBLE_BYTES = 8

const { TDigest } = createRequire(import.meta.url)('tdigest') as DigestLibrary

const drawExponential = (random: RandomSource, mean: number): number => -Math.log(1 - random.next()) * mean

const drawNormal = (random: RandomSource): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())

const mixes: readonly Mix[] = [
  {
    // First tokens: cache hits are fast, misses wait for their prefill, and a few requests wait in a queue.
    name: 'first tokens',
    draw: (random) => {
      const kind = random.next()
      if (kind < 0.85) return 18 + drawExponential(random, 8)
      return kind < 0.98 ? 60 + drawExponential(random, 60) : 400 + drawExponential(random, 900)
    }
  },
  { name: 'heavy tail', draw: (random) => Math.min(MAXIMUM_LATENCY_MS, 5 * (1 - random.next()) ** (-1 / 1.1)) },
  // I.i.d. samples over many orders of magnitude, as in section 4 of the paper that compares quantile summaries.
  { name: 'highly non-uniform', draw: (random) => Math.min(MAXIMUM_LATENCY_MS, Math.max(0.1, Math.exp(4 * drawNormal(random)))) }
]

const createHistogramSummary = (): Summary => {
  const histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAXIMUM_LATENCY_MS * SCALE, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  return {
    observe: (value) => histogram.recordValue(Math.max(1, Math.round(value * SCALE))),
    encode: () => Buffer.from(encodeIntoCompressedBase64(histogram), 'base64'),
    mergeEncoded: (bytes) => { histogram.add(decodeFromCompressedBase64(Buffer.from(bytes).toString('base64'))) },
    read: (share) => histogram.getValueAtPercentile(share * 100) / SCALE
  }
}

const encodeCentroids = (centroids: readonly Centroid[]): Uint8Array =>
  new Uint8Array(Float64Array.from(centroids.flatMap(({ mean, n }) => [mean, n])).buffer)

const decodeCentroids = (bytes: Uint8Array): readonly Centroid[] => {
  const numbers = new Float64Array(bytes.buffer, bytes.byteOffset, bytes.byteLength / DOUBLE_BYTES)
  return Array.from({ length: numbers.length / 2 }, (_, index) => ({ mean: numbers[2 * index]!, n: numbers[2 * index + 1]! }))
}

const createDigestSummary = (): Summary => {
  const digest = new TDigest()
  return {
    observe: (value) => digest.push(value),
    encode: () => {
      digest.compress()
      return encodeCentroids(digest.toArray())
    },
    mergeEncoded: (bytes) => digest.push_centroid(decodeCentroids(bytes)),
    read: (share) => digest.percentile(share)
  }
}

const summaries: Readonly<Record<string, () => Summary>> = {
  'logarithmic histogram (hdr-histogram-js, 2 digits)': createHistogramSummary,
  't-digest (tdigest)': createDigestSummary
}

const findQuantile = (sorted: Float64Array, share: number): number => sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? NaN

const formatError = (found: number, exact: number): string => `${(Math.abs(found - exact) / exact * 100).toFixed(2)} %`

const measureSummary = (name: string, create: () => Summary, values: Float64Array, sorted: Float64Array): readonly Cell[] => {
  const nodes = Array.from({ length: NODES }, create)
  const startedAt = process.cpuUsage()
  values.forEach((value, index) => nodes[index % NODES]!.observe(value))
  const spent = process.cpuUsage(startedAt)
  const encoded = nodes.map((node) => node.encode())
  const merged = create()
  for (const bytes of encoded) merged.mergeEncoded(bytes)
  const errors = QUANTILES.map((share) => formatError(merged.read(share), findQuantile(sorted, share)))
  const bytes = encoded.reduce((sum, { length }) => sum + length, 0) / NODES
  return [name, ...errors, Math.round(bytes), ((spent.user + spent.system) * 1000 / values.length).toFixed(0)]
}

const measureMix = (mix: Mix, samples: number, seed: number): Table => {
  const random = createSeededRandom(seed)
  const values = Float64Array.from({ length: samples }, () => mix.draw(random))
  const sorted = values.toSorted()
  return {
    title: `Quantiles of ${mix.name}: ${samples} values over ${NODES} nodes, merged`,
    columns: ['summary', ...QUANTILES.map((share) => `error at ${share}`), 'bytes a node', 'CPU ns an observation'],
    rows: Object.entries(summaries).map(([name, create]) => measureSummary(name, create, values, sorted))
  }
}

/**
 * Compares the two summaries on the system's own mix of latencies, on a heavy-tailed
 * mix, and on the one that the paper on quantile summaries calls highly non-uniform.
 *
 * @param options - Seed, and whether to run the fast setting.
 * @returns One table per mix.
 */
export const runQuantilesBench = async (options: BenchOptions): Promise<readonly Table[]> =>
  mixes.map((mix) => measureMix(mix, options.fast ? FAST_SAMPLES : FULL_SAMPLES, options.seed))
