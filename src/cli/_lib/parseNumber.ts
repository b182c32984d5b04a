/** Parsers of numeric flags; an invalid value is a usage error that names the accepted range. */
import { InvalidArgumentError } from 'commander'

const MAXIMUM_PORT = 65_535

const createNumberParser = (isAccepted: (value: number) => boolean, expected: string) => (text: string): number => {
  const value = Number(text)
  if (text.trim() === '' || !isAccepted(value)) throw new InvalidArgumentError(`${expected} is needed`)
  return value
}

export const parsePositiveInteger = createNumberParser((value) => Number.isInteger(value) && value >= 1, 'a whole number above 0')

export const parsePositiveNumber = createNumberParser((value) => Number.isFinite(value) && value > 0, 'a number above 0')

export const parseNonNegativeNumber = createNumberParser((value) => Number.isFinite(value) && value >= 0, 'a number from 0')

export const parsePort = createNumberParser((value) => Number.isInteger(value) && value >= 0 && value <= MAXIMUM_PORT, `a whole number from 0 to ${MAXIMUM_PORT}`)
