/** Exit codes of the commands; docs/OPERATING.md lists them. */
export const exitCodes = {
  success: 0,
  failure: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
  outcomeUnknown: 5,
  notInForce: 6
} as const
