/** Options of a cache that grows up to a number of entries. With `max`, it would allocate memory for all of them at the start. */
export const createLruOptions = (maximumEntries: number): { readonly maxSize: number, readonly sizeCalculation: () => number } =>
  ({ maxSize: maximumEntries, sizeCalculation: () => 1 })
