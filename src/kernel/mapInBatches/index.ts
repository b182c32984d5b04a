/**
 * Maps items by an asynchronous function, a few at a time.
 *
 * @param items - What to map.
 * @param batchSize - How many calls run at once.
 * @param map - The function; a rejection ends the whole mapping.
 * @returns The values in the order of the items.
 *
 * @example
 * await mapInBatches([1, 2, 3], 2, async (value) => value * 2) // => [2, 4, 6]
 */
export const mapInBatches = async <Item, Value>(items: readonly Item[], batchSize: number, map: (item: Item) => Promise<Value>): Promise<readonly Value[]> => {
  const values: Value[] = []
  for (let start = 0; start < items.length; start += batchSize) {
    values.push(...await Promise.all(items.slice(start, start + batchSize).map(map)))
  }
  return values
}
