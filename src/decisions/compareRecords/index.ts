/**
 * Computes the difference between two configurations for a peer that holds the
 * earlier one. Unchanged records are recognised by object identity, so that in a
 * burst of versions with hundreds of routes the cost depends mainly on what changed.
 */
import type { ConfigurationRecords, RecordChange, RecordStep } from '../../types/index.js'

const compareSection = (base: readonly unknown[], next: readonly unknown[]): readonly RecordStep[] => {
  const indexes = new Map(base.map((record, index) => [record, index]))
  const steps: RecordStep[] = []
  let from = 0
  let count = 0
  let added: unknown[] = []

  const flushRun = (): void => {
    if (count > 0) steps.push({ from, count })
    count = 0
  }

  const flushAdded = (): void => {
    if (added.length > 0) steps.push({ records: added })
    added = []
  }

  const extendRun = (index: number): void => {
    flushAdded()
    if (index !== from + count) flushRun()
    if (count === 0) from = index
    count += 1
  }

  for (const record of next) {
    const index = indexes.get(record)
    if (index !== undefined) {
      extendRun(index)
      continue
    }
    flushRun()
    added.push(record)
  }
  flushRun()
  flushAdded()
  return steps
}

/**
 * Compares the records of two configurations.
 *
 * @param base - Records of the earlier one.
 * @param next - Records of the later one; unchanged ones are the same objects.
 * @returns The edit steps by section; their size is proportional to the change.
 *
 * @example
 * compareRecords({ routes: [a, b] }, { routes: [a, c] }) // => { routes: [{ from: 0, count: 1 }, { records: [c] }] }
 */
export const compareRecords = (base: ConfigurationRecords, next: ConfigurationRecords): RecordChange =>
  Object.fromEntries(Object.entries(next).map(([section, records]) => [section, compareSection(base[section] ?? [], records)]))
