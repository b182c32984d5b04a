/** Lists the parts of a prompt that other requests may have too: all but the last one, which belongs to the request or its chat. */
import type { PromptPart } from '../../types/index.js'

/**
 * Lists the shared parts of a prompt.
 *
 * @param promptParts - All parts, in order.
 * @returns The parts without the last one.
 *
 * @example
 * listSharedParts([{ id: 'a', tokens: 800 }, { id: 'b', tokens: 40 }]) // => [{ id: 'a', tokens: 800 }]
 */
export const listSharedParts = (promptParts: readonly PromptPart[]): readonly PromptPart[] => promptParts.slice(0, -1)
