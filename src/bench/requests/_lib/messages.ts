/** What the processes of the requests bench tell each other. */

export type LoadOrder = {
  readonly port: number
  readonly path: string
  readonly body: string
  readonly concurrency: number
  readonly requests: number
  /** How a whole answer ends. */
  readonly ending: string
}

export type LoadResult = { readonly whole: number, readonly elapsedMs: number }

export const BENCH_KEY = 'sk-bench'
export const BENCH_MODEL = 'bench'
export const EVENTS_A_STREAM = 200
export const EVENT_INTERVAL_MS = 20
export const END_MARKER = 'data: [DONE]\n\n'
export const PLAIN_ANSWER = '{"quantity":7}'
