/** Records when a starting process reaches each step, and how much processor time it has used by then. */
import type { StartStep, StartTimeline } from '../../types/index.js'

const MILLISECONDS_PER_SECOND = 1_000
const MICROSECONDS_PER_MILLISECOND = 1_000

const readCpuMs = (): number => {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}

/**
 * Creates the timeline of this process, which begins with the process itself.
 *
 * @returns The timeline; it records the first mark of each step.
 *
 * @example
 * const timeline = createStartTimeline()
 * timeline.mark('loaded')
 * timeline.fields() // => { loadedMs: 61, loadedCpuMs: 38 }
 */
export const createStartTimeline = (): StartTimeline => {
  const steps = new Map<StartStep, { readonly ms: number, readonly cpuMs: number }>()
  return {
    mark: (step) => {
      if (!steps.has(step)) steps.set(step, { ms: process.uptime() * MILLISECONDS_PER_SECOND, cpuMs: readCpuMs() })
    },
    fields: () => Object.fromEntries([...steps].flatMap(([step, { ms, cpuMs }]) => [[`${step}Ms`, Math.round(ms)], [`${step}CpuMs`, Math.round(cpuMs)]]))
  }
}
