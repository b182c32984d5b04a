/** Applies a configuration change, as computed by `compareRecords`, to the records of an earlier configuration. */
import type { ConfigurationRecords, RecordChange, RecordStep } from '../../types/index.js'

const resolveStep = (base: readonly unknown[], step: RecordStep): readonly unknown[] | undefined => {
  if ('records' in step) return step.records
  if (step.from < 0) return undefined
  const records = base.slice(step.from, step.from + step.count)
  return records.length === step.count ? records : undefined
}

/**
 * Applies a change to records.
 *
 * @param base - Records of the configuration that the change is based on.
 * @param change - By section, the steps that build its new records: runs of `base`, and new records.
 * @returns The new records, or `undefined` when a step refers to records that are not in `base`.
 *
 * @example
 * patchRecords({ routes: [a, b] }, { routes: [{ from: 0, count: 1 }, { records: [c] }] }) // => { routes: [a, c] }
 */
export const patchRecords = (base: ConfigurationRecords, change: RecordChange): ConfigurationRecords | undefined => {
  const patched: Record<string, readonly unknown[]> = {}
  for (const [section, steps] of Object.entries(change)) {
    const parts = steps.map((step) => resolveStep(base[section] ?? [], step))
    const resolved = parts.filter((part) => part !== undefined)
    if (resolved.length < parts.length) return undefined
    patched[section] = ([] as unknown[]).concat(...resolved)
  }
  return patched
}
