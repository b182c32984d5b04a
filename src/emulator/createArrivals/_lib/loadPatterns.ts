/** Kinds of request, client accounts and load patterns of a model service under hard load. */

export type RequestKind = {
  readonly name: string
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number
  /** Share of all requests, from 0 to 1. */
  readonly share: number
  /** Median sizes in tokens; they are distributed lognormally. */
  readonly promptTokens: number
  readonly answerTokens: number
  /** Standard deviation of the logarithm of both sizes. */
  readonly spread: number
  /** Target for the first event, in milliseconds: an engine with a full batch meets it, one with a queue does not. */
  readonly latencyTargetMs: number
  readonly timeoutMs: number
}

export const requestKinds: readonly RequestKind[] = [
  { name: 'reply', priority: 1, share: 0.6, promptTokens: 400, answerTokens: 60, spread: 0.4, latencyTargetMs: 1_000, timeoutMs: 8_000 },
  { name: 'digest', priority: 4, share: 0.25, promptTokens: 4_000, answerTokens: 40, spread: 0.5, latencyTargetMs: 2_500, timeoutMs: 15_000 },
  { name: 'draft', priority: 7, share: 0.15, promptTokens: 300, answerTokens: 350, spread: 0.5, latencyTargetMs: 3_000, timeoutMs: 40_000 }
]

export type CallerAccount = {
  readonly name: string
  /** Share of all requests, relative to the sum over all accounts. */
  readonly weight: number
}

export const callerAccounts: readonly CallerAccount[] = [
  { name: 'large-1', weight: 8 },
  { name: 'large-2', weight: 5 },
  { name: 'small-1', weight: 1 },
  { name: 'small-2', weight: 1 },
  { name: 'small-3', weight: 1 },
  { name: 'small-4', weight: 1 }
]

/** What differs from a steady load, from `trouble.fromMs` to `trouble.toMs` of the arrivals. */
export type LoadPattern = {
  readonly kindSurge?: { readonly kind: string, readonly factor: number }
  readonly accountSurge?: { readonly account: string, readonly factor: number }
  /** Share of the callers that repeat a refused request at once, and how often. */
  readonly repeating?: { readonly share: number, readonly times: number }
  /** Share of the callers that leave before the first token, after this multiple of its target. */
  readonly leaving?: { readonly share: number, readonly targetMultiple: number }
  /** Share of the backend servers that end without notice. */
  readonly lostShare?: number
  /** Factor on the prompts of the kind with the longest ones. */
  readonly promptFactor?: number
}

export const loadPatterns = {
  steady: {},
  longestKindBurst: { kindSurge: { kind: 'draft', factor: 3 } },
  accountBurst: { accountSurge: { account: 'small-1', factor: 10 } },
  repeatsAtOnce: { repeating: { share: 1 / 3, times: 3 } },
  callersLeave: { leaving: { share: 1 / 3, targetMultiple: 0.6 } },
  quarterLost: { lostShare: 0.25 },
  promptsFillMemory: { promptFactor: 4 }
} as const satisfies Readonly<Record<string, LoadPattern>>

export type LoadPatternName = keyof typeof loadPatterns
