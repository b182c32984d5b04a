/** Reads the prompt, answer and urgency of a request, whether it has text or only sizes. */
import { composeAnswer, hashPrefixes, type ChatMessage, type ComposedAnswer } from '../../composeAnswer/index.js'
import { countTokens } from '../../countTokens/index.js'
import type { PromptPart, RequestPriority } from '../../../types/index.js'
import type { EngineJob, EngineRequest } from './createJob.js'

const DEFAULT_URGENCIES: Readonly<Record<RequestPriority, number>> = { interactive: 0, overnight: 9 }

export const readUrgency = ({ urgency, priority }: EngineRequest): number => urgency ?? DEFAULT_URGENCIES[priority]

const toParts = (messages: readonly ChatMessage[]): readonly PromptPart[] =>
  hashPrefixes(messages).map((id, index) => ({ id, tokens: countTokens(messages[index]!.content) }))

export const listPromptParts = ({ messages, sizes }: EngineRequest): readonly PromptPart[] => sizes?.promptParts ?? toParts(messages)

/** The part that the answer adds to the prompt of a further turn; none where there is no text. */
export const listAnswerParts = ({ request, answer }: EngineJob): readonly PromptPart[] =>
  request.sizes === undefined ? toParts([...request.messages, { role: 'assistant', content: answer.text }]).slice(-1) : []

export const composeAnswerOf = ({ messages, maximumTokens, sizes }: EngineRequest): ComposedAnswer => sizes === undefined
  ? composeAnswer(messages, maximumTokens)
  : { text: '', tokens: Array<string>(sizes.answerTokens).fill(''), finishReason: 'stop' }
