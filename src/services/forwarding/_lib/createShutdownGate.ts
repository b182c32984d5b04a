/** Decides whether a node that is shutting down still sends or retries a request. */
import type { StreamDurations } from './createStreamDurations.js'
import type { TokenPace } from './createTokenPace.js'
import { estimateDuration, DEFAULT_TOKEN_INTERVAL_MS } from '../../../decisions/estimateDuration/index.js'
import { admitDuringShutdown } from '../../../decisions/admitDuringShutdown/index.js'
import type { Clock, GatewayRequest, GatewayRoute, LogFields } from '../../../types/index.js'

export type ShutdownGateDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly tokenPace: Pick<TokenPace, 'read'>
  readonly streamDurations: Pick<StreamDurations, 'shareOver'>
}

export type ShutdownGate = {
  /** Begins the shutdown: from now on only requests pass that are expected to end before `endsAt`, in monotonic milliseconds. `beganAt` is earlier than now where its signal was seen late. */
  readonly begin: (endsAt: number, beganAt?: number) => void
  /** Whether a request may be sent that takes at most `maximumMs` milliseconds; always true before the shutdown begins. */
  readonly passes: (route: GatewayRoute, request: GatewayRequest, maximumMs: number) => boolean
  /** Milliseconds since the shutdown began and until the node exits, for log lines; empty before. */
  readonly describe: () => LogFields
}

/** Creates the gate; it passes everything until `begin`. */
export const createShutdownGate = ({ clock, tokenPace, streamDurations }: ShutdownGateDependencies): ShutdownGate => {
  let shutdown: { readonly beganAt: number, readonly endsAt: number } | undefined

  /** Milliseconds per token at the slowest service to which the route may send. */
  const readTokenIntervalMs = (route: GatewayRoute): number =>
    Math.max(...route.targets.map(({ service }) => tokenPace.read(service) ?? DEFAULT_TOKEN_INTERVAL_MS))

  return {
    begin: (endsAt, beganAt = clock.now()) => { shutdown = { beganAt, endsAt } },
    passes: (route, request, maximumMs) => {
      if (shutdown === undefined) return true
      const now = clock.now()
      const remainingMs = shutdown.endsAt - now
      return admitDuringShutdown({
        untilExitMs: remainingMs,
        untilDeadlineMs: maximumMs,
        arrivedAfterMs: request.receivedAt - shutdown.beganAt,
        lateShare: route.retryPolicy === 'stream' ? streamDurations.shareOver(route.name, remainingMs, now) : undefined,
        estimatedDurationMs: estimateDuration({ route, outputTokens: request.tokens.output, tokenIntervalMs: readTokenIntervalMs(route) })
      })
    },
    describe: () => {
      if (shutdown === undefined) return {}
      const now = clock.now()
      return { shutdownMs: Math.round(now - shutdown.beganAt), untilExitMs: Math.round(shutdown.endsAt - now) }
    }
  }
}
