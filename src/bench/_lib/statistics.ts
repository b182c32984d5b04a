/** Small sums that the measurements share. */

/** Rounds for a table; two digits by default. */
export const round = (value: number, digits = 2): number => Number(value.toFixed(digits))

/** The arithmetic mean; 0 of nothing. */
export const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
