/** A prompt directory that knows the given cached tokens by instance key, whatever the prompt, and records nothing. */
import type { PromptDirectory } from '../../src/services/promptDirectory/index.js'

export const createFakeDirectory = (cachedTokens: ReadonlyMap<string, number> = new Map()): PromptDirectory => ({
  record: () => {},
  beginRead: () => ({ complete: () => {}, abandon: () => {} }),
  listCachedTokens: () => cachedTokens,
  listCopyableTokens: () => cachedTokens,
  onRecovered: () => {}
})
