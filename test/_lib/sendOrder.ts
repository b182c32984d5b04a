/** Sends orders and stock lookups as a caller and checks their outcomes against the journals of the services. */
import { CALLER_KEY } from './startFleet.js'
import type { Fleet, JournalEntry } from './startFleet.js'

export type CallerResult =
  | { readonly kind: 'answered', readonly status: number, readonly body: string }
  | { readonly kind: 'refused', readonly outcome: string, readonly reason: string, readonly status: number }
  /** The connection broke, or no answer arrived within the time-out. */
  | { readonly kind: 'cut' }

export type OrderResult = { readonly key: string, readonly requestId: string | undefined, readonly end: CallerResult }

const CALLER_TIMEOUT_MS = 40_000

type RefusalBody = { readonly error?: { readonly outcome?: string, readonly code?: string } }

const readResult = async (response: Response): Promise<CallerResult> => {
  const body = await response.text()
  const outcome = response.headers.get('x-request-outcome')
  if (outcome === null) return { kind: 'answered', status: response.status, body }
  const { error } = JSON.parse(body) as RefusalBody
  return { kind: 'refused', outcome, reason: String(error?.code), status: response.status }
}

const send = async (key: string, url: string, init: RequestInit): Promise<OrderResult> => {
  try {
    const response = await fetch(url, { ...init, signal: AbortSignal.timeout(CALLER_TIMEOUT_MS) })
    return { key, requestId: response.headers.get('x-request-id') ?? undefined, end: await readResult(response) }
  } catch {
    return { key, requestId: undefined, end: { kind: 'cut' } }
  }
}

/**
 * Sends one order and waits for its outcome.
 *
 * @param caller - Origin of a router.
 * @param key - Idempotency key; the body is derived from it.
 * @returns The result that the caller received.
 */
export const sendOrder = (caller: string, key: string): Promise<OrderResult> => send(key, `${caller}/orders/${key}`, {
  method: 'POST',
  headers: { authorization: `Bearer ${CALLER_KEY}`, 'idempotency-key': key, 'content-type': 'text/plain' },
  body: `pasta for ${key}`
})

/**
 * Sends one stock lookup, which may be retried, and waits for its outcome.
 *
 * @param caller - Origin of a router.
 * @param name - Name of the article that is looked up.
 * @returns The result that the caller received.
 */
export const sendLookup = (caller: string, name: string): Promise<OrderResult> =>
  send(`lookup ${name}`, `${caller}/stock/${name}`, { headers: { authorization: `Bearer ${CALLER_KEY}` } })

const isCompleteJson = (body: string): boolean => {
  try {
    JSON.parse(body)
    return true
  } catch {
    return false
  }
}

/** Lists double runs, false refusals and wrong answers, by comparing what callers received with the journals of what ran. */
export const findOrderProblems = (ends: readonly OrderResult[], journal: readonly JournalEntry[]): readonly string[] => {
  const runs = new Map<string, number>()
  for (const { idempotencyKey } of journal) if (idempotencyKey !== undefined) runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1)
  const ranRequests = new Set(journal.map(({ requestId }) => requestId))
  const doubleRuns = [...runs].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times instead of once`)
  const falseRefusals = ends
    .filter(({ requestId, end }) => end.kind === 'refused' && end.outcome === 'not-run' && requestId !== undefined && ranRequests.has(requestId))
    .map(({ key }) => `${key} was refused as not run, but the journal has the request`)
  const answers = ends.filter(({ end }) => end.kind === 'answered' && end.status < 300)
  const falseAnswers = answers
    .filter(({ key, requestId }) => !runs.has(key) && (requestId === undefined || !ranRequests.has(requestId)))
    .map(({ key }) => `${key} was answered, but no journal has the request`)
  const foreignAnswers = answers
    .filter(({ key, end }) => end.kind === 'answered' && !end.body.includes(key.replace('lookup ', '')))
    .map(({ key }) => `${key} got the answer of another request`)
  const truncated = answers
    .filter(({ end }) => end.kind === 'answered' && !isCompleteJson(end.body))
    .map(({ key }) => `${key} got a truncated answer marked as complete`)
  return [...doubleRuns, ...falseRefusals, ...falseAnswers, ...foreignAnswers, ...truncated]
}

/** Lists the given routers whose ledger of accepted requests does not add up. */
export const findLedgerProblems = async (routers: Fleet['routers']): Promise<readonly string[]> => {
  const problems: string[] = []
  for (const router of routers) {
    const { ledger } = await router.readStatus()
    const accounted = ledger.complete + ledger.refused + ledger.unknown + ledger.open
    if (ledger.accepted !== accounted) problems.push(`${router.nodeId}: ${JSON.stringify(ledger)}`)
  }
  return problems
}
