/** Reads the token usage that a model engine reports, without parsing the complete answer. */

export type TokenUsage = {
  readonly promptTokens: number
  /** Prompt tokens that were found in the model engine's prefix cache. */
  readonly cachedTokens: number
  readonly completionTokens: number
}

const PROMPT_TOKENS = /"prompt_tokens"\s*:\s*([0-9]{1,9})/
const CACHED_TOKENS = /"cached_tokens"\s*:\s*([0-9]{1,9})/
const COMPLETION_TOKENS = /"completion_tokens"\s*:\s*([0-9]{1,9})/

const readNumber = (pattern: RegExp, text: string): number | undefined => {
  const match = pattern.exec(text)
  return match === null ? undefined : Number(match[1])
}

export const readTokenUsage = (text: string): TokenUsage | undefined => {
  const promptTokens = readNumber(PROMPT_TOKENS, text)
  const completionTokens = readNumber(COMPLETION_TOKENS, text)
  if (promptTokens === undefined || completionTokens === undefined) return undefined
  return { promptTokens, completionTokens, cachedTokens: readNumber(CACHED_TOKENS, text) ?? 0 }
}
