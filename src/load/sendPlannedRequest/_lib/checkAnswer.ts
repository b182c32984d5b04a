/** Checks an answer that was read to its end: complete, refused, broken, or the answer to another request. */
import { z } from 'zod'
import { composeAnswer } from '../../../emulator/composeAnswer/index.js'
import { lookUpStock } from '../../../emulator/createPlainServiceServer/index.js'
import type { PlannedRequest } from '../../planLoad/index.js'
import type { LoadOutcome } from '../index.js'
import { parseJson, readRefusal, readUsage, type AnswerRead } from './createAnswerReader.js'

export type AnswerCheck = {
  readonly outcome: LoadOutcome
  readonly reason?: string
  readonly promptTokens?: number
  readonly cachedTokens?: number
  readonly completionTokens?: number
}

type PlannedOf<Kind extends PlannedRequest['kind']> = Extract<PlannedRequest, { readonly kind: Kind }>

const wholeSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })).min(1),
  usage: z.unknown()
})
const stockSchema = z.object({ path: z.string(), quantity: z.number() })
const orderSchema = z.object({ received: z.string() })

const COMPLETE: AnswerCheck = { outcome: 'complete' }

const broken = (reason: string): AnswerCheck => ({ outcome: 'broken', reason })

const judge = (isOwn: boolean): AnswerCheck => isOwn ? COMPLETE : { outcome: 'wrong', reason: 'the answer is not the one to this request' }

const expectContent = ({ messages, maximumTokens }: PlannedOf<'chat' | 'overnight'>): string => composeAnswer(messages, maximumTokens).text

const checkStream = (planned: PlannedOf<'chat' | 'overnight'>, read: AnswerRead): AnswerCheck =>
  read.hasEndMarker ? judge(read.content === expectContent(planned)) : broken('no end marker')

const checkWhole = (planned: PlannedOf<'chat' | 'overnight'>, read: AnswerRead): AnswerCheck => {
  const answer = wholeSchema.safeParse(parseJson(read.body))
  if (!answer.success) return broken('not a whole answer')
  return { ...judge(answer.data.choices[0]!.message.content === expectContent(planned)), ...readUsage(answer.data.usage) }
}

const checkStock = (planned: PlannedOf<'lookup'>, read: AnswerRead): AnswerCheck => {
  const answer = stockSchema.safeParse(parseJson(read.body))
  if (!answer.success) return broken('not a whole answer')
  const expected = lookUpStock(planned.path)
  return judge(answer.data.path === expected.path && answer.data.quantity === expected.quantity)
}

const checkOrder = (planned: PlannedOf<'order'>, read: AnswerRead): AnswerCheck => {
  const answer = orderSchema.safeParse(parseJson(read.body))
  return answer.success ? judge(answer.data.received === planned.body) : broken('not a whole answer')
}

const CHECKS: { readonly [Kind in PlannedRequest['kind']]: (planned: PlannedOf<Kind>, read: AnswerRead) => AnswerCheck } = {
  chat: checkStream,
  overnight: checkWhole,
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
export const checkAnswer = (planned: PlannedRequest, status: number, read: AnswerRead): AnswerCheck => {
  if (read.refusal !== undefined) return read.refusal
  if (!isSuccessStatus(status)) return readRefusal(parseJson(read.body)) ?? broken(`status ${status} without an outcome`)
  const check = CHECKS[planned.kind] as (planned: PlannedRequest, read: AnswerRead) => AnswerCheck
  return check(planned, read)
}
