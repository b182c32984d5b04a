/** Checks an answer that was read to its end: complete, refused, broken, or the answer to another request. */
import { z } from 'zod'
import { composeAnswer } from '../../../emulator/composeAnswer/index.js'
import { lookUpStock } from '../../../emulator/createPlainServiceServer/index.js'
import type { PlannedRequest } from '../../planLoad/index.js'
import type { LoadOutcome } from '../index.js'
import { parseJson, readRefusal, readUsage, type ReceivedAnswer } from './createAnswerReader.js'

export type AnswerCheck = {
  readonly outcome: LoadOutcome
  readonly reason?: string
  readonly promptTokens?: number
  readonly cachedTokens?: number
  readonly completionTokens?: number
}

type PlannedOf<Kind extends PlannedRequest['kind']> = Extract<PlannedRequest, { readonly kind: Kind }>

const completionSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })).min(1),
  usage: z.unknown()
})
const stockSchema = z.object({ path: z.string(), quantity: z.number() })
const orderSchema = z.object({ received: z.string() })

const COMPLETE: AnswerCheck = { outcome: 'complete' }

const broken = (reason: string): AnswerCheck => ({ outcome: 'broken', reason })

const evaluateMatch = (isOwn: boolean): AnswerCheck => isOwn ? COMPLETE : { outcome: 'wrong', reason: 'the answer is not the one to this request' }

const composeExpectedContent = ({ messages, maximumTokens }: PlannedOf<'chat' | 'overnight'>): string => composeAnswer(messages, maximumTokens).text

const checkStream = (planned: PlannedOf<'chat' | 'overnight'>, read: ReceivedAnswer): AnswerCheck =>
  read.hasEndMarker ? evaluateMatch(read.content === composeExpectedContent(planned)) : broken('no end marker')

const checkCompletion = (planned: PlannedOf<'chat' | 'overnight'>, read: ReceivedAnswer): AnswerCheck => {
  const answer = completionSchema.safeParse(parseJson(read.body))
  if (!answer.success) return broken('not a whole answer')
  return { ...evaluateMatch(answer.data.choices[0]!.message.content === composeExpectedContent(planned)), ...readUsage(answer.data.usage) }
}

const checkStock = (planned: PlannedOf<'lookup'>, read: ReceivedAnswer): AnswerCheck => {
  const answer = stockSchema.safeParse(parseJson(read.body))
  if (!answer.success) return broken('not a whole answer')
  const expected = lookUpStock(planned.path)
  return evaluateMatch(answer.data.path === expected.path && answer.data.quantity === expected.quantity)
}

const checkOrder = (planned: PlannedOf<'order'>, read: ReceivedAnswer): AnswerCheck => {
  const answer = orderSchema.safeParse(parseJson(read.body))
  return answer.success ? evaluateMatch(answer.data.received === planned.body) : broken('not a whole answer')
}

const CHECKS: { readonly [Kind in PlannedRequest['kind']]: (planned: PlannedOf<Kind>, read: ReceivedAnswer) => AnswerCheck } = {
  chat: checkStream,
  overnight: checkCompletion,
  lookup: checkStock,
  order: checkOrder
}

const isSuccessStatus = (status: number): boolean => status >= 200 && status < 300

/**
 * Checks an answer that was read to its end.
 *
 * @param planned - The request.
 * @param status - HTTP status of the answer.
 * @param read - The answer.
 * @returns The outcome, and the reason when it is not `complete`.
 *
 * @example
 * checkAnswer(planned, 200, reader.read()).outcome
 */
export const checkAnswer = (planned: PlannedRequest, status: number, read: ReceivedAnswer): AnswerCheck => {
  if (read.refusal !== undefined) return read.refusal
  if (!isSuccessStatus(status)) return readRefusal(parseJson(read.body)) ?? broken(`status ${status} without an outcome`)
  const check = CHECKS[planned.kind] as (planned: PlannedRequest, read: ReceivedAnswer) => AnswerCheck
  return check(planned, read)
}
