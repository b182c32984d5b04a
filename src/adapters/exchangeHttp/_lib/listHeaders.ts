/** Lists the headers of an answer. */
import type { HeaderList } from '../../../types/index.js'

/** Pairs raw names and values, which come in turn. */
export const listHeaders = (raw: readonly Buffer[]): HeaderList => {
  const headers: [string, string][] = []
  for (let index = 0; index + 1 < raw.length; index += 2) headers.push([raw[index]!.toString('latin1'), raw[index + 1]!.toString('latin1')])
  return headers
}
