/**
 * Remembers for a short time which callers were refused, to recognise those that return before their Retry-After. A
 * caller is identified by its client account, route, path and the unique last part of its prompt: callers
 * of one account that send the same request on the same path can't be told apart.
 */
import type { Clock, GatewayAccount, GatewayRequest, GatewayRoute } from '../../../types/index.js'

export type RefusedCallers = {
  /** Records that the caller was asked to wait. */
  readonly record: (caller: RefusedCaller, retryAfterMs: number) => void
  /** Whether the caller returns before its Retry-After has passed. */
  readonly isEarly: (caller: RefusedCaller) => boolean
}

export type RefusedCaller = {
  readonly request: Pick<GatewayRequest, 'target' | 'promptParts'>
  readonly route: Pick<GatewayRoute, 'name'>
  readonly account: Pick<GatewayAccount, 'name'> | undefined
}

/** Beyond this the oldest refusals are forgotten: a caller that is not recognised only keeps its place among the others. */
const MAXIMUM_REMEMBERED = 1_024
/** A caller's timer and its way to the node may differ by this much from the node's clock, in milliseconds. */
const TOLERANCE_MS = 20

const formatKey = ({ request, route, account }: RefusedCaller): string =>
  JSON.stringify([account?.name, route.name, request.target, request.promptParts.at(-1)?.id])

/** Creates an empty memory. */
export const createRefusedCallers = (clock: Pick<Clock, 'now'>): RefusedCallers => {
  const waitsUntil = new Map<string, number>()

  const removeOldest = (): void => {
    for (const [key, until] of waitsUntil) {
      if (waitsUntil.size <= MAXIMUM_REMEMBERED && until > clock.now()) return
      waitsUntil.delete(key)
    }
  }

  return {
    record: (caller, retryAfterMs) => {
      const key = formatKey(caller)
      waitsUntil.delete(key)
      waitsUntil.set(key, clock.now() + retryAfterMs)
      removeOldest()
    },
    isEarly: (caller) => clock.now() + TOLERANCE_MS < (waitsUntil.get(formatKey(caller)) ?? -Infinity)
  }
}
