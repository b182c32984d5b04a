/**
 * Maps items with an asynchronous function, one batch at a time.
 *
 * @param items - The items to map.
 * @param batchSize - Number of calls that run at once.
 * @param map - The function; a rejection rejects the returned promise.
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
