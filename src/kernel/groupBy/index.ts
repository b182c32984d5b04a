/**
 * Sorts values into groups, keeping their order within each. Node 20 lacks
 * `Map.groupBy`.
 *
 * @param values - The values.
 * @param toKey - Gives the key of a value's group.
 * @returns The groups by key, in the order in which their first values stand.
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
