/** Parsers of numeric flags; an invalid value is a usage error that names the accepted range. */
import { InvalidArgumentError } from 'commander'

const HIGHEST_PORT = 65_535

const createParser = (isAccepted: (value: number) => boolean, needed: string) => (text: string): number => {
  const value = Number(text)
  if (text.trim() === '' || !isAccepted(value)) throw new InvalidArgumentError(`${needed} is needed`)
  return value
}

export const parseWhole = createParser((value) => Number.isInteger(value) && value >= 1, 'a whole number above 0')

export const parsePositive = createParser((value) => Number.isFinite(value) && value > 0, 'a number above 0')

export const parseFromZero = createParser((value) => Number.isFinite(value) && value >= 0, 'a number from 0')

export const parsePort = createParser((value) => Number.isInteger(value) && value >= 0 && value <= HIGHEST_PORT, `a whole number from 0 to ${HIGHEST_PORT}`)
