/** Tells the routes whose streams a caller may take up again from all others. */
import type { GatewayRoute } from '../../types/index.js'

/**
 * Whether callers may take up streams of the route.
 *
 * @param route - The route.
 * @returns Whether it is one of streams that may be resumed.
 *
 * @example
 * isStreamToResume({ retryPolicy: 'safe', isResumable: false }) // => false
 */
export const isStreamToResume = ({ retryPolicy, isResumable }: Pick<GatewayRoute, 'retryPolicy' | 'isResumable'>): boolean => retryPolicy === 'stream' && isResumable
