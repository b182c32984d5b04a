/** Options of a cache that grows up to a number of entries. With `max` it would take the memory of all of them at the start. */
export const growTo = (maximumEntries: number): { readonly maxSize: number, readonly sizeCalculation: () => number } =>
  ({ maxSize: maximumEntries, sizeCalculation: () => 1 })
