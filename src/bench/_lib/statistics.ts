/** Arithmetic that the benchmarks share. */

/** Rounds a value for a table; two digits by default. */
export const round = (value: number, digits = 2): number => Number(value.toFixed(digits))

/** Arithmetic mean; 0 for an empty list. */
export const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
