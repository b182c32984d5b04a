/**
 * Groups values by key, keeping their order within each group. Node.js 20 has no
 * `Map.groupBy`.
 *
 * @param values - The values.
 * @param toKey - Returns the key of a value's group.
 * @returns The groups by key, in the order of their first values.
 *
 * @example
 * groupBy([1, 2, 3], (value) => value % 2) // => Map { 1 => [1, 3], 0 => [2] }
 */
export const groupBy = <Value, Key>(values: Iterable<Value>, toKey: (value: Value) => Key): ReadonlyMap<Key, readonly Value[]> => {
  const groups = new Map<Key, Value[]>()
  for (const value of values) {
    const group = groups.get(toKey(value))
    if (group === undefined) groups.set(toKey(value), [value])
    else group.push(value)
  }
  return groups
}
