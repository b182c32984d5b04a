/**
 * Estimates the work that a model engine has before it: prompt tokens that it has still to
 * read, and the memory that its running requests leave free. Load pattern: a burst at
 * engines with cold caches, where a few long prompts keep an engine busy for most of a
 * second while its number of requests still looks small.
 */

/** A prompt that was sent to the engine and whose answer has not begun. */
export type UnreadPrompt = {
  /** Tokens that were not known to be cached. */
  readonly tokens: number
  /** Tokens that the engine had still to read when the prompt was sent. */
  readonly tokensBefore: number
  /** Monotonic milliseconds. */
  readonly sentAt: number
}

/** Memory of a running request, in tokens: its own part of the prompt, and the output by the caller's estimate and at most. */
export type RequestMemory = { readonly promptTokens: number, readonly expectedOutputTokens: number, readonly maximumOutputTokens: number }

export type ServerWorkState = {
  readonly unreadPrompts: Iterable<UnreadPrompt>
  /** Unread tokens of other nodes, and when this was known; omitted when nothing is known. */
  readonly others?: { readonly tokens: number, readonly at: number } | undefined
  readonly memories: Iterable<RequestMemory>
  /** Requests in flight from other nodes, whose memory is not known. */
  readonly otherRequests: number
  /** Mean memory of recent requests, which stands for those of other nodes. */
  readonly meanRequest: RequestMemory
  readonly memoryTokens: number
  /** Milliseconds per prompt token, as observed; `undefined` before the first observation. */
  readonly readingMsPerToken: number | undefined
}

export type ServerWorkEstimate = {
  readonly unreadTokens: number
  /** Free memory in tokens, by the callers' estimates of their output. */
  readonly memoryFreeTokens: number
  /** Free memory in tokens if every output reaches its maximum. */
  readonly memoryFreeAtMaximumTokens: number
  /** Memory of the mean request by its estimate: the least that is read again when a running request is pre-empted. */
  readonly meanRequestTokens: number
}

/** A statement about unread tokens is dropped after this time, whatever the pace: the event that ends it was lost. */
export const MAXIMUM_READING_MS = 5_000

const countRead = (elapsedMs: number, readingMsPerToken: number | undefined): number => {
  if (elapsedMs >= MAXIMUM_READING_MS) return Infinity
  return readingMsPerToken === undefined ? 0 : elapsedMs / readingMsPerToken
}

/** An engine reads prompts in the order of their arrival. */
const countUnread = ({ tokens, tokensBefore, sentAt }: UnreadPrompt, now: number, readingMsPerToken: number | undefined): number =>
  Math.min(tokens, Math.max(0, tokensBefore + tokens - countRead(now - sentAt, readingMsPerToken)))

/**
 * Sums the tokens of this node's prompts that the engine has still to read.
 *
 * @param prompts - Prompts whose answers have not begun.
 * @param now - Monotonic milliseconds.
 * @param readingMsPerToken - Observed pace in milliseconds per token; without one, a prompt counts in full until it is dropped.
 * @returns Tokens.
 *
 * @example
 * sumUnreadTokens([{ tokens: 9_000, tokensBefore: 0, sentAt: 0 }], 100, 0.025) // => 5_000
 */
export const sumUnreadTokens = (prompts: Iterable<UnreadPrompt>, now: number, readingMsPerToken: number | undefined): number => {
  let sum = 0
  for (const prompt of prompts) sum += countUnread(prompt, now, readingMsPerToken)
  return sum
}

/** The engine reads the prompts of all nodes by turns, so that those of others get their share of what it has read since. */
const sumOthersUnread = ({ others, readingMsPerToken }: ServerWorkState, ownTokens: number, now: number): number => {
  if (others === undefined || others.tokens <= 0) return 0
  const share = others.tokens / (others.tokens + ownTokens)
  return Math.max(0, others.tokens - share * countRead(now - others.at, readingMsPerToken))
}

/**
 * Estimates the work of an engine.
 *
 * @param state - What this node and its peers have sent there, and the engine's memory.
 * @param now - Monotonic milliseconds.
 * @returns Unread and free tokens; free ones are negative when the requests need more than there is.
 *
 * @example
 * estimateServerWork({ ...state, unreadPrompts: [{ tokens: 9_000, tokensBefore: 0, sentAt: now }] }, now).unreadTokens // => 9_000
 */
export const estimateServerWork = (state: ServerWorkState, now: number): ServerWorkEstimate => {
  const { meanRequest, otherRequests, memoryTokens } = state
  const ownUnread = sumUnreadTokens(state.unreadPrompts, now, state.readingMsPerToken)
  const meanRequestTokens = meanRequest.promptTokens + meanRequest.expectedOutputTokens
  let expected = otherRequests * meanRequestTokens
  let maximum = otherRequests * (meanRequest.promptTokens + meanRequest.maximumOutputTokens)
  for (const { promptTokens, expectedOutputTokens, maximumOutputTokens } of state.memories) {
    expected += promptTokens + expectedOutputTokens
    maximum += promptTokens + maximumOutputTokens
  }
  return {
    unreadTokens: ownUnread + sumOthersUnread(state, ownUnread, now),
    memoryFreeTokens: memoryTokens - expected,
    memoryFreeAtMaximumTokens: memoryTokens - maximum,
    meanRequestTokens
  }
}

/**
 * Estimates the time until an engine sends the first token of a request.
 *
 * @param tokens - Tokens to be read until then, the request's own missing ones included.
 * @param readingMsPerToken - Observed pace; `undefined` before the first observation.
 * @param slowdown - How long work takes there, as a multiple of the usual time.
 * @returns Milliseconds, or `undefined` without a pace.
 *
 * @example
 * estimateFirstTokenMs(9_000, 0.025, 2) // => 450
 */
export const estimateFirstTokenMs = (tokens: number, readingMsPerToken: number | undefined, slowdown: number): number | undefined =>
  readingMsPerToken === undefined ? undefined : tokens * readingMsPerToken * slowdown
