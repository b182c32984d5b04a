/** Options of an LRU cache that grows on demand up to a number of entries; `max` would allocate memory for all entries at once. */
export const createLruOptions = (maximumEntries: number): { readonly maxSize: number, readonly sizeCalculation: () => number } =>
  ({ maxSize: maximumEntries, sizeCalculation: () => 1 })
