/** Estimates the work of a request, by which shares of client accounts are counted. */
import type { GatewayRequest } from '../../types/index.js'

/** Work of a request to a service whose requests do not differ by what is known of them. */
const PLAIN_REQUEST_WORK = 1

/**
 * Estimates the work in tokens: the prompt and the expected answer. A caller's estimate
 * counts only as far as it is below the limit that it has set itself.
 *
 * @param request - Tokens of the request.
 * @param isModelService - Whether its service runs model engines.
 * @returns The work in tokens; 1 for a request to another service.
 *
 * @example
 * estimateWork({ tokens: { prompt: 100, output: 50 }, estimatedOutputTokens: 20 }, true) // => 120
 */
export const estimateWork = ({ tokens, estimatedOutputTokens }: Pick<GatewayRequest, 'tokens' | 'estimatedOutputTokens'>, isModelService: boolean): number =>
  isModelService ? Math.max(PLAIN_REQUEST_WORK, tokens.prompt + Math.min(tokens.output, estimatedOutputTokens ?? tokens.output)) : PLAIN_REQUEST_WORK
